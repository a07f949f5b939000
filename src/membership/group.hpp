#pragma once
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "net/codec.hpp"
#include "schema/messages.hpp"

// The group of daemons and its agreed sequence of views, after "Reliable Communication in the Presence of Failures",
// sections 4.1 and 4.2. A pure state machine: messages and ticks go in with the time, messages come out.
// docs/design.md says what was kept of the paper and what was changed.
namespace indigohill::membership {

struct Times {
  base::Millis hello{500};
  base::Millis suspect{2000};
  base::Millis lease{1500};
  base::Millis join{250};
  base::Millis found{800};
  base::Millis resend{200};
};

enum class Role : std::uint8_t { Router = 1, Controller = 2 };

// An event for the folding side: a view was delivered, or the daemon left the group.
struct Delivered {
  std::optional<schema::View> view;
};

class Group {
 public:
  struct Self {
    std::string id, voterId, zone;
    Role role = Role::Router;
    settings::Endpoint address;
  };

  Group(Self self, std::vector<settings::Endpoint> seeds, Times times, std::uint64_t seed);

  void tick(base::TimePoint now, net::Outbox& out);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  // Leaves in order: the manager is told, and whom to name for the duty.
  void leave(net::Outbox& out);

  // Voters as the control state knows them; the view takes them over by an extension of its own.
  void setVoters(std::uint64_t epoch, const std::vector<std::string>& voters);
  // The newest news this daemon holds, for the flush before a failure view.
  void setHeld(const schema::StateVersion& held) { held_ = held; }
  void setSeeds(std::vector<settings::Endpoint> seeds) { seeds_ = std::move(seeds); }
  // Every address at which the group may be found: members that have announced themselves, seeds, and the controllers
  // of the last view.
  std::vector<settings::Endpoint> contacts() const;
  // View numbers and incarnations below this were used before; kept on disk by voters.
  void setFloor(std::uint64_t floor) { floor_ = std::max(floor_, floor); }
  std::uint64_t floor() const { return floor_; }

  const std::optional<schema::View>& view() const { return view_; }
  // The extension acknowledged and not yet committed. Shares shrink by it already: it may be committed elsewhere.
  const std::optional<schema::Propose>& pending() const { return pending_; }
  bool leaseHeld(base::TimePoint now) const { return now < leaseUntil_; }
  base::TimePoint leaseUntil() const { return leaseUntil_; }
  std::uint64_t incarnation() const { return incarnation_; }
  bool isLister() const { return view_ && view_->lister == incarnation_; }
  const schema::Member* member(const std::string& voterId) const;
  std::vector<Delivered> takeDelivered() { return std::exchange(delivered_, {}); }
  // Whom to ask for news that a failed daemon may have been spreading; empty when nothing is held back.
  std::optional<settings::Endpoint> flushFrom() const;
  // One line for logs: where the agreement stands.
  std::string describe(base::TimePoint now) const;
  std::uint64_t rejected() const { return rejected_; }
  std::uint64_t deaths() const { return deaths_; }

 private:
  struct Round {
    schema::Propose proposal;
    std::set<std::uint64_t> acked;
    base::TimePoint startedAt, sentAt;
    schema::StateVersion flushed;
    std::uint64_t holder = 0;
    base::TimePoint wholeAt{};  // when the whole was last sent to those that lack the base
    base::TimePoint ackedAt{};
  };
  struct Joiner {
    schema::Member member;
    base::TimePoint heardAt;
    std::uint64_t floor = 0;
  };

  // A member of a view, told by itself or by a daemon that it has announced itself to.
  struct Contact {
    base::TimePoint heardAt;
    bool announcedItself = false;
  };

