#pragma once
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/lists.hpp"
#include "base/time.hpp"
#include "control/configuration.hpp"
#include "control/order.hpp"
#include "control/pending_answers.hpp"
#include "net/codec.hpp"
#include "rollout/orders.hpp"
#include "schema/messages.hpp"

// The control state of one controller: primary and backups, the epoch records that the voters witness, and the
// operator's orders. A pure state machine; disk writes are asked for and reported back as done.
namespace indigohill::control {

// Keys of what is kept on disk.
enum class Slot : std::uint8_t { Record = 1, Vote = 2, State = 3, Floor = 4, Identity = 5 };

struct DiskWrite {
  std::uint64_t token = 0;
  Slot slot = Slot::Record;
  std::string bytes;
};

struct Effects {
  net::Outbox out;
  std::vector<DiskWrite> writes;
  std::vector<Answer> answers;
  std::vector<std::string> notes;  // for the log
};

// What of the view the control state rests on.
struct ClusterView {
  std::vector<schema::Member> controllers;
  std::vector<std::string> voters;  // that the view rests on
  base::TimePoint leaseUntil{};     // this daemon may act on the view until then
};

struct ReplicaTimes {
  base::Millis beat{400};
  base::Millis resend{250};
  base::Millis retry{900};       // a candidacy without an outcome starts again after this and a random part
  base::Millis quiet{2000};      // a primary in the view that shows no beat for so long is taken over
  base::Millis writeStuck{900};  // a write that a backup or the disk does not finish in this time
  base::Millis orderLife{3500};  // an order not finished by then is answered 503
  base::Millis exchange{3000};   // a voter missing for so long is exchanged
  base::Millis turn{500};     // of several backups that would take over, each waits so much longer than the one before
  base::Millis gather{1500};  // an order waits so long for the machines that faultTolerance calls for
};

class Replica {
 public:
  struct Self {
    std::string voterId;  // empty: a relay, which has no disk and takes no part in the agreement
    settings::Endpoint address;
    std::size_t faultTolerance = 1;  // machines that may be lost at once with their disks (faultTolerance)
  };
  struct Loaded {
    std::optional<schema::EpochRecord> record;
    std::optional<schema::Vote> vote;
    std::optional<schema::ControlState> state;
  };

  Replica(Self self, Loaded loaded, ReplicaTimes times, std::uint64_t seed);

  // The record that all seeds of the very first start arrive at without a word.
  static schema::EpochRecord firstRecord(std::vector<std::string> voters);
  // Whether everything that faultTolerance calls for stands: 2f+1 voters and f backups.
  bool complete() const;

  void tick(base::TimePoint now, const ClusterView& around, Effects& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& effects);
  void synced(std::uint64_t token, bool ok, base::TimePoint now, Effects& effects);
  void order(Order order, base::TimePoint now, Effects& effects);
  // The caller has gone: its order is not carried out if that has not begun.
  void forget(std::uint64_t call);
  // Leaving in order, or a disk in trouble: a backup that answers is asked to take over.
  void transferLeadership(net::Outbox& out);

  // Whether this is the primary, has activated its epoch and holds the lease at this moment.
  bool active(base::TimePoint now) const { return phase_ == Phase::Active && leaseHeld(now); }
  const std::optional<schema::EpochRecord>& record() const { return record_; }
  // What is in force, at the primary alone.
  const std::optional<schema::ControlState>& published() const { return published_; }
  const std::optional<schema::ControlState>& state() const { return state_; }
  // Whether the primary has been heard of lately (or is this one).
  bool primaryFresh(base::TimePoint now) const;
  std::optional<settings::Endpoint> primaryAddress() const;
  schema::StateVersion primaryVersion() const { return announcedVersion_; }
  const std::string& voterId() const { return self_.voterId; }

