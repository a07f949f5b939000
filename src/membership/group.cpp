#include "membership/group.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/lists.hpp"

namespace indigohill::membership {

namespace {

constexpr std::size_t kOldestWatched = 2;
// In suspicion time-outs: how long a daemon without a view keeps a proposal that nobody completes.
constexpr int kPendingKeptFor = 2;
// A daemon that holds a proposal with itself in it has been received, so it asks to join at a slower pace.
constexpr int kPendingJoinSlowdown = 2;

}  // namespace

Group::Group(Self self, std::vector<settings::Endpoint> seeds, Times times, std::uint64_t seed)
    : self_(std::move(self)),
      times_(times),
      random_(seed),
      bootId_(random_()),
      failures_(times.suspicionTimeout),
      lease_(times),
      joiners_(times),
      discovery_(self_.address, std::move(seeds), times.suspicionTimeout),
      commitReminder_(times.resendInterval) {}

void Group::tick(base::TimePoint now, net::Outbox& out) {
  if (withoutViewSince_ == base::TimePoint{}) withoutViewSince_ = now;
  joiners_.expire(now);
  discovery_.expire(now);
  lease_.onVotersDecided(voters_.voters, now);
  installIfFlushed(now);
  if (!view_) {
    // The commit may be lost, so it goes on asking.
    if (now - joinSentAt_ >= (pending_ ? kPendingJoinSlowdown : 1) * times_.joinInterval) sendJoin(now, out);
    considerFounding(now, out);
  } else {
    updateSuspicions(now);
    denyUnresponsiveJoiners(now);
    remindOfCommit(now, out);
    if (now - heartbeatsSentAt_ >= times_.heartbeatInterval) sendHeartbeats(now, out);
    announce(now, out);
    probeContacts(now, out);
    considerExtension(now, out);
  }
  if (round_) driveRound(now, out);
  // An unfinished founding that no one completes must not hold a daemon without a view for good.
  if (pending_ && !view_ && now - pendingSince_ > kPendingKeptFor * times_.suspicionTimeout) pending_.reset();
  renewLease(now);
}

void Group::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                    net::Outbox& out) {
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { on(m, from, now, out); }) on(m, from, now, out);
      },
      message);
}

void Group::setVoters(std::uint64_t epoch, const std::vector<std::string>& voters) {
  if (epoch > voters_.epoch) voters_ = {epoch, voters};
}

void Group::setAccepted(const schema::EpochRecord& record, base::TimePoint since) {
  if (!view_ || record.epoch > view_->epoch) lease_.onAccepted(record, since);
}

std::optional<settings::Endpoint> Group::flushFrom() const {
  if (!unflushed_) return std::nullopt;
  const auto* holder = findMember(unflushed_->result, unflushed_->flushHolder);
  if (holder == nullptr) return std::nullopt;
  return addressOf(*holder);
}

void Group::leave(net::Outbox& out) {
  if (selfLeaving_) return;
  selfLeaving_ = true;
  if (!view_) return;
  schema::Leave leave;
  leave.incarnation = incarnation_;
  if (isDiscoveryLeader())
    for (const auto& member : view_->members)
      if (member.incarnation != incarnation_ && isController(member) && !failures_.isSuspected(member.incarnation) &&
          leave.successor == 0)
        leave.successor = member.incarnation;
  leaving_.insert(incarnation_);
  // To the members that watch: whichever of them manages takes it up.
  for (const auto* member : watched()) out.push_back({addressOf(*member), leave});
}

// Roles.

bool Group::isVoter() const { return view_ && !self_.voterId.empty() && base::contains(view_->voters, self_.voterId); }

// The oldest member that is not known to go manages the view.
bool Group::isManager() const {
  if (!view_ || selfLeaving_) return false;
  for (const auto& member : view_->members) {
    if (member.incarnation == incarnation_) return true;
    // A member that leaves in order hands the managing on as if it had failed.
    if (!failures_.isSuspected(member.incarnation) && !leaving_.contains(member.incarnation)) return false;
  }
  return false;
}

