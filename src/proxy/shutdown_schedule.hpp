#pragma once
#include "base/time.hpp"

namespace indigohill::proxy {

// The moments of a router's graceful shutdown. They are fixed when it begins: what is admitted and when it is ended
// follow from the same values, also if the settings change meanwhile.
struct ShutdownSchedule {
  base::TimePoint delistedAt;     // the platform sends no new connections any more
  base::TimePoint requestsEndAt;  // what is still in progress is answered or cut
  base::TimePoint processEndsAt;  // before the platform kills it

  // `gracePeriod`: from the signal until the platform kills the process.
  static ShutdownSchedule from(base::TimePoint beganAt, base::Millis gracePeriod);
};

}  // namespace indigohill::proxy
