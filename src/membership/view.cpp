#include "membership/view.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/hash.hpp"
#include "base/lists.hpp"

namespace indigohill::membership {

settings::Endpoint addressOf(const schema::Member& member) { return {member.ip, member.port}; }

bool isController(const schema::Member& member) { return member.role == static_cast<std::uint8_t>(Role::Controller); }

bool hasDisk(const schema::Member& member) { return isController(member) && !member.voterId.empty(); }

const schema::Member* findMember(const schema::View& view, std::uint64_t incarnation) {
  for (const auto& member : view.members)
    if (member.incarnation == incarnation) return &member;
  return nullptr;
}

bool hasMember(const schema::View& view, std::uint64_t incarnation) { return findMember(view, incarnation) != nullptr; }

const schema::Member* findVoter(const schema::View& view, const std::string& voterId) {
  if (voterId.empty()) return nullptr;
  for (const auto& member : view.members)
    if (member.voterId == voterId) return &member;
  return nullptr;
}

const schema::Member* findLife(const schema::View& view, const std::string& id, std::uint64_t bootId) {
  for (const auto& member : view.members)
    if (member.id == id && member.bootId == bootId) return &member;
  return nullptr;
}

std::size_t countVoters(const schema::View& view, const std::vector<std::string>& voters) {
  std::size_t count = 0;
  for (const auto& voter : voters)
    count += std::any_of(view.members.begin(), view.members.end(), [&](const auto& m) { return m.voterId == voter; });
  return count;
}

bool hasQuorum(const schema::View& view, const std::vector<std::string>& voters) {
  return !voters.empty() && 2 * countVoters(view, voters) > voters.size();
}

std::uint64_t digestOf(const schema::View& view) {
  std::string text = fmt::format("{} {} {} {}", view.number, view.epoch, view.discoveryLeader, view.unilateralEpoch);
  for (const auto& voter : view.voters) text += fmt::format(" {}", voter);
  for (const auto& member : view.members)
    text += fmt::format("\n{} {} {} {} {} {} {} {}", member.id, member.voterId, member.zone, member.role, member.ip,
                        member.port, member.bootId, member.incarnation);
  return base::hash(text);
}

schema::View applyChanges(const schema::View& base, const schema::ProposeChanges& changes) {
  auto result = base;
  for (const auto& step : changes.steps) {
    std::erase_if(result.members, [&](const auto& m) { return base::contains(step.failures, m.incarnation); });
    result.members.insert(result.members.end(), step.joins.begin(), step.joins.end());
  }
  result.number = changes.number;
  result.epoch = changes.epoch;
  result.discoveryLeader = changes.discoveryLeader;
  result.unilateralEpoch = changes.unilateralEpoch;
  result.voters = changes.voters;
  return result;
}

}  // namespace indigohill::membership