bool Group::watchesAll() const {
  if (!view_) return false;
  if (isVoter()) return true;
  std::size_t oldest = 0;
  for (const auto& member : view_->members) {
    if (failures_.isSuspected(member.incarnation)) continue;
    if (member.incarnation == incarnation_) return true;
    if (++oldest >= kOldestWatched) return false;
  }
  return false;
}

// Everyone exchanges heartbeats with the voters (the lease needs their echoes) and with the oldest members (one of them
// manages). Those in turn hear from everybody. All-to-all would cost several times as much and tell no more.
std::vector<const schema::Member*> Group::watched() const {
  std::vector<const schema::Member*> out;
  if (!view_) return out;
  const bool all = watchesAll();
  std::size_t oldest = 0;
  for (const auto& member : view_->members) {
    const bool votes = base::contains(view_->voters, member.voterId);
    const bool isOldest = !failures_.isSuspected(member.incarnation) && oldest < kOldestWatched;
    if (isOldest) ++oldest;
    if (member.incarnation != incarnation_ && (all || votes || isOldest)) out.push_back(&member);
  }
  return out;
}

bool Group::isInTouchWith(const std::string& zone, base::TimePoint now) const {
  if (!view_) return false;
  return std::any_of(view_->members.begin(), view_->members.end(), [&](const schema::Member& member) {
    return member.zone == zone && member.incarnation != incarnation_ &&
           failures_.isInTouch(member.incarnation, now - times_.contactAge);
  });
}

// Heartbeats.

void Group::updateSuspicions(base::TimePoint now) {
  const auto isBoundFailed = [&](std::uint64_t incarnation) {
    return round_ && !hasMember(round_->view(), incarnation);
  };
  failures_.update(watched(), isBoundFailed, now);
}

void Group::sendHeartbeat(const schema::Member& to, bool replyRequested, base::TimePoint now, net::Outbox& out) const {
  schema::Heartbeat heartbeat;
  heartbeat.incarnation = incarnation_;
  heartbeat.view = view_->number;
  heartbeat.timestampMs = base::toMs(now);
  heartbeat.replyRequested = replyRequested;
  if (!isVoter() || lease_.grants(*view_, now)) heartbeat.echoMs = lease_.timestampMs(to.incarnation).value_or(0);
  heartbeat.receivedMs = failures_.newestTimestampMs(to.incarnation);
  if (voters_.epoch > view_->epoch) {
    heartbeat.epoch = voters_.epoch;
    heartbeat.voters = voters_.voters;
  }
  out.push_back({addressOf(to), heartbeat});
}

// Whether a member that everybody asks will ask this daemon soon, so that its reply is enough.
bool Group::isHeartbeatRequestedBy(const schema::Member& member, base::TimePoint now) const {
  const auto receivedAt = failures_.receivedAt(member.incarnation);
  return receivedAt && lease_.timestampMs(member.incarnation) && !failures_.isSuspected(member.incarnation) &&
         !base::contains(view_->voters, member.voterId) &&
         now - *receivedAt < times_.heartbeatInterval + times_.heartbeatInterval / 2;
}

// Those that watch everybody get requests from everybody and reply; among themselves both sides request.
void Group::sendHeartbeats(base::TimePoint now, net::Outbox& out) {
  heartbeatsSentAt_ = now;
  const bool all = watchesAll();
  for (const auto* member : watched())
    if (!all || !isHeartbeatRequestedBy(*member, now)) sendHeartbeat(*member, true, now, out);
}

void Group::renewLease(base::TimePoint now) {
  if (view_) lease_.renew(*view_, self_.voterId, now);
}

