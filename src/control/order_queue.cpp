#include "control/order_queue.hpp"

#include <iterator>
#include <utility>

#include "base/fingerprint.hpp"

namespace indigohill::control {

namespace {
constexpr int kNoClearAnswer = 503;
}  // namespace

QueuedOrder OrderQueue::takeFront() {
  auto out = std::move(orders_.front());
  orders_.pop_front();
  return out;
}

void OrderQueue::forget(std::uint64_t call) {
  std::erase_if(orders_, [&](const auto& queued) { return queued.order.call == call; });
  unconfirmed_.forget(call);
}

void OrderQueue::requeue(std::optional<QueuedOrder> written) {
  if (written) orders_.push_front(std::move(*written));
  auto pending = unconfirmed_.takeAll();
  orders_.insert(orders_.begin(), std::make_move_iterator(pending.begin()), std::make_move_iterator(pending.end()));
}

std::vector<Answer> OrderQueue::takeExpired(base::TimePoint now, base::Millis timeout) {
  std::vector<Answer> out;
  while (!orders_.empty() && now - orders_.front().arrivedAt > timeout)
    out.push_back({takeFront().order.call, kNoClearAnswer, "not finished in time", {}});
  for (const auto& queued : unconfirmed_.takeOlderThan(now - timeout))
    out.push_back({queued.order.call, kNoClearAnswer, "the voters do not confirm", {}});
  return out;
}

std::vector<Answer> OrderQueue::rejectAll(const std::string& reason) {
  std::vector<Answer> out;
  for (const auto& queued : orders_) out.push_back({queued.order.call, kNoClearAnswer, reason, {}});
  orders_.clear();
  return out;
}

void OrderQueue::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(orders_.size());
  for (const auto& queued : orders_) addToFingerprint(out, queued, now, horizon);
  unconfirmed_.addTo(out, now, horizon);
}

}  // namespace indigohill::control
