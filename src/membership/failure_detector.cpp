#include "membership/failure_detector.hpp"

#include <algorithm>

#include "membership/view.hpp"

namespace indigohill::membership {

void FailureDetector::onHeartbeat(const schema::Heartbeat& heartbeat, base::TimePoint now) {
  auto& newestTimestamp = newestTimestampMs_[heartbeat.incarnation];
  newestTimestamp = std::max(newestTimestamp, heartbeat.timestampMs);
  const base::TimePoint receipt{base::Millis(heartbeat.receivedMs)};
  if (heartbeat.receivedMs == 0 || receipt > now) return;
  auto& newestReceipt = receiptAt_[heartbeat.incarnation];
  newestReceipt = std::max(newestReceipt, receipt);
}

void FailureDetector::update(const std::vector<const schema::Member*>& watched,
                             const std::function<bool(std::uint64_t)>& isBoundFailed, base::TimePoint now) {
  std::set<std::uint64_t> watchedNow;
  for (const auto* member : watched) {
    const auto incarnation = member->incarnation;
    watchedNow.insert(incarnation);
    const auto since = watchedSince_.try_emplace(incarnation, now).first->second;
    auto last = std::max(since, receivedAt(incarnation).value_or(since));
    // One that is received and receives nothing could acknowledge no view: it counts as silent too.
    if (const auto receipt = receiptAt_.find(incarnation); receipt != receiptAt_.end())
      last = std::min(last, std::max(since, receipt->second));
    if (now - last > suspicionTimeout_)
      suspected_.insert(incarnation);
    else if (!isBoundFailed(incarnation))
      suspected_.erase(incarnation);
  }
  std::erase_if(watchedSince_, [&](const auto& entry) { return !watchedNow.contains(entry.first); });
}

std::optional<base::TimePoint> FailureDetector::receivedAt(std::uint64_t incarnation) const {
  const auto found = receivedAt_.find(incarnation);
  if (found == receivedAt_.end()) return std::nullopt;
  return found->second;
}

bool FailureDetector::isInTouch(std::uint64_t incarnation, base::TimePoint since) const {
  const auto received = receivedAt_.find(incarnation);
  const auto receipt = receiptAt_.find(incarnation);
  return received != receivedAt_.end() && received->second >= since && receipt != receiptAt_.end() &&
         receipt->second >= since;
}

std::int64_t FailureDetector::newestTimestampMs(std::uint64_t incarnation) const {
  const auto found = newestTimestampMs_.find(incarnation);
  return found == newestTimestampMs_.end() ? 0 : found->second;
}

void FailureDetector::install(const schema::View& view, base::TimePoint now) {
  const auto isAbsent = [&](const auto& entry) { return !hasMember(view, entry.first); };
  std::erase_if(receivedAt_, isAbsent);
  std::erase_if(receiptAt_, isAbsent);
  std::erase_if(newestTimestampMs_, isAbsent);
  std::erase_if(suspected_, [&](auto incarnation) { return !hasMember(view, incarnation); });
  for (const auto& member : view.members) receivedAt_.try_emplace(member.incarnation, now);
}

void FailureDetector::clear() {
  receivedAt_.clear();
  receiptAt_.clear();
  newestTimestampMs_.clear();
  watchedSince_.clear();
  suspected_.clear();
}

}  // namespace indigohill::membership
