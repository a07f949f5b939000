#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "control/cluster_view.hpp"
#include "control/effects.hpp"
#include "schema/messages.hpp"

// The candidate's side of the agreement on one epoch record: the proposer of single-decree Paxos, and before it the
// installation of the control state at the backups that the record names. The steps, in order:
//
//   Installing  the backups of the target record write the whole state to disk, and the candidate seals the epoch in
//               force on its own disk: it neither makes nor takes replicas of that epoch any more. A candidate that
//               lost the seal in a crash would take replicas again that its new backups lack.
//   Preparing   phase 1: a majority of the voters of the record in force promises the ballot. The proposal becomes the
//               accepted record of the highest ballot among them, if there is one.
//   Accepting   phase 2: a majority of the voters in force, and of those that the proposal names, accepts it.
//
// A campaign that finishes a record accepted earlier begins with Preparing.
namespace indigohill::control {

class Campaign {
 public:
  enum class Step { Installing, Preparing, Accepting };
  struct Start {
    schema::EpochRecord target;
    Step step = Step::Installing;
    std::uint64_t ballot = 0;
    std::uint64_t installToken = 0;  // of the installations, echoed in their acknowledgements
    std::uint64_t sealToken = 0;     // of the disk write that seals the epoch in force
    base::TimePoint at{};
    base::Millis timeout{0};
  };
  explicit Campaign(Start start);

  Step step() const { return step_; }
  std::uint64_t ballot() const { return start_.ballot; }
  // The record that is proposed: the target, or one that a voter had accepted before.
  const schema::EpochRecord& proposal() const { return proposal_; }
  bool timedOut(base::TimePoint now) const { return age(now) > start_.timeout; }
  base::Clock::duration age(base::TimePoint now) const { return now - start_.at; }
  base::Clock::duration sinceSent(base::TimePoint now) const { return now - sentAt_; }

  // The messages that the present step still waits for an answer to. `inForce` and `state` are what this replica holds.
  std::vector<PeerMessage> messages(const std::string& self, const schema::EpochRecord& inForce,
                                    const std::optional<schema::ReplicatedState>& state, const ClusterView& cluster,
                                    base::TimePoint now);

  // Installing.
  bool isSealWrite(std::uint64_t token) const { return token == start_.sealToken; }
  void markSealed() { sealed_ = true; }
  bool awaitsInstallation(std::uint64_t token) const {
    return step_ == Step::Installing && token == start_.installToken;
  }
  void addInstalled(const std::string& from) { installed_.insert(from); }
  const std::set<std::string>& installed() const { return installed_; }
  bool isSealed() const { return sealed_; }
  const std::vector<std::string>& backups() const { return start_.target.backups; }
  std::vector<std::string> backupsNotInstalled() const;
  void replaceBackups(const std::vector<std::string>& backups);
  void startPreparing() { step_ = Step::Preparing; }

  // Preparing.
  bool awaitsPromise(std::uint64_t slot) const { return step_ == Step::Preparing && slot == start_.target.epoch; }
  void addPromise(const schema::Promise& promise);
  bool isPromised(const std::vector<std::string>& voters) const;
  void startAccepting() { step_ = Step::Accepting; }

  // Accepting.
  bool awaitsAccepted(std::uint64_t slot, std::uint64_t ballot) const {
    return step_ == Step::Accepting && slot == start_.target.epoch && ballot == start_.ballot;
  }
  void addAccepted(const std::string& from) { accepted_.insert(from); }
  // Whether the proposal is decided, given the voters of the record in force.
  bool isDecided(const std::vector<std::string>& voters) const;

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  std::vector<PeerMessage> installations(const std::string& self, const schema::EpochRecord& inForce,
                                         const schema::ReplicatedState& state, const ClusterView& cluster,
                                         bool first) const;
  std::vector<PeerMessage> prepares(const std::string& self, const schema::EpochRecord& inForce, bool first) const;
  std::vector<PeerMessage> accepts(const std::string& self, const schema::EpochRecord& inForce) const;

  Start start_;
  Step step_;
  schema::EpochRecord proposal_;
  std::uint64_t highestAcceptedBallot_ = 0;  // among the promises
  bool sealed_ = false;
  std::set<std::string> installed_, promised_, accepted_;
  base::TimePoint sentAt_{};
};

}  // namespace indigohill::control
