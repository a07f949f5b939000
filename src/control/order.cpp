#include "control/order.hpp"

#include "base/fingerprint.hpp"

namespace indigohill::control {

void addToFingerprint(base::Fingerprint& out, const QueuedOrder& queued, base::TimePoint now, base::Millis horizon) {
  const auto& order = queued.order;
  out.add(order.call, order.kind, order.baseVersion, order.body, order.service, order.runners, order.lease);
  out.add(queued.leaseReply);
  out.age(queued.arrivedAt, now, horizon);
}

}  // namespace indigohill::control