void Group::on(const schema::Heartbeat& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (!view_) {
    // The view that this daemon has acknowledged is in place at others: its own commit was lost.
    if (pending_ && hasMember(pending_->result, m.incarnation) && m.view >= pending_->result.number)
      out.push_back({from, schema::ViewRequest{0, m.view}});
    passContactsOn(from, out);
    return;
  }
  const auto* sender = findMember(*view_, m.incarnation);
  if (sender == nullptr) {
    ++rejected_;
    // A newer view that this daemon has not yet: it shows its own number and is sent the newer one. Otherwise the
    // sender is a failed incarnation and is notified of it, by those alone that hold the lease: without it this daemon
    // may itself be the one that was left out. It then tells of its view, and a sender that has no lease either sees
    // that it was left out of a newer one. It may be a voter without whose return there is no quorum.
    if (m.view > view_->number)
      probe(from, now, out);
    else if (leaseHeld(now))
      out.push_back({from, schema::Expelled{m.incarnation, view_->number}});
    else if (m.view < view_->number)
      sendView(from, out);
    return;
  }
  // An extension that has been acknowledged shuts its failed incarnations out already.
  if (pending_ && !hasMember(pending_->result, m.incarnation)) {
    ++rejected_;
    // As in the paper the sender is notified that it has failed. It gets the time of a time-out first: most extensions
    // are committed or replaced by then, and one that is neither may need this very member back for its quorum.
    if (now - pendingSince_ > times_.suspicionTimeout)
      out.push_back({from, schema::Expelled{m.incarnation, view_->number}});
    return;
  }
  failures_.onReceived(m.incarnation, now);
  failures_.onHeartbeat(m, now);
  if (m.view >= view_->number) commitReminder_.onInstalled(m.incarnation);
  if (m.view < view_->number) {
    // Stale: rejected, and the newer view is sent again.
    ++rejected_;
    sendView(addressOf(*sender), out);
    return;
  }
  if (m.view > view_->number) {
    sendHeartbeat(*sender, false, now, out);
    return;
  }
  setVoters(m.epoch, m.voters);
  lease_.setTimestamp(m.incarnation, m.timestampMs);
  if (m.echoMs != 0) {
    const base::TimePoint echoed{base::Millis(m.echoMs)};
    if (echoed <= now) lease_.onEcho(m.incarnation, echoed);
    renewLease(now);
  }
  // Replied to at once, and a reply is not replied to: the echo is as young as it can be.
  if (m.replyRequested) sendHeartbeat(*sender, false, now, out);
}

// Finding the group.

void Group::sendJoin(base::TimePoint now, net::Outbox& out) {
  joinSentAt_ = now;
  if (selfLeaving_) return;
  schema::Join join;
  join.member.id = self_.id;
  join.member.voterId = self_.voterId;
  join.member.zone = self_.zone;
  join.member.role = static_cast<std::uint8_t>(self_.role);
  join.member.ip = self_.address.ip;
  join.member.port = self_.address.port;
  join.member.bootId = bootId_;
  join.watermark = watermark_;
  join.epoch = voters_.epoch;
  join.voters = voters_.voters;
  const auto known = discovery_.contacts();
  std::set<settings::Endpoint> targets(known.begin(), known.end());
  // Those that ask to join are answered with the same: one of them may be the founder and know nobody else's address.
  // Routers found nothing, so they need not hear of others that have no view either.
  for (const auto& [id, joiner] : joiners_.all())
    if (isController(joiner.member)) targets.insert(addressOf(joiner.member));
  for (const auto& to : targets) out.push_back({to, join});
  // Its own request counts when the group is founded.
  joiners_.put({join.member, now, watermark_});
}

// The joiner cannot know who manages.
void Group::forwardJoinToManager(const schema::Join& join, base::TimePoint now, net::Outbox& out) const {
  const auto* earlier = joiners_.find(join.member.id);
  if (earlier != nullptr && earlier->requestedAt == now) return;  // once in a moment is enough
  for (const auto& member : view_->members) {
    if (failures_.isSuspected(member.incarnation) || leaving_.contains(member.incarnation)) continue;
    out.push_back({addressOf(member), join});
    return;
  }
}

