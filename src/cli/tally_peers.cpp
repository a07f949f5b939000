#include "cli/tally_peers.hpp"

#include <utility>

#include "base/lists.hpp"
#include "membership/view.hpp"

namespace indigohill::cli {

namespace {

constexpr base::Millis kForgottenAfter{600'000};  // since the last view with it: another machine has taken its place

}  // namespace

tally::Surroundings TallyPeers::surroundings(const membership::Group& group, std::vector<settings::Endpoint> contacts,
                                             base::TimePoint now) {
  if (group.view()) learn(*group.view(), now);
  tally::Surroundings out;
  out.isGroupKnown = hadView_;
  out.candidates = std::move(contacts);
  std::map<std::string, bool> zones;  // whether each is in touch
  for (const auto& [address, replica] : replicas_) {
    if (!base::contains(out.candidates, address)) out.candidates.push_back(address);
    const auto [zone, isNew] = zones.try_emplace(replica.zone, false);
    if (isNew) zone->second = group.isInTouchWith(replica.zone, now);
    if (zone->second) out.expected.push_back(address);
  }
  std::erase(out.candidates, self_);
  return out;
}

void TallyPeers::learn(const schema::View& view, base::TimePoint now) {
  hadView_ = true;
  for (const auto& member : view.members) {
    const auto address = membership::addressOf(member);
    if (membership::hasDisk(member) && address != self_) replicas_[address] = {member.zone, now};
  }
  std::erase_if(replicas_, [&](const auto& entry) { return now - entry.second.seenAt > kForgottenAfter; });
}

std::optional<settings::Endpoint> nearestTallyReplica(const schema::View& view, const std::string& zone) {
  std::optional<settings::Endpoint> out;
  for (const auto& member : view.members) {
    if (!membership::hasDisk(member)) continue;
    if (member.zone == zone) return membership::addressOf(member);
    if (!out) out = membership::addressOf(member);
  }
  return out;
}

}  // namespace indigohill::cli
