#pragma once
#include "base/time.hpp"
#include "lease/times.hpp"

namespace indigohill::control {

// The time-outs and intervals of a replica. docs/control says how they bound each other.
struct ReplicaTimes {
  base::Millis heartbeatInterval{400};
  base::Millis resendInterval{250};
  base::Millis campaignTimeout{900};         // a campaign without an outcome starts again after this and a random part
  base::Millis electionTimeout{2000};        // a backup takes over from a primary that was silent for so long
  base::Millis electionStagger{500};         // each further backup in the record waits so much longer
  base::Millis writeTimeout{900};            // for a write to be on the own disk and at all backups
  base::Millis orderTimeout{3500};           // an order that is not finished by then is answered 503
  base::Millis voterReplacementDelay{3000};  // a voter that is missing for so long is replaced
  base::Millis newcomerWindow{
      3000};                         // a machine that came up no longer than this before a voter was missed replaces it
  base::Millis placementWait{1500};  // how long orders wait for the machines that the fault tolerance calls for
  lease::Times lease{};              // of duties
};

}  // namespace indigohill::control
