#include "membership/proposal_round.hpp"

#include <algorithm>

#include "membership/view.hpp"

namespace indigohill::membership {

void ProposalRound::acknowledge(std::uint64_t incarnation, const schema::StateVersion& stateVersion) {
  const bool first = acknowledged_.empty();
  acknowledged_.insert(incarnation);
  if (!first && stateVersion <= flushVersion_) return;
  flushVersion_ = stateVersion;
  flushHolder_ = incarnation;
}

bool ProposalRound::isAcknowledgedByAll() const {
  return std::all_of(view().members.begin(), view().members.end(),
                     [&](const auto& member) { return isAcknowledgedBy(member.incarnation); });
}

bool ProposalRound::isAcknowledgedByQuorum() const {
  std::size_t count = 0;
  for (const auto& voter : view().voters)
    for (const auto& member : view().members) count += member.voterId == voter && isAcknowledgedBy(member.incarnation);
  return 2 * count > view().voters.size();
}

std::vector<const schema::Member*> ProposalRound::unacknowledged() const {
  std::vector<const schema::Member*> out;
  for (const auto& member : view().members)
    if (!isAcknowledgedBy(member.incarnation)) out.push_back(&member);
  return out;
}

bool ProposalRound::isFullSendDue(base::TimePoint now, base::Millis interval) const {
  return now - std::max(fullSentAt_, answeredAt_) >= interval;
}

}  // namespace indigohill::membership
