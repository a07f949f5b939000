#include "proxy/shutdown_schedule.hpp"

#include <algorithm>

namespace indigohill::proxy {

using base::Millis;

namespace {

// The platform asks for readiness each second and takes two misses.
constexpr Millis kDelistingTime{3000};
constexpr Millis kKillMargin{400};
constexpr Millis kReplyTime{400};  // for what is in progress to be answered before the process ends

}  // namespace

ShutdownSchedule ShutdownSchedule::from(base::TimePoint beganAt, Millis gracePeriod) {
  const auto untilProcessEnds = std::max(gracePeriod - kKillMargin, Millis(0));
  const auto untilRequestsEnd = std::max(untilProcessEnds - kReplyTime, Millis(0));
  return {beganAt + kDelistingTime, beganAt + untilRequestsEnd, beganAt + untilProcessEnds};
}

}  // namespace indigohill::proxy
