#pragma once
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/lists.hpp"
#include "base/time.hpp"
#include "control/campaign.hpp"
#include "control/cluster_view.hpp"
#include "control/effects.hpp"
#include "control/epoch_acceptor.hpp"
#include "control/member_tracker.hpp"
#include "control/order.hpp"
#include "control/order_queue.hpp"
#include "control/placement_policy.hpp"
#include "control/primary_monitor.hpp"
#include "control/replica_times.hpp"
#include "control/state_replication.hpp"
#include "lease/store_clock.hpp"
#include "net/codec.hpp"
#include "schema/messages.hpp"

// The control state of one controller. A primary replicates each change to the backups of its epoch before it answers
// the operator; the voters agree on one record for each epoch, which names primary, backups and voters.
//
// A pure state machine: messages, ticks and finished disk writes go in with the time, effects come out. It joins
//   EpochAcceptor     the voter's side of the agreement on records,
//   Campaign          the candidate's side,
//   StateReplication  the state held, and its write to the backups,
//   OrderQueue        the operators' orders (judged by order_processor.hpp),
//   PrimaryMonitor    whether the primary is there,
//   MemberTracker     what was seen of the other controllers,
//   PlacementPolicy   the choice of voters and backups,
//   StoreClock        when the leases of duties end (judged by lease/judge.hpp).
// It is copyable, as the model checker copies it. docs/control has the arguments for its safety.
namespace indigohill::control {

class Replica {
 public:
  struct Self {
    std::string voterId;  // empty: an observer, which keeps nothing on disk and takes no part in the agreement
    settings::Endpoint address;
    std::size_t faultTolerance = 1;  // machines that may be lost at once with their disks
  };
  // What the disk held.
  struct Loaded {
    std::optional<schema::EpochRecord> record;
    std::optional<schema::Vote> vote;
    std::optional<schema::ControlState> state;
    schema::DutyState duties{};
  };

  Replica(Self self, Loaded loaded, ReplicaTimes times, std::uint64_t seed);

  // The record of epoch 1, at which all seeds of the very first start arrive without a message.
  static schema::EpochRecord firstRecord(std::vector<std::string> voters);

  void tick(base::TimePoint now, const ClusterView& cluster, Effects& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& effects);
  // A write of `Effects::writes` has ended.
  void onDiskWrite(std::uint64_t token, WriteOutcome outcome, base::TimePoint now, Effects& effects);
  // An operator's order; its answer is among the effects of this call or of a later one.
  void submit(Order order, base::TimePoint now, Effects& effects);
  // The caller has gone: its order is dropped if it has not been begun.
  void cancel(std::uint64_t call) { orders_.forget(call); }

  // Graceful shutdown: asks, with each tick, to be replaced as primary, backup and voter.
  void retire(base::TimePoint now, Effects& effects);
  // Whether the process may end without costing a replica or a vote: it has neither, or nobody can take its place.
  bool mayRetire(base::TimePoint now) const;
  // Asks a backup to take over from this primary, for a shutdown or a failing disk.
  void transferLeadership(net::Outbox& out) const;

  // Whether this is the primary, has activated its epoch and holds the lease at this moment.
  bool active(base::TimePoint now) const { return phase_ == Phase::Active && leaseHeld(now); }
  // Whether there is all that the fault tolerance f calls for: 2f+1 voters and f backups.
  bool isFullyReplicated() const;
  const std::optional<schema::EpochRecord>& record() const { return record_; }
  // The next record, as accepted by this voter and not known to be decided.
  const schema::EpochRecord* accepted() const { return acceptor_.acceptedAfter(record_ ? record_->epoch : 0); }
  // What is in force, at the primary alone.
  const schema::ControlState* published() const { return controlIn(replication_.published()); }
  const schema::ControlState* state() const { return controlIn(replication_.state()); }
  // The leases of duties as they are in force; nothing unless this is the active primary and there has been one.
  std::optional<schema::LeaseTable> leaseTable(base::TimePoint now) const;
  // The duty state that this replica holds, in force or not; null when it holds none.
  const schema::DutyState* duties() const { return replication_.state() ? &replication_.state()->duties : nullptr; }
  // Whether the primary has been heard from lately (or is this one).
  bool isPrimaryFresh(base::TimePoint now) const;
  std::optional<settings::Endpoint> primaryAddress() const;
  const std::string& voterId() const { return self_.voterId; }
  // Whether this voter has accepted no record after that of `epoch`.
  bool confirms(std::uint64_t epoch) const;
  // The same for two replicas that will act alike from `now` on; for the model checker.
  std::uint64_t fingerprint(base::TimePoint now) const;

 private:
  enum class Phase {
    Idle,
    Campaigning,  // for a record that would make this replica primary
    Activating,   // elected; the state is being replicated under the new epoch
    Active
  };
  // A message that is sent once a disk write is synced.
  using Reply = PeerMessage;

