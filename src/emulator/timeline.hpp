#pragma once
#include <fstream>
#include <string>

#include "base/log_event.hpp"
#include "base/time.hpp"

namespace indigohill::emulator {

// What happens in a run, as JSON lines in a file: {"ms":..,"event":..,<fields>}, where `ms` counts from the run's
// start. The daemons' own lines stand in files beside it.
class Timeline {
 public:
  explicit Timeline(const std::string& path, base::TimePoint startedAt = base::Clock::now())
      : out_(path, std::ios::trunc), startedAt_(startedAt) {}

  void write(const base::LogEvent& event, base::TimePoint at = base::Clock::now()) {
    out_ << fmt::format("{{\"ms\":{},{}}}\n", since(at).count(), event.json());
    out_.flush();
  }
  base::TimePoint startedAt() const { return startedAt_; }
  base::Millis since(base::TimePoint at) const { return std::chrono::duration_cast<base::Millis>(at - startedAt_); }

 private:
  std::ofstream out_;
  base::TimePoint startedAt_;
};

}  // namespace indigohill::emulator
