#pragma once
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/configuration.hpp"
#include "net/codec.hpp"
#include "rollout/orders.hpp"
#include "schema/messages.hpp"

// The control state of one controller: primary and backup, the epoch records that the voters witness, and the
// operator's orders. A pure state machine; disk writes are asked for and reported back as done.
namespace indigohill::control {

enum class OrderKind {
  Replace,
  Update,
  Evacuate,
  EndEvacuation,
  Describe,
  DeclareRollout,
  AdvanceRollout,
  WithdrawRollout,
  DescribeRollouts
};

struct Order {
  std::uint64_t call = 0;
  OrderKind kind = OrderKind::Describe;
  std::uint64_t baseVersion = 0;
  std::string body;  // document, update, or name of the zone
  std::string service{};                      // of a rollout
  std::vector<schema::RunnerEntry> runners{};  // as this controller knows them, for rollouts
};

struct Answer {
  std::uint64_t call = 0;
  int status = 503;
  std::string body;
  settings::Endpoint redirect;  // cohort address of the primary, where status is 307
};

// Keys of what is kept on disk.
enum class Slot : std::uint8_t { Record = 1, Vote = 2, Frame = 3, Floor = 4, Identity = 5 };

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
struct Around {
  std::vector<schema::Member> controllers;
  bool lease = false;
};

struct ReplicaTimes {
  base::Millis beat{400};
  base::Millis resend{250};
  base::Millis retry{900};       // a candidacy without an outcome starts again after this and a random part
  base::Millis quiet{2000};      // a primary in the view that shows no beat for so long is taken over
  base::Millis writeStuck{1200}; // a write that the backup or the disk does not finish in this time
  base::Millis orderLife{3500};  // an order not finished by then is answered 503
  base::Millis exchange{3000};   // a voter missing for so long is exchanged
};

class Replica {
 public:
  struct Self {
    std::string voterId;
    settings::Endpoint address;
  };
  struct Loaded {
    std::optional<schema::EpochRecord> record;
    std::optional<schema::Vote> vote;
    std::optional<schema::Frame> frame;
  };

  Replica(Self self, Loaded loaded, ReplicaTimes times, std::uint64_t seed);

  // The record that all seeds of the very first start arrive at without a word.
  static schema::EpochRecord firstRecord(std::vector<std::string> voters);

  void tick(base::TimePoint now, const Around& around, Effects& fx);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& fx);
  void synced(std::uint64_t token, bool ok, base::TimePoint now, Effects& fx);
  void order(Order order, base::TimePoint now, Effects& fx);
  // Leaving in order, or a disk in trouble: the backup is asked to take over.
  void handOver(net::Outbox& out);

  bool active() const { return phase_ == Phase::Active; }
  const std::optional<schema::EpochRecord>& record() const { return record_; }
  // What is in force, at the active primary alone.
  const std::optional<schema::Frame>& published() const { return published_; }
  const std::optional<schema::Frame>& frame() const { return frame_; }
  // Whether the primary has been heard of lately (or is this one).
  bool primaryFresh(base::TimePoint now) const;
  std::optional<settings::Endpoint> primaryAddress() const;
  schema::Stamp primaryStamp() const { return beatStamp_; }
  const std::string& voterId() const { return self_.voterId; }

 private:
  enum class Phase { Idle, Standing, Activating, Active };
  struct Candidacy {
    schema::EpochRecord target, value;
    std::uint64_t ballot = 0, bestBallot = 0, installToken = 0;
    enum class Step { Installing, Preparing, Accepting } step = Step::Installing;
    std::set<std::string> promised, accepted;
    base::TimePoint startedAt, sentAt;
    base::Millis patience{0};
  };
  struct Write {
    schema::Frame frame;
    std::uint64_t token = 0;
    bool ownDone = false, copyDone = false;
    base::TimePoint startedAt, sentAt;
    std::optional<Order> order;  // none at activation
  };
  struct Reply {
    std::string to;
    schema::Message message;
  };
  struct Reading {
    Order order;
    std::uint64_t token = 0;
    base::TimePoint startedAt, sentAt;
  };

  const schema::Member* controller(const std::string& voterId) const;
  std::optional<settings::Endpoint> addressOf(const std::string& voterId) const;
  void send(const std::string& to, schema::Message message, Effects& fx);
  void handle(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& fx);
  void drainLocal(base::TimePoint now, Effects& fx);
  std::uint64_t write(Slot slot, std::string bytes, Effects& fx);
  void saveVote(std::optional<Reply> reply, Effects& fx);
  void adopt(const schema::EpochRecord& record, base::TimePoint now, Effects& fx);
  void stand(base::TimePoint now, Effects& fx);
  bool chooseTarget(schema::EpochRecord& target, base::TimePoint now) const;
  void push(base::TimePoint now, Effects& fx);
  void considerStanding(base::TimePoint now, Effects& fx);
  void considerExchange(base::TimePoint now, Effects& fx);
  void startWrite(schema::Frame frame, std::optional<Order> order, base::TimePoint now, Effects& fx);
  void sendCopy(base::TimePoint now, Effects& fx);
  void finishWrite(base::TimePoint now, Effects& fx);
  void nextOrder(base::TimePoint now, Effects& fx);
  void stepDown(Effects& fx);
  Answer refusal(std::uint64_t call, base::TimePoint now) const;
  std::optional<Answer> prepare(const Order& order, schema::Frame& next) const;
  std::optional<Answer> prepareRollout(const Order& order, rollout::Change kind, schema::Frame& next) const;

  void on(const schema::Prepare& m, base::TimePoint now, Effects& fx);
  void on(const schema::Promise& m, base::TimePoint now, Effects& fx);
  void on(const schema::Accept& m, base::TimePoint now, Effects& fx);
  void on(const schema::Accepted& m, base::TimePoint now, Effects& fx);
  void on(const schema::Decided& m, base::TimePoint now, Effects& fx);
  void on(const schema::Copy& m, base::TimePoint now, Effects& fx);
  void on(const schema::Copied& m, base::TimePoint now, Effects& fx);
  void on(const schema::Confirm& m, base::TimePoint now, Effects& fx);
  void on(const schema::Confirmed& m, base::TimePoint now, Effects& fx);
  void on(const schema::Beat& m, base::TimePoint now, Effects& fx);
  void on(const schema::HandOver& m, base::TimePoint now, Effects& fx);

  Self self_;
  ReplicaTimes times_;
  std::mt19937_64 random_;
  Around around_;
  std::optional<schema::EpochRecord> record_;
  schema::Vote vote_;
  std::optional<schema::Frame> frame_, published_;
  std::map<std::string, settings::Endpoint> lastAddress_;
  std::map<std::string, base::TimePoint> missingSince_;
  std::map<std::string, std::string> zones_;  // where each voter was last seen

  Phase phase_ = Phase::Idle;
  std::optional<Candidacy> candidacy_;
  std::optional<Write> current_;
  std::deque<std::pair<Order, base::TimePoint>> orders_;
  std::vector<Reading> readings_;
  std::map<std::uint64_t, Reply> replies_;  // said once the write with this token is on disk
  std::deque<schema::Message> local_;
  std::uint64_t nextToken_ = 1;
  schema::Stamp beatStamp_;
  base::TimePoint beatAt_{}, beatSentAt_{}, standAt_{}, leaseSince_{};
  bool beatSeen_ = false, handOverAsked_ = false, backupSilent_ = false, diskBad_ = false;
};

}  // namespace indigohill::control
