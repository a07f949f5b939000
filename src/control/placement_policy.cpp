#include "control/placement_policy.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

#include "base/lists.hpp"

namespace indigohill::control {

namespace {

// A voter id begins with the address of its machine; a slash and a number follow if the machine once lost its disk.
std::string_view machineOf(std::string_view voterId) { return voterId.substr(0, voterId.find('/')); }

// The voters while they are being chosen, with the count of them in each zone.
class VoterAssignment {
 public:
  explicit VoterAssignment(const PlacementPolicy::Inputs& inputs)
      : in_(inputs), nodes_(inputs.cluster.storageNodes()), voters_(inputs.record.voters) {
    for (const auto& voter : voters_) ++votersInZone_[zoneOf(voter)];
    for (const auto* node : nodes_) votersInZone_.try_emplace(node->zone, 0);
    const auto tolerated = nodes_.empty() ? 0 : std::min(in_.faultTolerance, (nodes_.size() - 1) / 2);
    target_ = std::max(voters_.size(), 2 * tolerated + 1);
    // In fewer zones than it takes, they are at least spread evenly.
    zoneLimit_ = std::max(in_.faultTolerance, (target_ + votersInZone_.size() - 1) / votersInZone_.size());
  }

  void replaceLost() {
    // Each machine that came up stands for one that is lost.
    auto newcomers = nodes_;
    std::erase_if(newcomers, [&](const auto* node) { return base::contains(voters_, node->voterId); });
    for (auto& voter : voters_) replaceIfLost(voter, newcomers);
  }

  // Adds voters two at a time, so that their number stays odd: an even one tolerates no more losses and needs one more
  // for a majority.
  void grow() {
    while (voters_.size() < target_) {
      const auto* first = bestCandidate({});
      if (first == nullptr) return;
      ++votersInZone_[first->zone];
      voters_.push_back(first->voterId);
      if (voters_.size() % 2 != 0) continue;
      const auto* second = bestCandidate({});
      if (second == nullptr) {
        voters_.pop_back();
        return;
      }
      ++votersInZone_[second->zone];
      voters_.push_back(second->voterId);
    }
  }

  // A zone that came to hold too many voters while another was away gives one back.
  void rebalanceZones() {
    for (auto& voter : voters_) {
      const auto* member = in_.cluster.controller(voter);
      if (member == nullptr || voter == in_.selfId || votersInZone_[member->zone] <= zoneLimit_) continue;
      if (const auto* candidate = bestCandidate({})) replace(voter, *candidate);
    }
  }

  std::vector<std::string> sorted() && {
    std::sort(voters_.begin(), voters_.end());
    return std::move(voters_);
  }

 private:
  std::string zoneOf(const std::string& voter) const {
    if (const auto* member = in_.cluster.controller(voter)) return member->zone;
    return in_.members.lastZone(voter);
  }

  // The storage node that would be the best further voter: responsive, of the preferred zone, of the zone with the
  // fewest voters.
  const schema::Member* bestCandidate(const std::string& zone) const {
    const schema::Member* best = nullptr;
    const auto rank = [&](const schema::Member& node) {
      return std::tuple(in_.members.isUnresponsive(node.voterId, in_.now), node.zone != zone,
                        votersInZone_.at(node.zone), node.voterId);
    };
    for (const auto* node : nodes_) {
      const bool eligible = !base::contains(voters_, node->voterId) &&
                            !in_.members.isRetiring(node->voterId, in_.now) &&
                            votersInZone_.at(node->zone) < zoneLimit_;
      if (eligible && (best == nullptr || rank(*node) < rank(*best))) best = node;
    }
    return best;
  }

  void replace(std::string& voter, const schema::Member& candidate) {
    --votersInZone_[zoneOf(voter)];
    ++votersInZone_[candidate.zone];
    voter = candidate.voterId;
  }

  // A storage node on the voter's own machine under another id: the voter's disk is gone, and nothing is waited for.
  const schema::Member* successorOnSameMachine(const std::string& voter) const {
    const schema::Member* out = nullptr;
    for (const auto* node : nodes_)
      if (node->voterId != voter && machineOf(node->voterId) == machineOf(voter)) out = node;
    return out;
  }

  // Takes a newcomer that stands for this voter out of the list; false when there is none.
  bool takeNewcomerFor(const std::string& voter, std::vector<const schema::Member*>& newcomers) const {
    const auto newcomer = std::find_if(newcomers.begin(), newcomers.end(), [&](const auto* node) {
      return in_.members.isNewcomerFor(voter, *node, in_.newcomerWindow);
    });
    if (newcomer == newcomers.end()) return false;
    newcomers.erase(newcomer);
    return true;
  }

  void replaceIfLost(std::string& voter, std::vector<const schema::Member*>& newcomers) {
    const bool retires = in_.members.isRetiring(voter, in_.now);
    const auto missingSince = in_.members.missingSince(voter);
    if (!missingSince && !retires) return;
    const auto* successor = successorOnSameMachine(voter);
    if (!retires && successor == nullptr && !takeNewcomerFor(voter, newcomers) &&
        in_.now - *missingSince < in_.voterReplacementDelay)
      return;
    const auto zone = successor != nullptr ? successor->zone : zoneOf(voter);
    // The voter makes room for its replacement in its own zone.
    --votersInZone_[zoneOf(voter)];
    const auto* candidate = bestCandidate(zone);
    ++votersInZone_[zoneOf(voter)];
    if (candidate != nullptr) replace(voter, *candidate);
  }

