#include "control/campaign.hpp"

#include "base/fingerprint.hpp"
#include "control/quorum.hpp"
#include "control/state_replication.hpp"

namespace indigohill::control {

Campaign::Campaign(Start start) : start_(std::move(start)), step_(start_.step), proposal_(start_.target) {}

std::vector<PeerMessage> Campaign::messages(const std::string& self, const schema::EpochRecord& inForce,
                                            const std::optional<schema::ReplicatedState>& state,
                                            const ClusterView& cluster, base::TimePoint now) {
  sentAt_ = now;
  const bool first = now == start_.at;
  switch (step_) {
    case Step::Installing:
      return installations(self, inForce, *state, cluster, first);
    case Step::Preparing:
      return prepares(self, inForce, first);
    case Step::Accepting:
      return accepts(self, inForce);
  }
  return {};
}

// At first to the backups of the target; if they do not all answer at once, to every storage node: several may have
// failed together, and they are not to be found out one after the other.
std::vector<PeerMessage> Campaign::installations(const std::string& self, const schema::EpochRecord& inForce,
                                                 const schema::ReplicatedState& state, const ClusterView& cluster,
                                                 bool first) const {
  std::set<std::string> targets(backups().begin(), backups().end());
  if (!first)
    for (const auto* node : cluster.storageNodesExcept(self)) targets.insert(node->voterId);
  std::vector<PeerMessage> out;
  for (const auto& to : targets)
    if (!installed_.contains(to))
      out.push_back({to, replicateMessage(self, start_.installToken, true, inForce, state)});
  return out;
}

// A voter that does not answer may have missed the record in force.
std::vector<PeerMessage> Campaign::prepares(const std::string& self, const schema::EpochRecord& inForce,
                                            bool first) const {
  std::vector<PeerMessage> out;
  for (const auto& voter : inForce.voters) {
    if (promised_.contains(voter)) continue;
    if (!first) out.push_back({voter, schema::Decided{inForce}});
    out.push_back({voter, schema::Prepare{self, start_.target.epoch, start_.ballot}});
  }
  return out;
}

std::vector<PeerMessage> Campaign::accepts(const std::string& self, const schema::EpochRecord& inForce) const {
  std::set<std::string> voters(inForce.voters.begin(), inForce.voters.end());
  voters.insert(proposal_.voters.begin(), proposal_.voters.end());
  std::vector<PeerMessage> out;
  for (const auto& voter : voters)
    if (!accepted_.contains(voter))
      out.push_back({voter, schema::Accept{self, start_.target.epoch, start_.ballot, proposal_}});
  return out;
}

std::vector<std::string> Campaign::backupsNotInstalled() const {
  std::vector<std::string> out;
  for (const auto& backup : backups())
    if (!installed_.contains(backup)) out.push_back(backup);
  return out;
}

void Campaign::replaceBackups(const std::vector<std::string>& backups) {
  start_.target.backups = backups;
  proposal_.backups = backups;
}

void Campaign::addPromise(const schema::Promise& promise) {
  promised_.insert(promise.from);
  if (promise.acceptedBallot <= highestAcceptedBallot_) return;
  highestAcceptedBallot_ = promise.acceptedBallot;
  proposal_ = promise.accepted;
}

bool Campaign::isPromised(const std::vector<std::string>& voters) const { return isMajority(promised_, voters); }

// While voters change, those that are to come have a say as well: the next record asks them.
bool Campaign::isDecided(const std::vector<std::string>& voters) const {
  return isMajority(accepted_, voters) && isMajority(accepted_, proposal_.voters);
}

void Campaign::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(start_.target, proposal_, start_.ballot, highestAcceptedBallot_, start_.installToken, start_.sealToken);
  out.add(step_, sealed_, installed_, promised_, accepted_, start_.timeout.count());
  out.age(start_.at, now, horizon);
  out.age(sentAt_, now, horizon);
}

}  // namespace indigohill::control
