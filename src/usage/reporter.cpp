#include "usage/reporter.hpp"

#include <algorithm>

namespace indigohill::usage {

namespace {

constexpr std::size_t kMaxEntries = 2000;      // in one message; what is left goes with the next
constexpr std::size_t kMaxUnacknowledged = 8;  // messages whose acknowledgement still counts

}  // namespace

void Reporter::add(const std::vector<schema::UsageEntry>& counts) {
  for (const auto& entry : counts) {
    if (entry.windowId <= delivered_) continue;
    totals_[entry.windowId][entry.tenant].counted += entry.requests;
    changed_ = true;
  }
  while (totals_.size() > times_.windowsKept) totals_.erase(totals_.begin());
}

// Loads that rise or fall are worth a message as counts are; the same ones again are not.
void Reporter::setLoads(std::vector<schema::ServiceLoad> loads) {
  if (loads == loads_) return;
  loads_ = std::move(loads);
  changed_ = true;
}

void Reporter::forget(std::uint64_t through) {
  delivered_ = std::max(delivered_, through);
  totals_.erase(totals_.begin(), totals_.upper_bound(delivered_));
}

// Another holder knows nothing of what was acknowledged before.
void Reporter::turnTo(const std::optional<Holder>& holder) {
  if (holder == holder_) return;
  holder_ = holder;
  unacknowledged_.clear();
  completeThrough_ = 0;
  changed_ = true;
  sentAt_ = acknowledgedAt_ = {};
  for (auto& [window, tenants] : totals_)
    for (auto& [tenant, total] : tenants) total.acknowledged = 0;
}

void Reporter::tick(const Present& present, base::TimePoint now, net::Outbox& out) {
  turnTo(present.holder);
  if (!holder_ || now - sentAt_ < times_.interval) return;
  if (acknowledgedAt_ == base::TimePoint{}) acknowledgedAt_ = now;
  const bool windowClosed = present.window > completeThrough_ + 1;
  if (!changed_ && unacknowledged_.empty() && !windowClosed) return;
  sentAt_ = now;
  changed_ = false;
  auto message = build(present);
  auto to = holder_->address;
  const bool silent = now - acknowledgedAt_ >= times_.resend;
  // Every other message takes the straight way all the same: the holder may just have been slow.
  if (silent && !present.relays.empty() && sequence_ % 2 == 0) to = present.relays[relay_++ % present.relays.size()];
  out.push_back({to, std::move(message)});
}

schema::UsageCounts Reporter::build(const Present& present) {
  schema::UsageCounts out;
  out.daemon = daemon_;
  out.sequence = ++sequence_;
  out.attempt = holder_->attempt;
  out.origin = {self_.ip, self_.port};
  out.unixMs = present.unixMs;
  out.loads = loads_;
  std::optional<std::uint64_t> cutIn;  // the first window that does not fit
  for (const auto& [window, tenants] : totals_)
    for (const auto& [tenant, total] : tenants) {
      if (total.counted == total.acknowledged) continue;
      if (out.entries.size() < kMaxEntries)
        out.entries.push_back({window, tenant, total.counted});
      else if (!cutIn)
        cutIn = window;
    }
  if (cutIn) changed_ = true;
  out.completeThrough = (cutIn ? std::min(*cutIn, present.window) : present.window) - 1;
  unacknowledged_.push_back({out.sequence, out.completeThrough, out.entries});
  if (unacknowledged_.size() > kMaxUnacknowledged) unacknowledged_.pop_front();
  return out;
}

bool Reporter::receive(const schema::UsageAck& ack, base::TimePoint now) {
  if (ack.daemon != daemon_ || !holder_ || ack.attempt != holder_->attempt) return false;
  const auto found = std::find_if(unacknowledged_.begin(), unacknowledged_.end(),
                                  [&](const auto& sent) { return sent.sequence == ack.sequence; });
  if (found == unacknowledged_.end()) return false;
  acknowledgedAt_ = now;
  completeThrough_ = std::max(completeThrough_, found->completeThrough);
  for (const auto& entry : found->entries) {
    const auto window = totals_.find(entry.windowId);
    if (window == totals_.end()) continue;
    auto& total = window->second[entry.tenant];
    total.acknowledged = std::max(total.acknowledged, entry.requests);
  }
  // An older message that is still out holds nothing that this one lacked.
  unacknowledged_.erase(unacknowledged_.begin(), std::next(found));
  forget(ack.delivered);
  return true;
}

}  // namespace indigohill::usage
