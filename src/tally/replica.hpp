#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/log_event.hpp"
#include "net/codec.hpp"
#include "settings/settings.hpp"
#include "tally/ledger.hpp"
#include "tally/times.hpp"

// One of the replicas of the tallies, as a pure state machine: calls, messages, finished disk writes and ticks go in
// with the time; answers, messages and disk writes come out. docs/apart.md has the argument. Not thread-safe.
namespace indigohill::tally {

// What an add is answered.
enum class AddResult {
  Counted,      // it is counted once, and is on as many disks as it has to be
  NotDone,      // nothing was changed, and nothing will be
  MayBeCounted  // it may be counted now or later; the same id sent again still counts once
};

struct AddAnswer {
  std::uint64_t call = 0;
  AddResult result = AddResult::NotDone;
};

// A write to the log; `Replica::onWritten` tells what became of it. One is under way at a time.
struct LogWrite {
  std::vector<std::string> records;
  bool replace = false;  // the records take the place of all that the log holds
};

struct Effects {
  net::Outbox out;
  std::vector<AddAnswer> answers;
  std::optional<LogWrite> write;
  std::vector<base::LogEvent> log;
};

// Since the start.
struct Counts {
  std::uint64_t counted = 0, notDone = 0, mayBeCounted = 0;  // adds, by their answers
  std::uint64_t addsSent = 0;                                // to other replicas
};

struct Options {
  std::size_t copies =
      2;  // disks that hold an add before it is acknowledged; in a part that is cut off, as many as are left there
  std::size_t maxRemembered = 200'000;  // ids that are known at a time; beyond that adds are turned away
  Times times;
};

// What the daemon knows of the machines of the other replicas.
struct Surroundings {
  std::vector<settings::Endpoint> candidates;  // where replicas may be found
  // Replicas in zones that are in touch: one of them that is silent is down, not cut off.
  std::vector<settings::Endpoint> expected;
  bool isGroupKnown = false;  // false: `expected` says nothing, as this daemon has been in no view since its start
};

// What the log held.
struct Recovered {
  std::uint64_t replica = 0;  // the name under which this replica takes adds; 0: the log was empty
  Ledger ledger;
};
Recovered recover(const std::vector<std::string>& records);

class Replica {
 public:
  // `newName`: for a replica whose log was empty. `mayBeFirst`: the whole system starts for the first time, so that an
  // empty log lacks nothing.
  Replica(Recovered recovered, std::uint64_t newName, bool mayBeFirst, Options options, base::TimePoint now);

  // Adds to a tally. The answer comes with the effects of this or a later call. `id`: neither empty nor with a line
  // break, as `tally`.
  void add(std::uint64_t call, schema::TallyAdd add, base::TimePoint now, Effects& effects);
  // The sum of a tally; none while this replica has not caught up after its start.
  std::optional<std::uint64_t> total(const std::string& tally) const;

  void tick(const Surroundings& surroundings, base::TimePoint now, Effects& effects);
  void receive(const schema::TallyVersions& message, const settings::Endpoint& from, base::TimePoint now,
               Effects& effects);
  void receive(const schema::TallyChanges& message, const settings::Endpoint& from, base::TimePoint now,
               Effects& effects);
  void onWritten(bool isOnDisk, base::TimePoint now, Effects& effects);

  std::uint64_t name() const { return name_; }
  bool hasCaughtUp() const { return caughtUp_; }
  // As of the last tick.
  std::size_t reachablePeers() const { return reachable_; }
  // Replicas that are silent although their zone is in touch, as of the last tick.
  std::size_t downPeers() const { return down_; }
  // Fewer disks can be reached than an add is to be kept on.
  bool isApart() const { return settled_ && reachable_ + 1 < options_.copies; }
  // For how long that has been so; 0 if it is not.
  base::Clock::duration apartFor(base::TimePoint now) const { return isApart() ? now - apartSince_ : base::Millis(0); }
  const Counts& counts() const { return counts_; }
  // Adds on this disk that some known peer is not known to have.
  std::uint64_t unmerged() const;
  const Ledger& ledger() const { return ledger_; }

