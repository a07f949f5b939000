#include "membership/lease.hpp"

#include <algorithm>

#include "membership/view.hpp"

namespace indigohill::membership {

void Lease::onEcho(std::uint64_t voterIncarnation, base::TimePoint at) {
  auto& newest = echoAt_[voterIncarnation];
  newest = std::max(newest, at);
}

void Lease::renew(const schema::View& view, const std::string& selfVoterId, base::TimePoint now) {
  std::vector<base::TimePoint> echoes;
  for (const auto& voter : view.voters) {
    if (voter == selfVoterId) {
      if (grants(view, now)) echoes.push_back(now);
      continue;
    }
    const auto* member = findVoter(view, voter);
    if (member == nullptr) continue;
    if (const auto echo = echoAt_.find(member->incarnation); echo != echoAt_.end()) echoes.push_back(echo->second);
  }
  const auto majority = view.voters.size() / 2 + 1;
  if (echoes.size() < majority) return;
  std::sort(echoes.rbegin(), echoes.rend());
  until_ = std::max(until_, echoes[majority - 1] + times_.lease);
}

std::optional<std::int64_t> Lease::timestampMs(std::uint64_t incarnation) const {
  const auto found = timestampMs_.find(incarnation);
  if (found == timestampMs_.end()) return std::nullopt;
  return found->second;
}

bool Lease::grants(const schema::View& view, base::TimePoint now) const {
  for (const auto& [record, since] : acceptedSince_) {
    const auto& [epoch, voters] = record;
    if (epoch > view.epoch && voters != view.voters && now >= since + times_.handover) return false;
  }
  // Voters that took over alone wait until all that their predecessors granted has run out.
  const bool unilateral = view.unilateralEpoch != 0 && view.unilateralEpoch == view.epoch;
  return !unilateral || now >= decidedSince_ + times_.handover + times_.lease;
}

void Lease::onAccepted(const schema::EpochRecord& record, base::TimePoint since) {
  acceptedSince_.try_emplace({record.epoch, record.voters}, since);
}

void Lease::onVotersDecided(const std::vector<std::string>& voters, base::TimePoint now) {
  if (decidedVoters_ == voters) return;
  decidedVoters_ = voters;
  decidedSince_ = now;
}

void Lease::install(const schema::View& view) {
  std::erase_if(acceptedSince_, [&](const auto& entry) { return entry.first.first <= view.epoch; });
  const auto isAbsent = [&](const auto& entry) { return !hasMember(view, entry.first); };
  std::erase_if(echoAt_, isAbsent);
  std::erase_if(timestampMs_, isAbsent);
}

void Lease::clear() {
  until_ = {};
  echoAt_.clear();
  timestampMs_.clear();
}

}  // namespace indigohill::membership
