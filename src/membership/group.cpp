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

// Those that watch everybody are asked by everybody and reply; among themselves both sides ask.
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
    // sender is a failed incarnation and is told so, by those alone that hold the lease: without it this daemon may
    // itself be the one that was left out.
    if (m.view > view_->number)
      probe(from, now, out);
    else if (leaseHeld(now))
      out.push_back({from, schema::Expelled{m.incarnation, view_->number}});
    return;
  }
  // An extension that has been acknowledged shuts its failed incarnations out already.
  if (pending_ && !hasMember(pending_->result, m.incarnation)) {
    ++rejected_;
    // As the paper has it the sender is told that it has failed. It gets the time of a time-out first: most extensions
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

// Proposing views.

// When nobody has a view, the voters found the group anew: the first of a majority of them that hear each other.
// Cut off from a majority, a voter waits; an existing view with a quorum would have taken it in.
void Group::considerFounding(base::TimePoint now, net::Outbox& out) {
  if (round_ || selfLeaving_ || self_.voterId.empty() || !base::contains(voters_.voters, self_.voterId)) return;
  if (pending_ && now - pendingSince_ < times_.suspicionTimeout) return;
  auto plan = planFounding(self_.voterId, watermark_, voters_, joiners_, now);
  if (!hasQuorum(plan.view, voters_.voters)) return;
  // The first founds. One that is heard and hears nothing never does: the next waits a time-out for each before it, in
  // which it has seen no founding.
  const auto waitingSince = std::max(withoutViewSince_, pendingSince_);
  if (plan.votersBefore > 0 && now - waitingSince < plan.votersBefore * times_.suspicionTimeout) return;
  // When every voter is here there is nobody to wait for. Otherwise one may be about to show itself.
  const bool allVoters = countVoters(plan.view, voters_.voters) == voters_.voters.size();
  if (!allVoters && now - withoutViewSince_ < times_.foundingDelay) return;
  auto proposal = foundingProposal(std::move(plan), self_.id);
  proposal.proposalId = random_();
  round_.emplace(std::move(proposal), now, now);
  propose(now, out);
}

// The proposal that a further extension goes on from: the one under way; or, taken over from a failed manager, an
// uncommitted extension that may have been committed elsewhere, so it is kept and the failure appended (paper, 4.2,
// rule 4); or the last committed view (rule 5).
schema::Propose Group::extensionToContinue() const {
  if (round_) return round_->proposal();
  schema::Propose proposal;
  proposal.result = *view_;
  if (!pending_ || pending_->result.number <= view_->number || !hasMember(pending_->result, incarnation_))
    return proposal;
  if (pending_->base == view_->number) {
    proposal.result = pending_->result;
    proposal.steps = pending_->steps;
  } else {
    rebase(*pending_, *view_, proposal);
  }
  return proposal;
}

void Group::considerExtension(base::TimePoint now, net::Outbox& out) {
  if (!isManager()) {
    // Somebody older is back: the round is its to run.
    round_.reset();
    return;
  }
  auto proposal = extensionToContinue();
  auto& result = proposal.result;
  // Joins come along with other changes, but a round that is under way is not begun again for them.
  const auto change = extend(
      result, {self_.id, incarnation_, failures_, leaving_, joiners_, voters_, discoverySuccessor_, now}, !round_);
  if (change)
    proposal.steps.push_back(*change);
  else if (round_ || result.number == view_->number)
    return;
  result.unilateralEpoch = view_->unilateralEpoch;
  if (result.epoch > view_->epoch && !hasQuorum(result, view_->voters)) result.unilateralEpoch = result.epoch;
  // Never proposed without a quorum of voters: on the small side of a partition a proposal would only bind daemons that
  // the other side needs (docs/design.md, exception 1).
  if (!hasQuorum(result, result.voters)) {
    if (round_ && !hasQuorum(round_->view(), round_->view().voters)) round_.reset();
    return;
  }
  proposal.base = view_->number;
  proposal.proposer = incarnation_;
  proposal.proposalId = random_();
  proposal.force = false;
  proposal.founding = false;
  // Joiners have time to acknowledge from when they were last added to.
  const bool addsJoiners = change && !change->joins.empty();
  const auto startedAt = round_ && !addsJoiners ? round_->startedAt() : now;
  round_.emplace(std::move(proposal), startedAt, now);
  propose(now, out);
}

void Group::propose(base::TimePoint now, net::Outbox& out) {
  auto& round = *round_;
  round.noteSent(now);
  // The manager is the first to acknowledge, and from now on hears only those in the extension.
  const auto proposer = round.proposal().proposer;
  if (!round.isAcknowledgedBy(proposer)) {
    pending_ = round.proposal();
    pendingSince_ = now;
    round.acknowledge(proposer, stateVersion_);
  }
  // To those that have the view before, the changes; the complete view, less often, to those that join.
  const auto changes = changesOf(round.proposal());
  const bool fullSendDue = round.isFullSendDue(now, times_.resendInterval);
  if (fullSendDue) round.noteFullSent(now);
  std::vector<settings::Endpoint> lackingBase;
  for (const auto* member : round.unacknowledged()) {
    if (changes && hasMember(*view_, member->incarnation))
      out.push_back({addressOf(*member), *changes});
    else if (fullSendDue)
      lackingBase.push_back(addressOf(*member));
  }
  for (const auto& to : lackingBase) out.push_back({to, round.proposal()});
  considerCommit(now, out);
}

// A proposal as changes of the present view; nothing if it is none (a founding).
std::optional<schema::ProposeChanges> Group::changesOf(const schema::Propose& proposal) const {
  if (!view_ || proposal.founding || proposal.base != view_->number) return std::nullopt;
  const auto& result = proposal.result;
  schema::ProposeChanges changes{
      proposal.base, viewDigest_,  proposal.proposalId,    proposal.proposer,      proposal.force, proposal.steps,
      result.number, result.epoch, result.discoveryLeader, result.unilateralEpoch, result.voters,  digestOf(result)};
  if (digestOf(applyChanges(*view_, changes)) != changes.digest) return std::nullopt;
  return changes;
}

void Group::driveRound(base::TimePoint now, net::Outbox& out) {
  // A founder that does not get everybody's acknowledgement gives up and starts again with those it still hears.
  if (round_->proposal().founding && now - round_->startedAt() > times_.suspicionTimeout)
    giveUpFounding(now);
  else if (now - round_->sentAt() >= times_.resendInterval)
    propose(now, out);
}

// A joiner that does not acknowledge would hold up every view. It is left out like a member that is silent, and waits
// before it is taken in again.
void Group::denyUnresponsiveJoiners(base::TimePoint now) {
  if (!round_ || now - round_->startedAt() <= times_.suspicionTimeout) return;
  for (const auto* member : round_->unacknowledged()) {
    if (hasMember(*view_, member->incarnation)) continue;
    failures_.suspect(member->incarnation);
    joiners_.deny(member->id, now);
  }
}

// The next founding is without those that did not acknowledge this one.
void Group::giveUpFounding(base::TimePoint now) {
  for (const auto* member : round_->unacknowledged()) joiners_.deny(member->id, now);
  round_.reset();
}

void Group::considerCommit(base::TimePoint now, net::Outbox& out) {
  if (!round_->isAcknowledgedByAll() || !hasQuorum(round_->view(), round_->view().voters)) return;
  const auto commit = round_->commit();
  const auto& result = commit.result;
  const auto proposer = round_->proposal().proposer;
  const schema::CommitChanges message{result.number, digestOf(result), commit.flushVersion, commit.flushHolder};
  for (const auto& member : result.members)
    if (member.incarnation != proposer) out.push_back({addressOf(member), message});
  if (round_->proposal().founding) incarnation_ = proposer;
  round_.reset();
  commitReminder_.start(result, incarnation_, now);
  onCommitted(commit, now);
}

void Group::on(const schema::Ack& m, const settings::Endpoint&, base::TimePoint now, net::Outbox& out) {
  if (!round_ || round_->id() != m.proposalId) return;
  const auto* sender = findMember(round_->view(), m.incarnation);
  if (sender == nullptr || sender->bootId != m.bootId) return;
  round_->acknowledge(m.incarnation, m.stateVersion);
  round_->noteAnswer(now);
  failures_.onReceipt(m.incarnation, now);
  failures_.onReceived(m.incarnation, now);
  considerCommit(now, out);
}

void Group::on(const schema::Nack& m, const settings::Endpoint&, base::TimePoint now, net::Outbox& out) {
  if (!round_ || round_->id() != m.proposalId || !view_) return;
  const auto* sender = findMember(round_->view(), m.incarnation);
  if (sender == nullptr) return;
  failures_.onReceived(m.incarnation, now);
  auto remaining = round_->view();
  std::erase_if(remaining.members, [&](const auto& member) { return base::contains(m.failures, member.incarnation); });
  const bool namesSelf = !hasMember(remaining, incarnation_);
  const bool senderVotes = base::contains(remaining.voters, sender->voterId);
  if (!senderVotes && (namesSelf || !hasQuorum(remaining, remaining.voters))) {
    // The missing events come from a manager on the small side of a partition: with them no quorum would be left. Once
    // a majority of the voters has acknowledged without them they cannot have been committed, and the members that are
    // no voters are made to let them go.
    if (round_->isAcknowledgedByQuorum() && !round_->proposal().force) {
      round_->force();
      propose(now, out);
    }
    return;
  }
  if (namesSelf) {
    becomeExpelled(now);  // a voter holds an extension without this daemon
    return;
  }
  for (const auto failure : m.failures) failures_.suspect(failure);
  considerExtension(now, out);
}

void Group::on(const schema::Leave& m, const settings::Endpoint&, base::TimePoint now, net::Outbox& out) {
  if (!view_ || !hasMember(*view_, m.incarnation)) return;
  leaving_.insert(m.incarnation);
  if (m.successor != 0) discoverySuccessor_ = m.successor;
  considerExtension(now, out);
}

// Acknowledging and installing views.

// Answers a proposal from an incarnation that has failed, or from one that has missed a commit; true when it is one.
bool Group::rejectIfStale(std::uint64_t base, std::uint64_t number, std::uint64_t proposer,
                          const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (base <= view_->number && !hasMember(*view_, proposer)) {
    // Its numbers may look new, but they extend a view that was left behind.
    ++rejected_;
    if (leaseHeld(now)) out.push_back({from, schema::Expelled{proposer, view_->number}});
    return true;
  }
  if (base < view_->number || number <= view_->number) {
    ++rejected_;
    sendView(from, out);
    return true;
  }
  return false;
}

void Group::on(const schema::ProposeChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (view_ && rejectIfStale(m.base, m.number, m.proposer, from, now, out)) return;
  schema::Propose proposal{m.base, m.proposalId, m.proposer, m.force, false, m.steps, {}};
  if (view_ && view_->number == m.base && viewDigest_ == m.baseDigest) proposal.result = applyChanges(*view_, m);
  if (proposal.result.number != m.number || digestOf(proposal.result) != m.digest)
    out.push_back({from, schema::ViewRequest{m.proposalId, m.number}});
  else
    on(proposal, from, now, out);
}

void Group::on(const schema::Propose& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  const auto* self = findLife(m.result, self_.id, bootId_);
  if (self == nullptr || selfLeaving_) {
    ++rejected_;
    return;
  }
  if (view_ && m.founding) {
    // Who founds a group has missed that there is one.
    ++rejected_;
    sendView(from, out);
    return;
  }
  if (view_ && rejectIfStale(m.base, m.result.number, m.proposer, from, now, out)) return;
  const bool another = pending_ && pending_->proposalId != m.proposalId;
  // One that was overtaken by a larger extension of the same manager.
  if (pending_ && pending_->proposer == m.proposer && m.result.number < pending_->result.number && !m.force) return;
  if (another && !m.force) {
    auto nack = contradiction(m, self->incarnation);
    // Joins alone are no reason to stop a failure being agreed: the joiner asks again.
    if (!nack.failures.empty()) {
      out.push_back({from, std::move(nack)});
      return;
    }
  }
  // One founding at a time.
  if (another && pending_->founding && m.founding && now - pendingSince_ < times_.suspicionTimeout) return;
  if (!pending_ || another) pendingSince_ = now;
  pending_ = m;
  if (m.founding || !view_) watermark_ = std::max(watermark_, m.result.number);
  out.push_back({from, schema::Ack{m.proposalId, self->incarnation, bootId_, stateVersion_}});
}

// What the extension that this daemon has acknowledged holds and the proposal lacks.
schema::Nack Group::contradiction(const schema::Propose& proposal, std::uint64_t selfIncarnation) const {
  schema::Nack nack;
  nack.proposalId = proposal.proposalId;
  nack.incarnation = selfIncarnation;
  for (const auto& step : pending_->steps) {
    for (const auto failure : step.failures)
      if (hasMember(proposal.result, failure)) nack.failures.push_back(failure);
    for (const auto& join : step.joins) {
      // A joiner that has since restarted has failed in the meantime as well.
      const bool failedSince = std::any_of(proposal.steps.begin(), proposal.steps.end(), [&](const auto& later) {
        return base::contains(later.failures, join.incarnation);
      });
      const bool present = findLife(proposal.result, join.id, join.bootId) != nullptr;
      if (!present && !failedSince && join.id != self_.id) nack.joins.push_back(join);
    }
  }
  return nack;
}

void Group::on(const schema::ViewRequest& m, const settings::Endpoint& from, base::TimePoint, net::Outbox& out) {
  if (m.proposalId != 0) {
    if (round_ && round_->id() == m.proposalId) out.push_back({from, round_->proposal()});
  } else if (view_ && view_->number >= m.number) {
    out.push_back({from, schema::Commit{*view_, {}, 0}});
  }
}

// Tells of the view: one that acknowledged it needs no more, any other asks for the complete view.
void Group::sendView(const settings::Endpoint& to, net::Outbox& out) const {
  out.push_back({to, schema::CommitChanges{view_->number, viewDigest_, {}, 0}});
}

void Group::remindOfCommit(base::TimePoint now, net::Outbox& out) {
  if (unflushed_) return;
  for (const auto incarnation : commitReminder_.takeDue(now))
    if (const auto* member = findMember(*view_, incarnation)) sendView(addressOf(*member), out);
}

void Group::on(const schema::CommitChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if ((view_ && m.number <= view_->number) || (unflushed_ && m.number <= unflushed_->result.number)) return;
  if (pending_ && pending_->result.number == m.number && digestOf(pending_->result) == m.digest)
    on(schema::Commit{pending_->result, m.flushVersion, m.flushHolder}, from, now, out);
  else
    out.push_back({from, schema::ViewRequest{0, m.number}});
}

void Group::on(const schema::Commit& m, const settings::Endpoint&, base::TimePoint now, net::Outbox&) {
  const auto* self = findLife(m.result, self_.id, bootId_);
  if (self == nullptr) {
    // Somebody's newer view without this daemon.
    if (view_ && m.result.number > view_->number && hasQuorum(m.result, m.result.voters) && !leaseHeld(now))
      becomeExpelled(now);
    return;
  }
  if (!view_) incarnation_ = self->incarnation;
  if (incarnation_ != self->incarnation) return;
  if (round_ && round_->view().number <= m.result.number) round_.reset();
  onCommitted(m, now);
}

// A later view takes the place of one that still waits for the flush.
void Group::onCommitted(const schema::Commit& commit, base::TimePoint now) {
  if (view_ && commit.result.number <= view_->number) return;
  if (unflushed_ && commit.result.number <= unflushed_->result.number) return;
  unflushed_ = commit;
  installIfFlushed(now);
}

// The flush: a view is installed only once all that any survivor had from the failed daemons has arrived here too.
// The application fetches it from the holder (flushFrom).
void Group::installIfFlushed(base::TimePoint now) {
  if (!unflushed_) return;
  const auto& commit = *unflushed_;
  const bool lacksState = commit.flushVersion > stateVersion_ && commit.flushHolder != incarnation_ &&
                          hasMember(commit.result, commit.flushHolder);
  if (!lacksState) install(std::exchange(unflushed_, std::nullopt)->result, now);
}

void Group::install(const schema::View& next, base::TimePoint now) {
  discovery_.install(view_ ? &*view_ : nullptr, next, now);
  view_ = next;
  viewDigest_ = digestOf(next);
  installedAt_ = now;
  if (pending_ && pending_->result.number <= next.number) pending_.reset();
  // A round that extends an older view would be rejected as stale by everybody: it is begun anew.
  if (round_ && round_->proposal().base < next.number) round_.reset();
  watermark_ = std::max(watermark_, next.number);
  setVoters(next.epoch, next.voters);
  lease_.onVotersDecided(voters_.voters, now);
  lease_.install(next);
  failures_.install(next, now);
  joiners_.install(next);
  std::erase_if(leaving_, [&](auto incarnation) { return !hasMember(next, incarnation); });
  heartbeatsSentAt_ = {};  // the others shall see the new number at once
  events_.push_back({view_});
}

// Expelled: the daemon leaves the group without ending its process and comes back as a new member. What it holds of
// requests and streams belongs to it alone and goes on (docs/design.md, exception 4).
void Group::becomeExpelled(base::TimePoint now) {
  ++expulsions_;
  view_.reset();
  pending_.reset();
  unflushed_.reset();
  round_.reset();
  incarnation_ = 0;
  bootId_ = random_();
  failures_.clear();
  lease_.clear();
  joiners_.clear();
  commitReminder_.clear();
  leaving_.clear();
  withoutViewSince_ = now;
  joinSentAt_ = {};
  events_.push_back({std::nullopt});
}

void Group::on(const schema::Expelled& m, const settings::Endpoint&, base::TimePoint now, net::Outbox&) {
  if (view_ && m.incarnation == incarnation_) becomeExpelled(now);
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
