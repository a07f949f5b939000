#include "proxy/queue_account.hpp"

#include "base/invariant.hpp"

namespace indigohill::proxy {

namespace {
base::Invariant queueCountIsWhatWaits("queue_count_is_what_waits",
                                      "The requests counted in the queue are those that wait.");
}

void QueueAccount::onEntered(std::size_t places) {
  ++waiting_;
  check(places);
}

void QueueAccount::onWoken(std::size_t places) {
  ++woken_;
  check(places);
}

void QueueAccount::onLeft(bool woken, std::size_t places) {
  --waiting_;
  if (woken) --woken_;
  check(places);
}

void QueueAccount::check(std::size_t places) const {
  const bool holds = woken_ >= 0 && waiting_ == static_cast<std::int64_t>(places) + woken_;
  queueCountIsWhatWaits.check(holds, [&](base::LogEvent event) {
    return std::move(event).with("places", places).with("waiting", waiting_).with("woken", woken_);
  });
}

}  // namespace indigohill::proxy
