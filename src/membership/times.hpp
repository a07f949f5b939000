#pragma once
#include "base/time.hpp"

namespace indigohill::membership {

// The time-outs and intervals of the group. heartbeatInterval < lease < suspicionTimeout: a lease outlasts a lost
// heartbeat, and has run out before its holder is taken for failed.
struct Times {
  base::Millis heartbeatInterval{500};
  base::Millis suspicionTimeout{2000};
  base::Millis lease{1500};
  base::Millis contactAge{1500};    // of the newest heartbeat that a member has received, while messages pass both ways
  base::Millis handover{1000};      // how long a voter goes on with a view whose voters are being replaced
  base::Millis joinInterval{250};   // between two requests to join
  base::Millis foundingDelay{800};  // a group is founded without all voters only after so long without a view
  base::Millis resendInterval{200};
};

}  // namespace indigohill::membership
