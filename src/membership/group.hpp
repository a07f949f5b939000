#pragma once
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "membership/commit_reminder.hpp"
#include "membership/discovery.hpp"
#include "membership/failure_detector.hpp"
#include "membership/joiner_list.hpp"
#include "membership/lease.hpp"
#include "membership/proposal_round.hpp"
#include "membership/times.hpp"
#include "membership/view.hpp"
#include "membership/view_builder.hpp"
#include "net/codec.hpp"
#include "schema/messages.hpp"

// The group of daemons and its agreed sequence of views, after Birman and Joseph, "Reliable Communication in the
// Presence of Failures", sections 4.1 and 4.2. docs/design.md says what was kept of the paper and what was changed.
//
// A pure state machine: messages and ticks go in with the time, messages come out. It joins
//   FailureDetector  who is suspected,
//   Lease            until when this daemon may act on its view, and whether it renews the leases of others,
//   JoinerList       who asks to join,
//   Discovery        addresses at which the group may be found,
//   ProposalRound    the view that this daemon proposes as manager,
//   view_builder     what the next view holds.
// Not thread-safe.
namespace indigohill::membership {

// The daemon has installed a view, or has been expelled from the group (no view).
struct MembershipEvent {
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
  // Graceful shutdown: notifies the managers, and names the next discovery leader if this daemon is it.
  void leave(net::Outbox& out);

  // Voters as the control state knows them; the view takes them over by an extension of its own.
  void setVoters(std::uint64_t epoch, const std::vector<std::string>& voters);
  // This voter has accepted a record; see Lease::onAccepted. Records that were on disk at the start count from ever.
  void setAccepted(const schema::EpochRecord& record, base::TimePoint since);
  // The newest control state that this daemon holds, for the flush before a view is installed.
  void setStateVersion(const schema::StateVersion& version) { stateVersion_ = version; }
  void setSeeds(std::vector<settings::Endpoint> seeds) { discovery_.setSeeds(std::move(seeds)); }
  // Every address at which the group may be found.
  std::vector<settings::Endpoint> contacts() const { return discovery_.contacts(); }
  // View numbers and incarnations up to this were used before; kept on disk by voters.
  void setWatermark(std::uint64_t watermark) { watermark_ = std::max(watermark_, watermark); }
  std::uint64_t watermark() const { return watermark_; }

  const std::optional<schema::View>& view() const { return view_; }
  // The extension acknowledged and not yet committed. Quota shares shrink by it already: it may be committed elsewhere.
  const std::optional<schema::Propose>& pending() const { return pending_; }
  // Whether messages pass to some member in that zone and back. Known of zones with members that this daemon exchanges
  // heartbeats with: voters and the oldest members do so with everyone, others with these alone.
  bool isInTouchWith(const std::string& zone, base::TimePoint now) const;
  bool leaseHeld(base::TimePoint now) const { return lease_.isHeld(now); }
  base::TimePoint leaseUntil() const { return lease_.until(); }
  std::uint64_t incarnation() const { return incarnation_; }
  // Whether this daemon reads the platform's list of runners for all.
  bool isDiscoveryLeader() const { return view_ && view_->discoveryLeader == incarnation_; }
  // The events since the last call.
  std::vector<MembershipEvent> takeEvents() { return std::exchange(events_, {}); }
  // From whom to fetch a control state that a failed daemon may have been spreading; nothing unless a view waits for
  // it.
  std::optional<settings::Endpoint> flushFrom() const;
  // Where the agreement stands, for traces.
  std::string describe(base::TimePoint now) const;
  // Messages that were rejected as stale, and how often this daemon was expelled.
  std::uint64_t rejected() const { return rejected_; }
  std::uint64_t expulsions() const { return expulsions_; }

 private:
  // Roles.
  bool isVoter() const;
  bool isManager() const;
  bool watchesAll() const;
  std::vector<const schema::Member*> watched() const;

