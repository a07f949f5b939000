#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/log_event.hpp"
#include "base/time.hpp"
#include "schema/messages.hpp"

// Follows each runner from its place in the platform's list to its end there, for the log: listed, warm, draining,
// delisted. It decides nothing. Not thread-safe.
namespace indigohill::router {

class RunnerWatch {
 public:
  // The list as it is now. Returns the events of what has changed.
  std::vector<base::LogEvent> onList(const std::vector<schema::RunnerEntry>& runners, base::TimePoint now);
  // The runners whose warm-up is over by now and was not before.
  std::vector<base::LogEvent> tick(base::TimePoint now);

 private:
  struct State {
    base::TimePoint listedAt, warmAt;
    bool warming = false, draining = false, listed = true;
  };
  std::map<std::string, State> runners_;
};

}  // namespace indigohill::router