  static const schema::ControlState* controlIn(const std::optional<schema::ReplicatedState>& state) {
    return state ? &state->control : nullptr;
  }
  static std::optional<schema::ReplicatedState> stateOf(Loaded& loaded);
  bool isObserver() const { return self_.voterId.empty(); }
  bool isPrimary() const { return record_->primary == self_.voterId; }
  bool isBackup() const { return base::contains(record_->backups, self_.voterId); }
  bool isVoter() const { return base::contains(record_->voters, self_.voterId); }
  bool leaseHeld(base::TimePoint now) const { return cluster_.leaseHeld(now); }
  PlacementPolicy placement(base::TimePoint now) const;
  bool anyBackupUnresponsive(base::TimePoint now) const;
  bool anyBackupRetiring(base::TimePoint now) const;

  // Messages and disk.
  std::optional<settings::Endpoint> addressOf(const std::string& voterId) const;
  void send(const std::string& to, schema::Message message, Effects& effects);
  void sendAll(std::vector<PeerMessage> messages, Effects& effects);
  void sendToControllers(const schema::Message& message, Effects& effects) const;
  void handle(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& effects);
  void drainLoopback(base::TimePoint now, Effects& effects);
  std::uint64_t write(Slot slot, std::string bytes, Effects& effects);
  void saveVote(std::optional<Reply> reply, Effects& effects);

  // Leadership.
  void considerCampaign(base::TimePoint now, Effects& effects);
  void continueCampaign(base::TimePoint now, Effects& effects);
  void considerFinishing(base::TimePoint now, Effects& effects);
  void considerNextRecord(base::TimePoint now, Effects& effects);
  void considerOrphanedRecord(base::TimePoint now, Effects& effects);
  void campaign(base::TimePoint now, Effects& effects);
  void finishAcceptedRecord(base::TimePoint now, Effects& effects);
  void startCampaign(schema::EpochRecord target, Campaign::Step firstStep, base::TimePoint now, Effects& effects);
  void sendCampaign(base::TimePoint now, Effects& effects);
  void considerPreparing(base::TimePoint now, Effects& effects);
  base::Millis randomizedCampaignTimeout();
  void adopt(const schema::EpochRecord& record, base::TimePoint now, Effects& effects);
  void stepDown(Effects& effects);
  void restDisk(base::TimePoint now, Effects& effects);
  void resendRecord(base::TimePoint now, Effects& effects);
  void announceRetirement(base::TimePoint now, Effects& effects);

  // Replication of the state.
  void takeReplica(const schema::ReplicateStateWithDuties& m, base::TimePoint now, Effects& effects);
  void startWrite(schema::ReplicatedState state, std::optional<QueuedOrder> order, base::TimePoint now,
                  Effects& effects);
  void checkWrite(base::TimePoint now, Effects& effects);
  void considerPublishing(base::TimePoint now, Effects& effects);
  void sendHeartbeats(base::TimePoint now, Effects& effects);

  // Orders.
  Answer redirectOrReject(std::uint64_t call, base::TimePoint now) const;
  bool awaitsPlacement(base::TimePoint now) const;
  void processOrders(base::TimePoint now, Effects& effects);
  void processLeaseRequest(QueuedOrder queued, base::TimePoint now, Effects& effects);
  void processOrder(QueuedOrder queued, bool reads, base::TimePoint now, Effects& effects);
  void requestConfirmation(base::TimePoint now, Effects& effects);
  void answerConfirmed(base::TimePoint now, Effects& effects);

  void on(const schema::Prepare& m, base::TimePoint now, Effects& effects);
  void on(const schema::Promise& m, base::TimePoint now, Effects& effects);
  void on(const schema::Accept& m, base::TimePoint now, Effects& effects);
  void on(const schema::Accepted& m, base::TimePoint now, Effects& effects);
  void on(const schema::Decided& m, base::TimePoint now, Effects& effects);
  void on(const schema::ReplicateState& m, base::TimePoint now, Effects& effects);
  void on(const schema::ReplicateStateWithDuties& m, base::TimePoint now, Effects& effects);
  void on(const schema::ReplicateAck& m, base::TimePoint now, Effects& effects);
  void on(const schema::ConfirmEpoch& m, base::TimePoint now, Effects& effects);
  void on(const schema::EpochConfirmed& m, base::TimePoint now, Effects& effects);
  void on(const schema::PrimaryHeartbeat& m, base::TimePoint now, Effects& effects);
  void on(const schema::Retiring& m, base::TimePoint now, Effects& effects);
  void on(const schema::TransferLeadership& m, base::TimePoint now, Effects& effects);

  Self self_;
  ReplicaTimes times_;
  std::mt19937_64 random_;
  ClusterView cluster_;
  std::optional<schema::EpochRecord> record_;  // in force: the newest that is known to be decided
  Phase phase_ = Phase::Idle;

  EpochAcceptor acceptor_;
  StateReplication replication_;
  OrderQueue orders_;
  MemberTracker members_;
  PrimaryMonitor primary_;
  std::optional<Campaign> campaign_;
  lease::StoreClock leaseClock_;

  std::uint64_t nextToken_ = 1;             // of disk writes
  std::map<std::uint64_t, Reply> replies_;  // by the token of the write that they wait for
  std::deque<schema::Message> loopback_;    // messages of this replica to itself
  bool diskFailing_ = false;
  base::TimePoint campaignNotBefore_{};
  base::TimePoint activeSince_{};
  base::TimePoint heartbeatSentAt_{}, recordSentAt_{}, retirementSentAt_{}, zoneSpreadAt_{};
};

}  // namespace indigohill::control
