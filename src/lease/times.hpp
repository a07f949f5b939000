#pragma once
#include <algorithm>

#include "base/time.hpp"

namespace indigohill::lease {

// The time-outs and intervals of duty leases. docs/leases.md has the arithmetic.
struct Times {
  base::Millis length{1500};         // of a lease: from a claim or heartbeat until it runs out
  base::Millis heartbeat{250};       // between two heartbeats; a backup checks after one to two of them
  base::Millis margin{300};          // a holder stops so long before its lease ends
  base::Millis reclaimDelay{4000};   // a holder that lost its lease to another does not get it back before this
  base::Millis resend{300};          // a request without a reply is sent again after this
  base::Millis tableInterval{3000};  // a router is sent the lease table again after this though nothing has changed

  // For a deployment that forbids a former holder to act again within `forbidden` (bounds.leaseMs).
  static constexpr Times within(base::Millis forbidden);
};

constexpr Times Times::within(base::Millis forbidden) {
  constexpr base::Millis kReclaimSlack{1000};
  constexpr int kHeartbeatsPerLease = 6;
  Times times;
  times.length = std::clamp(forbidden, base::Millis(600), times.length);
  times.heartbeat = std::min(base::Millis(5000), times.length / kHeartbeatsPerLease);
  times.margin = times.length / 5;
  times.reclaimDelay = forbidden + kReclaimSlack;
  return times;
}

}  // namespace indigohill::lease