void Group::on(const schema::Join& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (view_) {
    if (const auto* known = findLife(*view_, m.member.id, m.member.bootId)) {
      // Taken in already; it has missed the commit.
      sendView(addressOf(*known), out);
      return;
    }
    if (m.member.id == self_.id) return;
    if (!isManager()) forwardJoinToManager(m, now, out);
  }
  const bool fromJoiner = from == addressOf(m.member);
  if (!view_ && fromJoiner) passContactsOn(from, out);
  // Taken in with the next tick: many come at once when machines return together.
  joiners_.put({m.member, now, m.watermark});
  if (view_) return;
  // Of those that found the group anew some may have missed the newest record, and would wait for voters of an older.
  setVoters(m.epoch, m.voters);
  // Voters that are no seeds know nobody but the seeds, and one of them may have to be the founder: what comes from
  // such a daemon itself is passed on to the others.
  if (m.member.voterId.empty() || !fromJoiner) return;
  for (const auto& [id, joiner] : joiners_.all())
    if (id != m.member.id && id != self_.id && !joiner.member.voterId.empty())
      out.push_back({addressOf(joiner.member), m});
}

// The voters announce the view to daemons that should be in it and are not. Without a lease this daemon may itself be
// the one that is to be found.
void Group::announce(base::TimePoint now, net::Outbox& out) {
  if (selfLeaving_ || !isVoter() || !leaseHeld(now) || now - announcedAt_ < times_.heartbeatInterval) return;
  announcedAt_ = now;
  schema::Contacts contacts;
  contacts.view = view_->number;
  for (const auto& member : view_->members)
    if (base::contains(view_->voters, member.voterId)) contacts.members.push_back({member.ip, member.port});
  for (const auto& address : discovery_.missingDaemons(*view_, now)) out.push_back({address, contacts});
}

void Group::passContactsOn(const settings::Endpoint& to, net::Outbox& out) const {
  auto contacts = discovery_.announcedTo(to);
  if (!contacts.members.empty()) out.push_back({to, std::move(contacts)});
}

// Shows the number of the own view to a daemon that is not in it. If that daemon holds a lease and this one is not in
// its view, it says so; if this one has missed a view, it is sent that view.
void Group::probe(const settings::Endpoint& to, base::TimePoint now, net::Outbox& out) const {
  out.push_back({to, schema::Heartbeat{incarnation_, view_->number, base::toMs(now), 0, 0, false, 0, {}}});
}

// Everybody whom this daemon watches may have gone while it was cut off, and nobody else will speak to it.
void Group::probeContacts(base::TimePoint now, net::Outbox& out) {
  const auto inTouchAt = std::max(lease_.until(), installedAt_);
  if (now - inTouchAt < times_.suspicionTimeout || now - probedAt_ < times_.suspicionTimeout) return;
  probedAt_ = now;
  for (const auto& address : discovery_.contacts()) probe(address, now, out);
}

void Group::on(const schema::Contacts& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  const bool announced = m.view != 0;
  if (!view_) {
    discovery_.remember(m, announced, now);
    return;
  }
  if (leaseHeld(now)) return;
  std::set<settings::Endpoint> targets;
  if (announced) targets.insert(from);
  for (const auto& member : m.members) targets.insert({member.ip, member.port});
  targets.erase(self_.address);
  for (const auto& to : targets) probe(to, now, out);
}

std::string Group::describe(base::TimePoint now) const {
  auto out = fmt::format("view {} incarnation {} epoch {} lease {}", view_ ? view_->number : 0, incarnation_,
                         voters_.epoch, leaseHeld(now));
  const auto append = [&](const schema::Member& member) {
    out += fmt::format(" {}:{}", member.id, member.incarnation);
  };
  if (view_) {
    out += fmt::format(" of epoch {} members", view_->epoch);
    for (const auto& member : view_->members) append(member);
  }
  if (pending_)
    out += fmt::format("; pending {} on {} by {}", pending_->result.number, pending_->base, pending_->proposer);
  if (unflushed_) out += fmt::format("; waits for the flush of {}", unflushed_->result.number);
  if (round_) {
    out += fmt::format("; proposes {} on {} force {}, not acknowledged by", round_->view().number,
                       round_->proposal().base, round_->proposal().force);
    for (const auto* member : round_->unacknowledged()) append(*member);
  }
  for (const auto incarnation : failures_.suspected()) out += fmt::format("; suspects {}", incarnation);
  for (const auto& [id, joiner] : joiners_.all()) out += fmt::format("; {} would join", id);
  return out;
}

}  // namespace indigohill::membership
