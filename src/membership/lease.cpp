// Leases, and how they pass from the voters of one epoch record to those of the next.
//
// A daemon may act on its view while it holds a lease, which a majority of the view's voters renews by echoing its
// stamps. Records may exchange all voters at once, so majorities of the voters before and after a record need not have
// a member in common. docs/control/membership.md gives the argument why leases of the two do not stand against each
// other.
#include <algorithm>

#include "membership/group.hpp"

namespace indigohill::membership {

namespace {
// Set between the numbers of views under different voters. One side may have got ahead unseen by the other, by far
// fewer than this; and far less than is set aside at a founding, so numbers on disk need not follow at once.
constexpr std::uint64_t kTakeOverBlock = 1u << 16;
}  // namespace

void Group::setAccepted(const schema::EpochRecord& record, base::TimePoint since) {
  if (view_ && record.epoch <= view_->epoch) return;
  accepted_.try_emplace({record.epoch, record.voters}, since);
}

// Whether this voter renews leases under its present view.
bool Group::grantsLeases(base::TimePoint now) const {
  for (const auto& [record, since] : accepted_)
    if (record.first > view_->epoch && record.second != view_->voters && now >= since + times_.handover) return false;
  // Voters that took over alone wait until all that their predecessors granted has run out.
  const bool sole = view_->soleEpoch != 0 && view_->soleEpoch == view_->epoch;
  return !sole || now >= decidedSince_ + times_.handover + times_.lease;
}

void Group::noteDecidedVoters(base::TimePoint now) {
  if (decidedVoters_ == knownVoters_) return;
  decidedVoters_ = knownVoters_;
  decidedSince_ = now;
}

// The voters of the newest decided record take the view over. Its numbers stay clear of those that the voters before
// may have given since, so the larger number is always that of the newer epoch.
void Group::takeOver(schema::View& result) const {
  if (result.voters != knownVoters_) result.number += kTakeOverBlock;
  result.epoch = knownEpoch_;
  result.voters = knownVoters_;
}

// The lease: a majority of the voters has shown, after this daemon's own stamp, a view that holds this daemon.
void Group::renewLease(base::TimePoint now) {
  if (!view_) {
    leaseUntil_ = {};
    return;
  }
  std::vector<base::TimePoint> echoes;
  for (const auto& voter : view_->voters) {
    if (voter == self_.voterId) {
      if (grantsLeases(now)) echoes.push_back(now);
      continue;
    }
    const auto* m = member(voter);
    if (m == nullptr) continue;
    if (const auto echo = echoAt_.find(m->incarnation); echo != echoAt_.end()) echoes.push_back(echo->second);
  }
  const auto majority = view_->voters.size() / 2 + 1;
  if (echoes.size() < majority) return;
  std::sort(echoes.rbegin(), echoes.rend());
  leaseUntil_ = std::max(leaseUntil_, echoes[majority - 1] + times_.lease);
}

}  // namespace indigohill::membership