 private:
  struct Progress {
    std::uint64_t sequence = 0;  // of an origin's adds, on the peer's disk
    base::TimePoint since{};     // of the last step
  };
  struct Offer {
    std::uint64_t through = 0;
    base::TimePoint since{};  // when the peer was last sent what it lacked then from the first on
  };
  struct Peer {
    settings::Endpoint address;
    Versions durable;
    Versions heldAtFirst;  // when it was first heard, before this replica had caught up
    std::int64_t theirSentMs = 0;
    std::optional<base::TimePoint> echoedAt;  // when the newest of our messages was sent that came back as an echo
    base::TimePoint sentAt{};
    std::map<std::uint64_t, Progress> progress;  // by origin
    std::map<std::uint64_t, Offer> offers;       // by origin
  };
  struct Waiting {
    std::uint64_t call = 0;
    Position at;
    base::TimePoint expiresAt;
  };
  struct Checkpoint {
    base::TimePoint at;
    Versions held;  // by every replica
  };

  void answer(std::uint64_t call, AddResult result, Effects& effects);
  bool isReachable(const Peer& peer, base::TimePoint now) const;
  bool mayTakeAdds(base::TimePoint now) const;
  std::size_t copiesWanted() const;
  std::size_t countDown(const Surroundings& surroundings, base::TimePoint now) const;
  std::optional<Position> findStaged(const schema::TallyAdd& add) const;
  Position stageOwn(schema::TallyAdd add);
  void stage(const schema::TallyChanges& changes);
  std::uint64_t stagedThrough(std::uint64_t origin) const;
  void considerWrite(base::TimePoint now, Effects& effects);
  void finishReplacing(bool isOnDisk, Effects& effects);
  void finishAppending(base::TimePoint now, Effects& effects);
  void dropStaged(Effects& effects);
  LogWrite wholeLog() const;
  std::size_t copiesOf(Position at) const;
  void considerAnswers(base::TimePoint now, Effects& effects);
  void pushOwn(base::TimePoint now, Effects& effects);
  void offerChanges(Peer& peer, bool ownAlone, base::TimePoint now, Effects& effects);
  bool mayOffer(const Peer& peer, std::uint64_t origin, std::uint64_t theirs, base::TimePoint now) const;
  void sendVersions(const settings::Endpoint& to, const Peer* peer, bool isReply, base::TimePoint now,
                    Effects& effects) const;
  void exchange(const std::vector<settings::Endpoint>& candidates, base::TimePoint now, Effects& effects);
  void allowForStall(base::TimePoint now);
  void considerCaughtUp(base::TimePoint now);
  void considerFolding(base::TimePoint now);

  std::uint64_t name_;
  Options options_;
  Ledger ledger_;  // what is on the disk
  base::TimePoint startedAt_, tickedAt_;
  std::map<std::uint64_t, Peer> peers_;  // by name
  std::map<settings::Endpoint, base::TimePoint> searches_;
  std::size_t reachable_ = 0, down_ = 0;
  base::TimePoint apartSince_{};
  Counts counts_;
  bool settled_ = false, caughtUp_ = false;
  bool hasState_;  // its own log's, or that of a peer

  schema::TallyChanges staged_, writing_;
  std::map<std::string, Position> stagedIds_;  // of own adds that are not on the disk yet
  std::set<settings::Endpoint> senders_;       // of what is staged or being written
  bool isWriting_ = false, isReplacing_ = false;
  bool mustReplace_ = false;  // what the log holds is not known, or is much more than is wanted
  base::TimePoint writeBegan_{}, replaceTriedAt_{};
  std::size_t logBytes_ = 0, replacedBytes_ = 0;  // since the log was replaced; when it was
  std::vector<Waiting> waiting_;
  std::deque<Checkpoint> checkpoints_;
};

}  // namespace indigohill::tally
