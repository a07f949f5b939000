#pragma once
#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "lease/types.hpp"

// Calls of duties to the platform.
namespace indigohill::duties {

// Only the holder of the subject's lease makes the call, in the time of that lease.
struct PlatformCall {
  std::uint64_t id = 0;  // of this daemon
  lease::Subject subject;
  std::string path, body;  // body: JSON
  std::string holder;
  std::uint64_t fence = 0;     // the attempt of the lease
  base::TimePoint notAfter{};  // the connection is closed by then
};

enum class CallOutcome {
  Accepted,     // 200
  RateLimited,  // 429
  Rejected,     // another answer: the same call again would not fare better soon
  NoAnswer      // it may have been carried out
};
constexpr const char* nameOf(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::Accepted:
      return "accepted";
    case CallOutcome::RateLimited:
      return "rate_limited";
    case CallOutcome::Rejected:
      return "rejected";
    case CallOutcome::NoAnswer:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace indigohill::duties
