// The part of Group that agrees on views: founding, extensions, commits, and what members answer to them.
#include <algorithm>

#include "base/lists.hpp"
#include "membership/group.hpp"

namespace indigohill::membership {

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

}  // namespace indigohill::membership