  // Heartbeats.
  void updateSuspicions(base::TimePoint now);
  void sendHeartbeats(base::TimePoint now, net::Outbox& out);
  void sendHeartbeat(const schema::Member& to, bool replyRequested, base::TimePoint now, net::Outbox& out) const;
  bool isHeartbeatRequestedBy(const schema::Member& member, base::TimePoint now) const;
  void renewLease(base::TimePoint now);

  // Finding the group.
  void sendJoin(base::TimePoint now, net::Outbox& out);
  void forwardJoinToManager(const schema::Join& join, base::TimePoint now, net::Outbox& out) const;
  void announce(base::TimePoint now, net::Outbox& out);
  void passContactsOn(const settings::Endpoint& to, net::Outbox& out) const;
  void probe(const settings::Endpoint& to, base::TimePoint now, net::Outbox& out) const;
  void probeContacts(base::TimePoint now, net::Outbox& out);

  // Proposing views.
  void considerFounding(base::TimePoint now, net::Outbox& out);
  void considerExtension(base::TimePoint now, net::Outbox& out);
  schema::Propose extensionToContinue() const;
  void propose(base::TimePoint now, net::Outbox& out);
  std::optional<schema::ProposeChanges> changesOf(const schema::Propose& proposal) const;
  void denyUnresponsiveJoiners(base::TimePoint now);
  void giveUpFounding(base::TimePoint now);
  void driveRound(base::TimePoint now, net::Outbox& out);
  void considerCommit(base::TimePoint now, net::Outbox& out);

  // Acknowledging and installing views.
  bool rejectIfStale(std::uint64_t base, std::uint64_t number, std::uint64_t proposer, const settings::Endpoint& from,
                     base::TimePoint now, net::Outbox& out);
  schema::Nack contradiction(const schema::Propose& proposal, std::uint64_t selfIncarnation) const;
  void sendView(const settings::Endpoint& to, net::Outbox& out) const;
  void remindOfCommit(base::TimePoint now, net::Outbox& out);
  void onCommitted(const schema::Commit& commit, base::TimePoint now);
  void installIfFlushed(base::TimePoint now);
  void install(const schema::View& next, base::TimePoint now);
  void becomeExpelled(base::TimePoint now);

  void on(const schema::Heartbeat& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Join& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Propose& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::ProposeChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::CommitChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::ViewRequest& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Ack& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Nack& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Commit& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Expelled& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Leave& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void on(const schema::Contacts& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);

  Self self_;
  Times times_;
  std::mt19937_64 random_;
  std::uint64_t bootId_;           // of this life; another after an expulsion
  std::uint64_t incarnation_ = 0;  // granted by the view; 0: none
  std::uint64_t watermark_ = 0;
  VoterSet voters_;  // of the newest record that is known to be decided
  schema::StateVersion stateVersion_;

  FailureDetector failures_;
  Lease lease_;
  JoinerList joiners_;
  Discovery discovery_;
  CommitReminder commitReminder_;

  std::optional<schema::View> view_;  // installed
  std::uint64_t viewDigest_ = 0;
  std::optional<schema::Propose> pending_;   // acknowledged, not known to be committed
  std::optional<schema::Commit> unflushed_;  // committed, and held back by the flush
  std::optional<ProposalRound> round_;       // proposed by this daemon
  std::set<std::uint64_t> leaving_;          // members that shut down gracefully
  std::uint64_t discoverySuccessor_ = 0;     // named by a leaving discovery leader
  std::vector<MembershipEvent> events_;

  base::TimePoint heartbeatsSentAt_{}, joinSentAt_{}, announcedAt_{}, probedAt_{};
  base::TimePoint withoutViewSince_{}, pendingSince_{}, installedAt_{};
  bool selfLeaving_ = false;
  std::uint64_t rejected_ = 0, expulsions_ = 0;
};

}  // namespace indigohill::membership