 private:
  enum class Phase { Idle, Campaigning, Activating, Active };
  struct Candidacy {
    schema::EpochRecord target, value;
    std::uint64_t ballot = 0, bestBallot = 0, installToken = 0, sealToken = 0;
    enum class Step { Installing, Preparing, Accepting } step = Step::Installing;
    bool sealed = false;              // the seal of the present epoch is on disk here
    std::set<std::string> installed;  // that have the whole state on disk
    std::set<std::string> promised, accepted;
    base::TimePoint startedAt, sentAt;
    base::Millis patience{0};
  };
  struct Write {
    schema::ControlState state;
    std::uint64_t token = 0;
    bool ownDone = false;
    std::set<std::string> copied;
    base::TimePoint startedAt, sentAt;
    std::optional<QueuedOrder> order;  // none at activation
  };
  struct Reply {
    std::string to;
    schema::Message message;
  };
  bool relay() const { return self_.voterId.empty(); }
  bool isBackup() const { return base::contains(record_->backups, self_.voterId); }
  bool copiesWhole(const std::set<std::string>& done) const;
  // Of the view's controllers those with a disk; `self` says whether this one is counted.
  std::vector<const schema::Member*> storageNodes(bool self) const;
  bool silent(const std::string& voterId, base::TimePoint now) const;
  bool anySilent(base::TimePoint now) const;
  bool inOneZone(const std::vector<std::string>& copies) const;
  void chooseVoters(schema::EpochRecord& target, base::TimePoint now) const;
  std::vector<std::string> chooseBackups(std::size_t count, const std::set<std::string>* among,
                                         base::TimePoint now) const;
  void considerPreparing(base::TimePoint now, Effects& effects);
  bool leaseHeld(base::TimePoint now) const { return now < cluster_.leaseUntil; }
  void askForConfirmation(base::TimePoint now, Effects& effects);
  void considerAnswering(base::TimePoint now, Effects& effects);
  void requeue();
  bool accepts(std::uint64_t epoch) const;
  const schema::Member* controller(const std::string& voterId) const;
  std::optional<settings::Endpoint> addressOf(const std::string& voterId) const;
  void send(const std::string& to, schema::Message message, Effects& effects);
  void handle(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& effects);
  void drainLocal(base::TimePoint now, Effects& effects);
  std::uint64_t write(Slot slot, std::string bytes, Effects& effects);
  void saveVote(std::optional<Reply> reply, Effects& effects);
  void adopt(const schema::EpochRecord& record, base::TimePoint now, Effects& effects);
  void campaign(base::TimePoint now, Effects& effects);
  bool chooseNextRecord(schema::EpochRecord& target, base::TimePoint now) const;
  void push(base::TimePoint now, Effects& effects);
  void considerCampaign(base::TimePoint now, Effects& effects);
  void watchVoters(base::TimePoint now);
  void startWrite(schema::ControlState state, std::optional<QueuedOrder> order, base::TimePoint now, Effects& effects);
  void sendCopies(base::TimePoint now, Effects& effects);
  void beat(base::TimePoint now, Effects& effects);
  void finishWrite(base::TimePoint now, Effects& effects);
  void nextOrder(base::TimePoint now, Effects& effects);
  void stepDown(Effects& effects);
  Answer refusal(std::uint64_t call, base::TimePoint now) const;
  Answer describe(const Order& order) const;
  std::optional<Answer> prepare(const Order& order, schema::ControlState& next) const;
  std::optional<Answer> prepareConfiguration(const Order& order, schema::ControlState& next) const;
  std::optional<Answer> prepareRollout(const Order& order, rollout::Change kind, schema::ControlState& next) const;

  void on(const schema::Prepare& m, base::TimePoint now, Effects& effects);
  void on(const schema::Promise& m, base::TimePoint now, Effects& effects);
  void on(const schema::Accept& m, base::TimePoint now, Effects& effects);
  void on(const schema::Accepted& m, base::TimePoint now, Effects& effects);
  void on(const schema::Decided& m, base::TimePoint now, Effects& effects);
  void on(const schema::ReplicateState& m, base::TimePoint now, Effects& effects);
  void on(const schema::ReplicateAck& m, base::TimePoint now, Effects& effects);
  void on(const schema::ConfirmEpoch& m, base::TimePoint now, Effects& effects);
  void on(const schema::EpochConfirmed& m, base::TimePoint now, Effects& effects);
  void on(const schema::PrimaryHeartbeat& m, base::TimePoint now, Effects& effects);
  void on(const schema::TransferLeadership& m, base::TimePoint now, Effects& effects);

  Self self_;
  ReplicaTimes times_;
  std::mt19937_64 random_;
  ClusterView cluster_;
  std::optional<schema::EpochRecord> record_;
  schema::Vote vote_;
  std::optional<schema::ControlState> state_, published_;
  std::map<std::string, settings::Endpoint> lastAddress_;
  std::map<std::string, base::TimePoint> missingSince_;
  std::map<std::string, std::string> seenIn_;        // the zone in which each voter was last seen
  std::map<std::string, base::TimePoint> silentAt_;  // when a backup last failed to answer in time

  Phase phase_ = Phase::Idle;
  std::optional<Candidacy> candidacy_;
  std::optional<Write> current_;
  std::deque<QueuedOrder> orders_;
  PendingAnswers pendingAnswers_;
  std::map<std::uint64_t, Reply> replies_;  // said once the write with this token is on disk
  std::deque<schema::Message> local_;
  std::uint64_t nextToken_ = 1;
  schema::StateVersion announcedVersion_;
  base::TimePoint beatAt_{}, beatSentAt_{}, campaignAfter_{}, leaseSince_{}, primaryGoneAt_{}, activeSince_{},
      spreadAt_{};
  bool beatSeen_ = false, transferRequested_ = false, diskBad_ = false, primaryGone_ = false;
};

}  // namespace indigohill::control
