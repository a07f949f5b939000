#pragma once
#include "base/time.hpp"

namespace indigohill::tally {

// The times of the replication of tallies. Two exchanges may be lost before a peer counts as unreachable.
struct Times {
  base::Millis exchangeInterval{250};   // between two messages to a peer that is known
  base::Millis searchInterval{750};     // to an address where no replica has answered yet
  base::Millis unreachable{800};        // since the newest message of ours that the peer has echoed
  base::Millis settling{1000};          // after the start, until peers had time to answer
  base::Millis groupSearch{10'000};     // after the start, until a daemon without a view counts as cut off
  base::Millis stall{400};              // between two ticks: silence of peers within it says nothing of them
  base::Millis resendInterval{350};     // of adds, to a peer that acknowledges none of them
  base::Millis relayDelay{600};         // others send an origin's adds once a peer has got none from it for so long
  base::Millis answerLimit{950};        // callers give up after a second
  base::Millis slowWrite{300};          // a write under way for longer: new adds are turned away
  base::Millis rewriteInterval{500};    // between tries to write the log anew on a disk that refuses
  base::Millis checkpoint{10'000};      // between two looks at what every replica holds
  base::Millis idRetention{600'000};    // that ids are remembered after every replica has them
  base::Millis originGone{86'400'000};  // an origin that was never heard for so long is gone
};

}  // namespace indigohill::tally
