#pragma once
#include <cstdint>
#include <map>

#include "base/time.hpp"

// The load of one runner as this router sees it: its own requests there, what the runner reported, and the long prompts
// that other routers announced.
namespace indigohill::routing {

class RunnerLoad {
 public:
  // An own request with so many prompt tokens to be read is sent there.
  void admit(std::uint32_t promptTokens);
  // The prompt of an own request has been read, or its request is over.
  void promptRead(std::uint32_t promptTokens);
  void requestEnded();
  // The runner's own report; counts less and less as it ages.
  void report(std::uint32_t running, std::uint32_t waiting, base::TimePoint now);
  // Another router's prompt under its number there; 0 tokens: it has been read.
  void announce(std::uint64_t id, std::uint32_t promptTokens, base::TimePoint now);

  // Requests there, running and waiting.
  double requests(base::TimePoint now) const;
  // Prompt tokens sent there that have no first token yet, by this router and, as announced, by others.
  double unreadTokens(base::TimePoint now);
  std::uint32_t ownRequests() const { return ownRequests_; }
  std::uint64_t ownUnreadTokens() const { return ownUnreadTokens_; }

 private:
  struct Announced {
    std::uint32_t tokens = 0;
    base::TimePoint until;
  };
  std::uint32_t ownRequests_ = 0;
  std::uint64_t ownUnreadTokens_ = 0;
  std::map<std::uint64_t, Announced> announced_;
  double reported_ = 0;  // less the own requests
  base::TimePoint reportedAt_{};
};

}  // namespace indigohill::routing