  static bool in(const schema::View& view, std::uint64_t incarnation);
  static const schema::Member* find(const schema::View& view, std::uint64_t incarnation);
  static std::size_t votersIn(const schema::View& view, const std::vector<std::string>& voters);
  static bool quorum(const schema::View& view, const std::vector<std::string>& voters);
  bool quorate(const schema::View& view) const;
  settings::Endpoint addressOf(const schema::Member& m) const { return {m.ip, m.port}; }
  std::vector<const schema::Member*> watched() const;
  bool watchesAll() const;
  bool manages() const;
  void suspectSilent(base::TimePoint now);
  void sendHellos(base::TimePoint now, net::Outbox& out);
  void sendHello(const schema::Member& to, bool wanted, base::TimePoint now, net::Outbox& out);
  void sendJoin(base::TimePoint now, net::Outbox& out);
  bool isVoter() const;
  std::vector<settings::Endpoint> missingSeeds() const;
  void announce(base::TimePoint now, net::Outbox& out);
  void passContactsOn(const settings::Endpoint& to, net::Outbox& out) const;
  void rememberContact(const settings::Endpoint& address, bool announcedItself, base::TimePoint now);
  void showView(const settings::Endpoint& to, base::TimePoint now, net::Outbox& out) const;
  void seekGroup(base::TimePoint now, net::Outbox& out);
  void considerFounding(base::TimePoint now, net::Outbox& out);
  void considerExtension(base::TimePoint now, net::Outbox& out);
  void rebase(const schema::Propose& old, schema::Propose& proposal) const;
  bool extend(schema::View& result, schema::ViewChange& step, bool joinsAlone, base::TimePoint now) const;
  void dropSilentJoiners(base::TimePoint now);
  void remind(base::TimePoint now, net::Outbox& out);
  std::optional<schema::ProposeChanges> changesOf(const schema::Propose& proposal) const;
  bool stale(std::uint64_t base, std::uint64_t number, std::uint64_t proposer, const settings::Endpoint& from,
             base::TimePoint now, net::Outbox& out);
  void sendView(const settings::Endpoint& to, net::Outbox& out) const;
  void propose(base::TimePoint now, net::Outbox& out);
  void considerCommit(base::TimePoint now, net::Outbox& out);
  void deliver(const schema::Commit& commit, base::TimePoint now);
  void tryDelivery(base::TimePoint now);
  void install(const schema::Commit& commit, base::TimePoint now);
  void die(const char* why, base::TimePoint now);
  void renewLease(base::TimePoint now);

  void on(const schema::Heartbeat& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Join& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Propose& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::ProposeChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::CommitChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::ViewRequest& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Ack& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Nack& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Commit& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::YouAreDead& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Leave& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Contacts& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);

  Self self_;
  std::vector<settings::Endpoint> seeds_;
  Times times_;
  std::mt19937_64 random_;
  std::uint64_t bootId_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t floor_ = 0;
  std::uint64_t knownEpoch_ = 0;
  std::vector<std::string> knownVoters_;
  schema::StateVersion held_;

  std::optional<schema::View> view_;
  std::uint64_t viewDigest_ = 0;
  std::optional<schema::Propose> pending_;
  std::optional<schema::Commit> waiting_;  // committed, held back by the flush
  std::optional<Round> round_;
  // The members that have not shown the view that this daemon has committed; they are told again, a few times.
  std::set<std::uint64_t> unshown_;
  std::uint32_t shownTries_ = 0;
  base::TimePoint deliveredAt_{};
  std::map<std::uint64_t, base::TimePoint> heardAt_;
  std::map<std::uint64_t, std::int64_t> stampOf_;  // the newest stamp each member sent, to be echoed
  std::map<std::uint64_t, base::TimePoint> echoAt_;
  std::map<std::uint64_t, base::TimePoint> watchedSince_;
  std::set<std::uint64_t> suspected_;
  std::set<std::uint64_t> leaving_;
  std::uint64_t successor_ = 0;
  std::map<std::string, Joiner> joiners_;
  std::map<std::string, base::TimePoint> barred_;  // joiners that did not acknowledge, until when they wait
  std::vector<settings::Endpoint> lastKnown_;
  std::map<settings::Endpoint, Contact> contacts_;
  std::vector<Delivered> delivered_;
  base::TimePoint leaseUntil_{}, helloAt_{}, joinAt_{}, viewlessSince_{}, pendingAt_{};
  base::TimePoint installedAt_{}, announcedAt_{}, soughtAt_{};
  bool leavingSelf_ = false;
  std::uint64_t rejected_ = 0, deaths_ = 0;
};

}  // namespace indigohill::membership
