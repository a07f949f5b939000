#include "control/pending_answers.hpp"

#include <algorithm>

#include "base/fingerprint.hpp"

namespace indigohill::control {

void PendingAnswers::add(QueuedOrder order, Answer answer) {
  waiting_.push_back({std::move(order), std::move(answer), round_ + 1});
}

std::optional<std::uint64_t> PendingAnswers::roundDue(base::TimePoint now, base::Millis resend) {
  if (waiting_.empty()) return std::nullopt;
  const bool underWay = waiting_.front().round <= round_;
  if (underWay && now - sentAt_ < resend) return std::nullopt;
  sentAt_ = now;
  return ++round_;
}

void PendingAnswers::confirm(const std::string& voter, std::uint64_t round) {
  if (round > round_) return;  // never sent
  auto& newest = confirmed_[voter];
  newest = std::max(newest, round);
}

std::vector<Answer> PendingAnswers::takeConfirmed(const std::vector<std::string>& voters) {
  std::vector<std::uint64_t> rounds;
  for (const auto& voter : voters) {
    const auto found = confirmed_.find(voter);
    rounds.push_back(found == confirmed_.end() ? 0 : found->second);
  }
  // The newest round that more than half have confirmed.
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const auto confirmed = rounds.empty() ? 0 : rounds[rounds.size() / 2];
  std::vector<Answer> out;
  std::erase_if(waiting_, [&](auto& waiting) {
    if (waiting.round > confirmed) return false;
    out.push_back(std::move(waiting.answer));
    return true;
  });
  return out;
}

std::vector<QueuedOrder> PendingAnswers::takeOlderThan(base::TimePoint oldest) {
  std::vector<QueuedOrder> out;
  std::erase_if(waiting_, [&](auto& waiting) {
    if (waiting.order.arrivedAt >= oldest) return false;
    out.push_back(std::move(waiting.order));
    return true;
  });
  return out;
}

std::vector<QueuedOrder> PendingAnswers::takeAll() {
  std::vector<QueuedOrder> out;
  for (auto& waiting : waiting_) out.push_back(std::move(waiting.order));
  waiting_.clear();
  confirmed_.clear();
  return out;
}

void PendingAnswers::forget(std::uint64_t call) {
  std::erase_if(waiting_, [&](const auto& waiting) { return waiting.order.order.call == call; });
}

void PendingAnswers::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(waiting_.size());
  for (const auto& waiting : waiting_) {
    addToFingerprint(out, waiting.order, now, horizon);
    out.add(waiting.answer.status, waiting.answer.body, waiting.round);
  }
  out.add(confirmed_, round_);
  out.age(sentAt_, now, horizon);
}

}  // namespace indigohill::control
