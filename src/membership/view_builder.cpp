#include "membership/view_builder.hpp"

#include <algorithm>
#include <utility>

#include "base/lists.hpp"
#include "membership/view.hpp"

namespace indigohill::membership {

namespace {

// Numbers set aside at each founding. Far more than the views and incarnations of one life of the whole group.
constexpr std::uint64_t kFoundingBlock = 1u << 20;
// Set between the numbers of views under different voters. One side may have got ahead unseen by the other, by far
// fewer than this; and far less than is set aside at a founding, so numbers on disk need not follow at once.
constexpr std::uint64_t kTakeoverBlock = 1u << 16;

bool hasDaemon(const schema::View& view, const std::string& id) {
  return std::any_of(view.members.begin(), view.members.end(), [&](const auto& member) { return member.id == id; });
}

// Removes the members that are known to have failed or to leave.
void removeFailed(schema::View& view, const KnownChanges& known, schema::ViewChange& change) {
  const auto isGone = [&](const schema::Member& member) {
    if (member.incarnation == known.selfIncarnation) return false;
    const auto* joiner = known.joiners.find(member.id);
    // A known daemon that asks to join with another boot id has restarted: its old incarnation has failed.
    const bool restarted = joiner != nullptr && joiner->member.bootId != member.bootId;
    return known.failures.isSuspected(member.incarnation) || known.leaving.contains(member.incarnation) || restarted;
  };
  for (const auto& member : view.members)
    if (isGone(member)) change.failures.push_back(member.incarnation);
  std::erase_if(view.members, [&](const auto& m) { return base::contains(change.failures, m.incarnation); });
}

void addJoiners(schema::View& view, const KnownChanges& known, schema::ViewChange& change, std::uint64_t& lastNumber) {
  for (const auto& [id, joiner] : known.joiners.all()) {
    if (hasDaemon(view, joiner.member.id) || id == known.selfId || known.joiners.isDenied(id, known.now) ||
        !known.joiners.isCurrent(joiner, known.now))
      continue;
    auto member = joiner.member;
    member.incarnation = ++lastNumber;
    view.members.push_back(member);
    change.joins.push_back(member);
  }
}

// The voters of the newest decided record take the view over. Its numbers stay clear of those that the voters before
// may have given since, so the larger number is always that of the newer epoch.
void takeOver(schema::View& view, const VoterSet& voters) {
  if (view.voters != voters.voters) view.number += kTakeoverBlock;
  view.epoch = voters.epoch;
  view.voters = voters.voters;
}

// The discovery leader stays while it is a member. Leaving, it has named its successor; when it has failed, the view
// (which a majority of voters commits) names the oldest controller.
void chooseDiscoveryLeader(schema::View& view, std::uint64_t successor) {
  if (hasMember(view, view.discoveryLeader)) return;
  view.discoveryLeader = 0;
  for (const auto& member : view.members)
    if (isController(member) && (view.discoveryLeader == 0 || member.incarnation == successor))
      view.discoveryLeader = member.incarnation;
}

}  // namespace

std::optional<schema::ViewChange> extend(schema::View& view, const KnownChanges& known, bool joinsAlone) {
  schema::ViewChange change;
  removeFailed(view, known, change);
  const bool otherVoters = known.voters.epoch > view.epoch;
  if (change.failures.empty() && !otherVoters && !joinsAlone) return std::nullopt;
  if (otherVoters) takeOver(view, known.voters);
  auto lastNumber = view.number;
  for (const auto& member : view.members) lastNumber = std::max(lastNumber, member.incarnation);
  addJoiners(view, known, change, lastNumber);
  if (change.failures.empty() && change.joins.empty() && !otherVoters) return std::nullopt;
  chooseDiscoveryLeader(view, known.successor);
  view.number = lastNumber + 1;
  return change;
}

void rebase(const schema::Propose& old, const schema::View& present, schema::Propose& proposal) {
  auto& result = proposal.result = present;
  // Incarnations are granted anew: the present view may have given the same numbers to others. So a failure counts
  // here only if it is not that of one who joined in the same extension; such a one is left out from the start.
  std::set<std::uint64_t> failures, joined;
  for (const auto& step : old.steps) {
    failures.insert(step.failures.begin(), step.failures.end());
    for (const auto& join : step.joins) joined.insert(join.incarnation);
  }
  schema::ViewChange change;
  for (const auto failure : failures)
    if (!joined.contains(failure) && hasMember(result, failure)) change.failures.push_back(failure);
  std::erase_if(result.members, [&](const auto& m) { return base::contains(change.failures, m.incarnation); });
  auto lastNumber = std::max(result.number, old.result.number);
  for (const auto& step : old.steps)
    for (auto join : step.joins) {
      if (failures.contains(join.incarnation) || hasDaemon(result, join.id)) continue;
      join.incarnation = ++lastNumber;
      result.members.push_back(join);
      change.joins.push_back(join);
    }
  result.number = lastNumber + 1;
  proposal.steps = {change};
}

FoundingPlan planFounding(const std::string& selfVoterId, std::uint64_t watermark, const VoterSet& voters,
                          const JoinerList& joiners, base::TimePoint now) {
  FoundingPlan plan;
  plan.view.epoch = voters.epoch;
  plan.view.voters = voters.voters;
  plan.watermark = watermark;
  for (const auto& [id, joiner] : joiners.all()) {
    plan.watermark = std::max(plan.watermark, joiner.watermark);
    // The controllers alone: their few acknowledgements come within moments whatever the size of the fleet, and the
    // routers are taken in together by the first extension.
    if (!isController(joiner.member) || joiners.isDenied(id, now)) continue;
    plan.view.members.push_back(joiner.member);
    const auto& voterId = joiner.member.voterId;
    if (base::contains(voters.voters, voterId) && voterId < selfVoterId) ++plan.votersBefore;
  }
  return plan;
}

schema::Propose foundingProposal(FoundingPlan plan, const std::string& selfId) {
  auto& view = plan.view;
  // Voters first, so that the oldest are daemons that keep what must last; then by id, as the paper's ties are broken.
  std::sort(view.members.begin(), view.members.end(), [](const auto& a, const auto& b) {
    return std::pair(a.voterId.empty(), a.id) < std::pair(b.voterId.empty(), b.id);
  });
  schema::Propose proposal;
  auto lastNumber = plan.watermark + kFoundingBlock;
  for (auto& member : view.members) {
    member.incarnation = ++lastNumber;
    if (member.id == selfId) proposal.proposer = member.incarnation;
    if (view.discoveryLeader == 0 && isController(member)) view.discoveryLeader = member.incarnation;
  }
  view.number = lastNumber + 1;  // above every incarnation granted so far: one counter serves both
  proposal.founding = true;
  proposal.result = std::move(view);
  return proposal;
}

}  // namespace indigohill::membership