  const PlacementPolicy::Inputs& in_;
  std::vector<const schema::Member*> nodes_;
  std::vector<std::string> voters_;
  std::map<std::string, std::size_t> votersInZone_;
  std::size_t target_ = 0;     // how many voters there are to be
  std::size_t zoneLimit_ = 0;  // how many of them one zone may hold
};

}  // namespace

std::vector<std::string> PlacementPolicy::chooseVoters() const {
  VoterAssignment assignment(in_);
  assignment.replaceLost();
  assignment.grow();
  assignment.rebalanceZones();
  return std::move(assignment).sorted();
}

std::optional<schema::EpochRecord> PlacementPolicy::nextRecord() const {
  auto next = in_.record;
  ++next.epoch;
  next.primary = in_.selfId;
  next.voters = chooseVoters();
  // A replica on each of f backups; with fewer voters than 2f+1 on as many as the voters can lose.
  const auto count = std::min(in_.faultTolerance, next.voters.size() / 2);
  next.backups = chooseBackups(count);
  if (next.backups.size() < count) return std::nullopt;
  const auto& inForce = in_.record.backups;
  // The same ones in another order are no change.
  const bool same = std::is_permutation(next.backups.begin(), next.backups.end(), inForce.begin(), inForce.end());
  if (same || backupsInForceAreGood(count)) next.backups = inForce;
  return next;
}

// Those that are backups stay, unless one of them is why there is a choice.
bool PlacementPolicy::backupsInForceAreGood(std::size_t count) const {
  const auto& backups = in_.record.backups;
  if (in_.record.primary != in_.selfId || backups.size() != count || replicasShareOneZone()) return false;
  return std::all_of(backups.begin(), backups.end(), [&](const auto& backup) {
    return in_.cluster.controller(backup) != nullptr && !in_.members.isUnresponsive(backup, in_.now) &&
           !in_.members.isRetiring(backup, in_.now);
  });
}

std::vector<std::string> PlacementPolicy::chooseBackups(std::size_t count) const {
  return rankBackups(count, in_.cluster.storageNodesExcept(in_.selfId), true);
}

std::vector<std::string> PlacementPolicy::chooseInstalledBackups(std::size_t count,
                                                                 const std::set<std::string>& installed) const {
  auto candidates = in_.cluster.storageNodesExcept(in_.selfId);
  std::erase_if(candidates, [&](const auto* node) { return !installed.contains(node->voterId); });
  // They have just answered, whatever was the matter before.
  return rankBackups(count, std::move(candidates), false);
}

PlacementPolicy::Doubt PlacementPolicy::doubtAbout(const schema::Member& candidate, bool heedResponsiveness) const {
  if (in_.members.isRetiring(candidate.voterId, in_.now)) return Doubt::Retiring;
  // A primary that is being replaced is faulty or retires.
  const bool unresponsive =
      in_.members.isUnresponsive(candidate.voterId, in_.now) || candidate.voterId == in_.record.primary;
  return heedResponsiveness && unresponsive ? Doubt::Unresponsive : Doubt::None;
}

// First those without doubt, then those of zones that hold no replica yet (the loss of a zone must leave one), then
// those that are backups already, voters, standbys.
std::vector<std::string> PlacementPolicy::rankBackups(std::size_t count, std::vector<const schema::Member*> candidates,
                                                      bool heedResponsiveness) const {
  std::map<std::string, std::size_t> replicasInZone;
  if (const auto* self = in_.cluster.controller(in_.selfId)) ++replicasInZone[self->zone];
  const bool leads = in_.record.primary == in_.selfId;
  enum class Standing { Backup, Voter, Standby };
  const auto standingOf = [&](const std::string& voterId) {
    if (leads && base::contains(in_.record.backups, voterId)) return Standing::Backup;
    return base::contains(in_.record.voters, voterId) ? Standing::Voter : Standing::Standby;
  };
  const auto rank = [&](const schema::Member& node) {
    return std::tuple(doubtAbout(node, heedResponsiveness), replicasInZone[node.zone], standingOf(node.voterId));
  };
  std::vector<std::string> out;
  while (out.size() < count && !candidates.empty()) {
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](const auto* a, const auto* b) { return rank(*a) < rank(*b); });
    ++replicasInZone[(*best)->zone];
    out.push_back((*best)->voterId);
    candidates.erase(best);
  }
  return out;
}

bool PlacementPolicy::mayRetire() const {
  auto successors = in_.cluster.storageNodesExcept(in_.selfId);
  std::erase_if(successors, [&](const auto* node) { return in_.members.isRetiring(node->voterId, in_.now); });
  if (in_.record.primary == in_.selfId) return successors.empty();
  if (base::contains(in_.record.backups, in_.selfId)) {
    const auto others = std::count_if(successors.begin(), successors.end(),
                                      [&](const auto* node) { return node->voterId != in_.record.primary; });
    if (static_cast<std::size_t>(others) >= in_.record.backups.size()) return false;
  }
  if (base::contains(in_.record.voters, in_.selfId)) return base::contains(chooseVoters(), in_.selfId);
  // The group's views must not rest on this voter any more.
  return !base::contains(in_.cluster.voters, in_.selfId);
}

bool PlacementPolicy::replicasShareOneZone() const {
  const auto* self = in_.cluster.controller(in_.selfId);
  if (self == nullptr || in_.record.backups.empty()) return false;
  for (const auto& backup : in_.record.backups)
    if (const auto* member = in_.cluster.controller(backup); member == nullptr || member->zone != self->zone)
      return false;
  const auto nodes = in_.cluster.storageNodes();
  return std::any_of(nodes.begin(), nodes.end(), [&](const auto* node) { return node->zone != self->zone; });
}

}  // namespace indigohill::control
