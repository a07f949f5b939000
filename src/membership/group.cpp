#include "membership/group.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "base/hash.hpp"
#include "base/lists.hpp"

namespace indigohill::membership {

namespace {
constexpr std::size_t kOldestWatched = 2;
constexpr std::uint32_t kReminders = 3;
// Numbers set aside at each founding. Far more than the views and incarnations of one life of the whole group.
constexpr std::uint64_t kFoundingBlock = 1u << 20;
constexpr std::uint32_t kBarDoublings = 1;  // a joiner that never acknowledges waits at most twice the first time
constexpr int kBarMemory = 4;               // time-outs after a wait in which a further failure doubles the next

// Over all that a view holds: two daemons that agree on it have the same view.
std::uint64_t digestOf(const schema::View& view) {
  std::string text = fmt::format("{} {} {} {}", view.number, view.epoch, view.lister, view.soleEpoch);
  for (const auto& voter : view.voters) text += fmt::format(" {}", voter);
  for (const auto& m : view.members)
    text += fmt::format("\n{} {} {} {} {} {} {} {}", m.id, m.voterId, m.zone, m.role, m.ip, m.port, m.bootId,
                        m.incarnation);
  return base::hash(text);
}

// The view that the changes make of `base`. Both sides make it so, and the digest tells when they differ.
schema::View extended(const schema::View& base, const schema::ProposeChanges& changes) {
  auto result = base;
  for (const auto& step : changes.steps) {
    std::erase_if(result.members, [&](const auto& m) { return base::contains(step.faults, m.incarnation); });
    result.members.insert(result.members.end(), step.joins.begin(), step.joins.end());
  }
  result.number = changes.number;
  result.epoch = changes.epoch;
  result.lister = changes.lister;
  result.soleEpoch = changes.soleEpoch;
  result.voters = changes.voters;
  return result;
}
}  // namespace

Group::Group(Self self, std::vector<settings::Endpoint> seeds, Times times, std::uint64_t seed)
    : self_(std::move(self)), seeds_(std::move(seeds)), times_(times), random_(seed), bootId_(random_()) {}

const schema::Member* Group::find(const schema::View& view, std::uint64_t incarnation) {
  for (const auto& m : view.members)
    if (m.incarnation == incarnation) return &m;
  return nullptr;
}
bool Group::in(const schema::View& view, std::uint64_t incarnation) { return find(view, incarnation) != nullptr; }

const schema::Member* Group::member(const std::string& voterId) const {
  if (view_ && !voterId.empty())
    for (const auto& m : view_->members)
      if (m.voterId == voterId) return &m;
  return nullptr;
}

std::size_t Group::votersIn(const schema::View& view, const std::vector<std::string>& voters) {
  std::size_t count = 0;
  for (const auto& voter : voters)
    count += std::any_of(view.members.begin(), view.members.end(), [&](const auto& m) { return m.voterId == voter; });
  return count;
}

bool Group::quorum(const schema::View& view, const std::vector<std::string>& voters) {
  return !voters.empty() && 2 * votersIn(view, voters) > voters.size();
}

void Group::setVoters(std::uint64_t epoch, const std::vector<std::string>& voters) {
  if (epoch <= knownEpoch_) return;
  knownEpoch_ = epoch;
  knownVoters_ = voters;
}

std::optional<settings::Endpoint> Group::flushFrom() const {
  if (!waiting_) return std::nullopt;
  const auto* holder = find(waiting_->result, waiting_->flushHolder);
  if (holder == nullptr) return std::nullopt;
  return addressOf(*holder);
}

// Everyone exchanges hellos with the voters (the lease needs their echoes) and with the oldest members (one of them
// manages). Those in turn hear from everybody. All-to-all would cost several times as much and tell no more.
std::vector<const schema::Member*> Group::watched() const {
  std::vector<const schema::Member*> out;
  if (!view_) return out;
  const bool all = watchesAll();
  std::size_t oldest = 0;
  for (const auto& m : view_->members) {
    const bool isVoter = base::contains(view_->voters, m.voterId);
    const bool isOldest = !suspected_.contains(m.incarnation) && oldest < kOldestWatched;
    if (isOldest) ++oldest;
    if (m.incarnation != incarnation_ && (all || isVoter || isOldest)) out.push_back(&m);
  }
  return out;
}

bool Group::watchesAll() const {
  if (!view_) return false;
  if (isVoter()) return true;
  std::size_t oldest = 0;
  for (const auto& m : view_->members) {
    if (suspected_.contains(m.incarnation)) continue;
    if (m.incarnation == incarnation_) return true;
    if (++oldest >= kOldestWatched) return false;
  }
  return false;
}

bool Group::manages() const {
  if (!view_ || leavingSelf_) return false;
  for (const auto& m : view_->members) {
    if (m.incarnation == incarnation_) return true;
    // A member that leaves in order hands the managing on as if it had failed.
    if (!suspected_.contains(m.incarnation) && !leaving_.contains(m.incarnation)) return false;
  }
  return false;
}

void Group::suspectSilent(base::TimePoint now) {
  std::set<std::uint64_t> watchedNow;
  for (const auto* m : watched()) {
    watchedNow.insert(m->incarnation);
    const auto since = watchedSince_.try_emplace(m->incarnation, now).first->second;
    const auto heard = heardAt_.find(m->incarnation);
    auto last = heard == heardAt_.end() ? since : std::max(since, heard->second);
    // One that is heard and hears nothing (a cut of one direction) could acknowledge no view: it counts as silent too.
    if (const auto heardBy = heardByAt_.find(m->incarnation); heardBy != heardByAt_.end())
      last = std::min(last, std::max(since, heardBy->second));
    // Not heard within the time-out: suspected. Heard again: no longer, as long as no proposal rests on it.
    if (now - last > times_.suspect)
      suspected_.insert(m->incarnation);
    else if (!round_ || in(round_->proposal.result, m->incarnation))
      suspected_.erase(m->incarnation);
  }
  std::erase_if(watchedSince_, [&](const auto& entry) { return !watchedNow.contains(entry.first); });
}

void Group::tick(base::TimePoint now, net::Outbox& out) {
  if (viewlessSince_ == base::TimePoint{}) viewlessSince_ = now;
  std::erase_if(joiners_, [&](const auto& entry) { return now - entry.second.heardAt > 5 * times_.join; });
  std::erase_if(barred_, [&](const auto& entry) { return now >= entry.second.until + kBarMemory * times_.suspect; });
  std::erase_if(contacts_, [&](const auto& entry) { return now - entry.second.heardAt > 2 * times_.suspect; });
  noteDecidedVoters(now);
  tryDelivery(now);
  if (!view_) {
    // One that holds a proposal with itself in it has been heard; it asks on, more slowly, as the commit may be lost.
    if (now - joinAt_ >= (pending_ ? 2 : 1) * times_.join) sendJoin(now, out);
    considerFounding(now, out);
  } else {
    suspectSilent(now);
    dropSilentJoiners(now);
    remind(now, out);
    if (now - helloAt_ >= times_.hello) sendHellos(now, out);
    announce(now, out);
    seekGroup(now, out);
    considerExtension(now, out);
  }
  if (round_) {
    // A founder that does not get everybody's word gives up and starts again with those it still hears.
    if (round_->proposal.founding && now - round_->startedAt > times_.suspect)
      giveUpFounding(now);
    else if (now - round_->sentAt >= times_.resend)
      propose(now, out);
  }
  // An unfinished founding that no one completes must not hold a daemon without a view for good.
  if (pending_ && !view_ && now - pendingAt_ > 2 * times_.suspect) pending_.reset();
  renewLease(now);
}

void Group::sendHello(const schema::Member& to, bool wanted, base::TimePoint now, net::Outbox& out) {
  schema::Heartbeat hello;
  hello.incarnation = incarnation_;
  hello.view = view_->number;
  hello.stampMs = base::toMs(now);
  hello.wanted = wanted;
  if (const auto found = stampOf_.find(to.incarnation); found != stampOf_.end() && (!isVoter() || grantsLeases(now)))
    hello.echoMs = found->second;
  if (const auto found = heardStampOf_.find(to.incarnation); found != heardStampOf_.end())
    hello.heardMs = found->second;
  if (knownEpoch_ > view_->epoch) {
    hello.epoch = knownEpoch_;
    hello.voters = knownVoters_;
  }
  out.push_back({addressOf(to), hello});
}

void Group::sendHellos(base::TimePoint now, net::Outbox& out) {
  helloAt_ = now;
  const bool all = watchesAll();
  const auto watchesToo = [&](const schema::Member& m) { return base::contains(view_->voters, m.voterId); };
  for (const auto* m : watched()) {
    // Those that watch everybody are asked by everybody and answer; among themselves both sides ask.
    const bool answersOnly = all && heardAt_.contains(m->incarnation) && stampOf_.contains(m->incarnation) &&
                             !suspected_.contains(m->incarnation) && !watchesToo(*m) &&
                             now - heardAt_[m->incarnation] < times_.hello + times_.hello / 2;
    if (!answersOnly) sendHello(*m, true, now, out);
  }
}

// When nobody has a view, the voters found the group anew: the first of a majority of them that hear each other.
// Cut off from a majority, a voter waits; an existing view with a quorum would have taken it in.
void Group::considerFounding(base::TimePoint now, net::Outbox& out) {
  if (round_ || leavingSelf_ || self_.voterId.empty()) return;
  if (!base::contains(knownVoters_, self_.voterId)) return;
  if (pending_ && now - pendingAt_ < times_.suspect) return;
  schema::View view;
  view.epoch = knownEpoch_;
  view.voters = knownVoters_;
  auto base = floor_;
  std::int64_t votersBefore = 0;
  for (const auto& [id, joiner] : joiners_) {
    base = std::max(base, joiner.floor);
    // The controllers alone: their few acknowledgements come within moments whatever the size of the fleet, and the
    // routers are taken in together by the first extension.
    if (joiner.member.role != static_cast<std::uint8_t>(Role::Controller) || isBarred(id, now)) continue;
    view.members.push_back(joiner.member);
    const auto& voter = joiner.member.voterId;
    if (base::contains(knownVoters_, voter) && voter < self_.voterId) ++votersBefore;
  }
  if (!quorum(view, knownVoters_)) return;
  // The first founds. One that is heard and hears nothing never does: the next waits a time-out for each before it, in
  // which it has seen no founding.
  if (votersBefore > 0 && now - std::max(viewlessSince_, pendingAt_) < votersBefore * times_.suspect) return;
  // When every voter is here there is nobody to wait for. Otherwise one may be about to show itself.
  if (votersIn(view, knownVoters_) < knownVoters_.size() && now - viewlessSince_ < times_.found) return;
  // Voters first, so that the oldest are daemons that keep what must last; then by id, as the paper's ties are broken.
  std::sort(view.members.begin(), view.members.end(), [](const auto& a, const auto& b) {
    return std::pair(a.voterId.empty(), a.id) < std::pair(b.voterId.empty(), b.id);
  });
  view.number = base + kFoundingBlock;
  auto next = view.number;
  schema::Propose proposal;
  for (auto& m : view.members) {
    m.incarnation = ++next;
    if (m.id == self_.id) proposal.proposer = m.incarnation;
    if (view.lister == 0 && m.role == static_cast<std::uint8_t>(Role::Controller)) view.lister = m.incarnation;
  }
  view.number = next + 1;  // above every incarnation granted so far: one counter serves both
  proposal.founding = true;
  proposal.round = random_();
  proposal.result = view;
  round_ = Round{proposal, {}, now, now, {}, 0, {}, {}};
  propose(now, out);
}

// A joiner that does not acknowledge would hold up every view. It is left out like a member that is silent, and waits
// before it is taken in again.
void Group::dropSilentJoiners(base::TimePoint now) {
  if (!round_ || now - round_->startedAt <= times_.suspect) return;
  for (const auto& m : round_->proposal.result.members)
    if (!in(*view_, m.incarnation) && !round_->acked.contains(m.incarnation)) {
      suspected_.insert(m.incarnation);
      bar(m.id, now);
    }
}

// Each time longer: one that stays deaf would hold up every view that it comes along with.
void Group::bar(const std::string& id, base::TimePoint now) {
  auto& entry = barred_[id];
  entry.until = now + (2 * times_.suspect) * (1 << std::min(entry.times, kBarDoublings));
  ++entry.times;
}

bool Group::isBarred(const std::string& id, base::TimePoint now) const {
  const auto found = barred_.find(id);
  return found != barred_.end() && now < found->second.until;
}

// A founding that not everybody acknowledged: the next is without those that did not.
void Group::giveUpFounding(base::TimePoint now) {
  for (const auto& member : round_->proposal.result.members)
    if (!round_->acked.contains(member.incarnation)) bar(member.id, now);
  round_.reset();
}

// A commit that was lost would be noticed by the next hello; told again at once, the view is everywhere sooner.
void Group::remind(base::TimePoint now, net::Outbox& out) {
  if (unshown_.empty() || now - deliveredAt_ < times_.resend || waiting_) return;
  deliveredAt_ = now;
  for (const auto incarnation : unshown_)
    if (const auto* m = find(*view_, incarnation)) sendView(addressOf(*m), out);
  if (++shownTries_ >= kReminders) unshown_.clear();
}

// The changes that are known and not yet in `result`; true when there are some. Joins make an extension only if
// `joinsAlone`: they come along with any other change, but a round that is under way is not begun again for them.
bool Group::extend(schema::View& result, schema::ViewChange& step, bool joinsAlone, base::TimePoint now) const {
  bool changed = false;
  std::vector<std::uint64_t> gone;
  for (const auto& m : result.members) {
    if (m.incarnation == incarnation_) continue;
    const auto again = joiners_.find(m.id);
    // A known daemon that asks to join with another boot id has started again: its old incarnation has failed.
    const bool restarted = again != joiners_.end() && again->second.member.bootId != m.bootId;
    if (suspected_.contains(m.incarnation) || leaving_.contains(m.incarnation) || restarted)
      gone.push_back(m.incarnation);
  }
  for (const auto incarnation : gone) {
    std::erase_if(result.members, [&](const auto& m) { return m.incarnation == incarnation; });
    step.faults.push_back(incarnation);
    changed = true;
  }
  changed |= knownEpoch_ > result.epoch;
  if (!changed && !joinsAlone) return false;
  if (knownEpoch_ > result.epoch) takeOver(result);
  auto next = result.number;
  for (const auto& m : result.members) next = std::max(next, m.incarnation);
  for (const auto& [id, joiner] : joiners_) {
    const bool there = std::any_of(result.members.begin(), result.members.end(),
                                   [&](const auto& m) { return m.id == joiner.member.id; });
    if (there || id == self_.id || isBarred(id, now) || now - joiner.heardAt > 4 * times_.join) continue;
    auto m = joiner.member;
    m.incarnation = ++next;
    result.members.push_back(m);
    step.joins.push_back(m);
    changed = true;
  }
  if (!changed) return false;
  // The holder of the duty stays while it is a member. Leaving, it has named its successor; failed, the view (which
  // a majority of voters commits) names the oldest controller.
  if (!in(result, result.lister)) {
    result.lister = 0;
    for (const auto& m : result.members)
      if (m.role == static_cast<std::uint8_t>(Role::Controller) && (result.lister == 0 || m.incarnation == successor_))
        result.lister = m.incarnation;
  }
  result.number = next + 1;
  return true;
}

// The changes of an extension of an older view, made to the present one. Its number stays ahead of both.
void Group::rebase(const schema::Propose& old, schema::Propose& proposal) const {
  auto& result = proposal.result = *view_;
  // Incarnations are granted anew: the present view may have given the same numbers to others. So a failure counts
  // here only if it is not that of one who joined in the same extension; such a one is left out from the start.
  std::set<std::uint64_t> faults, joined;
  for (const auto& s : old.steps) {
    faults.insert(s.faults.begin(), s.faults.end());
    for (const auto& join : s.joins) joined.insert(join.incarnation);
  }
  schema::ViewChange step;
  for (const auto f : faults)
    if (!joined.contains(f) && in(result, f)) step.faults.push_back(f);
  std::erase_if(result.members, [&](const auto& m) { return base::contains(step.faults, m.incarnation); });
  auto next = std::max(result.number, old.result.number);
  for (const auto& s : old.steps)
    for (auto join : s.joins) {
      const auto same = [&](const auto& m) { return m.id == join.id; };
      if (faults.contains(join.incarnation) || std::any_of(result.members.begin(), result.members.end(), same))
        continue;
      join.incarnation = ++next;
      result.members.push_back(join);
      step.joins.push_back(join);
    }
  result.number = next + 1;
  proposal.steps = {step};
}

void Group::considerExtension(base::TimePoint now, net::Outbox& out) {
  if (!manages()) {
    // Somebody older is back: the round is its to run.
    round_.reset();
    return;
  }
  schema::Propose proposal;
  if (round_) {
    proposal = round_->proposal;
  } else {
    proposal.result = *view_;
    // Admission over from a failed manager: an uncommitted extension may have been committed elsewhere, so it is kept
    // and the failure appended (paper, 4.2, rule 4). Without one, the last committed view is extended (rule 5).
    if (pending_ && pending_->result.number > view_->number && in(pending_->result, incarnation_)) {
      if (pending_->base == view_->number) {
        proposal.result = pending_->result;
        proposal.steps = pending_->steps;
      } else {
        rebase(*pending_, proposal);
      }
    }
  }
  schema::ViewChange step;
  auto result = proposal.result;
  if (!extend(result, step, !round_, now)) {
    if (round_ || result.number == view_->number) return;
  } else {
    proposal.steps.push_back(step);
  }
  result.soleEpoch = view_->soleEpoch;
  if (result.epoch > view_->epoch && !quorum(result, view_->voters)) result.soleEpoch = result.epoch;
  // Never proposed without a quorum of voters: on the small side of a cut a proposal would only bind daemons that
  // the other side needs (exception 1).
  proposal.result = result;
  if (!quorum(result, result.voters)) {
    if (round_ && !quorum(round_->proposal.result, round_->proposal.result.voters)) round_.reset();
    return;
  }
  proposal.base = view_->number;
  proposal.proposer = incarnation_;
  proposal.round = random_();
  proposal.insist = false;
  proposal.founding = false;
  // Joiners count their patience from when they were last added to.
  const auto startedAt = round_ && step.joins.empty() ? round_->startedAt : now;
  round_ = Round{proposal, {}, startedAt, now, {}, 0, {}, {}};
  propose(now, out);
}

void Group::propose(base::TimePoint now, net::Outbox& out) {
  round_->sentAt = now;
  const auto& result = round_->proposal.result;
  // The manager is the first to acknowledge, and from now on hears only those in the extension.
  if (!round_->acked.contains(round_->proposal.proposer)) {
    pending_ = round_->proposal;
    pendingAt_ = now;
    round_->acked.insert(round_->proposal.proposer);
    round_->flushed = held_;
    round_->holder = round_->proposal.proposer;
  }
  // To those that have the view before, the changes; the whole, less often, to those that join.
  const auto changes = changesOf(round_->proposal);
  // The whole goes out again only when no answer has come for a while: much of it may still be on its way.
  const bool wholeToo = now - std::max(round_->wholeAt, round_->ackedAt) >= times_.resend;
  if (wholeToo) round_->wholeAt = now;
  std::vector<const schema::Member*> lacking;
  for (const auto& m : result.members) {
    if (round_->acked.contains(m.incarnation)) continue;
    if (changes && in(*view_, m.incarnation))
      out.push_back({addressOf(m), *changes});
    else if (wholeToo)
      lacking.push_back(&m);
  }
  for (const auto* m : lacking) out.push_back({addressOf(*m), round_->proposal});
  considerCommit(now, out);
}

// A proposal as changes of the present view; nothing if it is none (a founding).
std::optional<schema::ProposeChanges> Group::changesOf(const schema::Propose& proposal) const {
  if (!view_ || proposal.founding || proposal.base != view_->number) return std::nullopt;
  const auto& result = proposal.result;
  schema::ProposeChanges changes{proposal.base,   viewDigest_,      proposal.round, proposal.proposer,
                                 proposal.insist, proposal.steps,   result.number,  result.epoch,
                                 result.lister,   result.soleEpoch, result.voters,  digestOf(result)};
  if (digestOf(extended(*view_, changes)) != changes.digest) return std::nullopt;
  return changes;
}

// Tells of the view: one that acknowledged it needs no more, any other asks for the whole.
void Group::sendView(const settings::Endpoint& to, net::Outbox& out) const {
  out.push_back({to, schema::CommitChanges{view_->number, viewDigest_, {}, 0}});
}

void Group::considerCommit(base::TimePoint now, net::Outbox& out) {
  const auto& result = round_->proposal.result;
  for (const auto& m : result.members)
    if (!round_->acked.contains(m.incarnation)) return;
  if (!quorum(result, result.voters)) return;
  schema::Commit commit;
  commit.result = result;
  commit.flushed = round_->flushed;
  commit.flushHolder = round_->holder;
  const schema::CommitChanges deliverMessage{result.number, digestOf(result), commit.flushed, commit.flushHolder};
  for (const auto& m : result.members)
    if (m.incarnation != round_->proposal.proposer) out.push_back({addressOf(m), deliverMessage});
  if (round_->proposal.founding) incarnation_ = round_->proposal.proposer;
  round_.reset();
  unshown_.clear();
  for (const auto& m : commit.result.members)
    if (m.incarnation != incarnation_) unshown_.insert(m.incarnation);
  shownTries_ = 0;
  deliveredAt_ = now;
  deliver(commit, now);
}

void Group::deliver(const schema::Commit& commit, base::TimePoint now) {
  if (view_ && commit.result.number <= view_->number) return;
  if (waiting_ && commit.result.number <= waiting_->result.number) return;
  waiting_ = commit;
  tryDelivery(now);
}

// The flush: a view is delivered only once all that any survivor had from the failed daemons has arrived here too.
// The application fetches it from the holder (flushFrom). A later view takes the place of one that still waits.
void Group::tryDelivery(base::TimePoint now) {
  if (!waiting_ || (waiting_->flushed > held_ && waiting_->flushHolder != incarnation_ &&
                    in(waiting_->result, waiting_->flushHolder)))
    return;
  install(*std::exchange(waiting_, std::nullopt), now);
}

void Group::install(const schema::Commit& commit, base::TimePoint now) {
  const auto& next = commit.result;
  if (view_) noteDeparted(*view_, next, now);
  view_ = next;
  viewDigest_ = digestOf(next);
  installedAt_ = now;
  if (pending_ && pending_->result.number <= next.number) pending_.reset();
  std::erase_if(accepted_, [&](const auto& entry) { return entry.first.first <= next.epoch; });
  // A round that extends an older view would be turned away as stale by everybody: it is begun anew.
  if (round_ && round_->proposal.base < next.number) round_.reset();
  floor_ = std::max(floor_, next.number);
  if (next.epoch > knownEpoch_) {
    knownEpoch_ = next.epoch;
    knownVoters_ = next.voters;
  }
  noteDecidedVoters(now);
  const auto absent = [&](const auto& entry) { return !in(next, entry.first); };
  std::erase_if(heardAt_, absent);
  std::erase_if(stampOf_, absent);
  std::erase_if(echoAt_, absent);
  std::erase_if(heardStampOf_, absent);
  std::erase_if(heardByAt_, absent);
  std::erase_if(suspected_, [&](auto i) { return !in(next, i); });
  std::erase_if(leaving_, [&](auto i) { return !in(next, i); });
  for (const auto& m : next.members) {
    // One that has just been taken in has just been heard.
    heardAt_.try_emplace(m.incarnation, now);
    if (const auto j = joiners_.find(m.id); j != joiners_.end() && j->second.member.bootId == m.bootId)
      joiners_.erase(j);
  }
  lastKnown_.clear();
  for (const auto& m : next.members)
    if (m.role == static_cast<std::uint8_t>(Role::Controller)) lastKnown_.push_back(addressOf(m));
  helloAt_ = {};  // the others shall see the new number at once
  delivered_.push_back({view_});
}

// Killed: it leaves the group without ending its process and comes back as somebody new. What it holds of requests
// and streams belongs to it alone and goes on (exception 4).
void Group::die(const char*, base::TimePoint now) {
  ++deaths_;
  view_.reset();
  pending_.reset();
  waiting_.reset();
  round_.reset();
  incarnation_ = 0;
  bootId_ = random_();
  heardAt_.clear();
  stampOf_.clear();
  echoAt_.clear();
  heardStampOf_.clear();
  heardByAt_.clear();
  suspected_.clear();
  leaving_.clear();
  watchedSince_.clear();
  joiners_.clear();
  barred_.clear();
  unshown_.clear();
  leaseUntil_ = {};
  viewlessSince_ = now;
  joinAt_ = {};
  delivered_.push_back({std::nullopt});
}

void Group::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                    net::Outbox& out) {
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { on(m, from, now, out); }) on(m, from, now, out);
      },
      message);
}

// What the sender has heard of this daemon, and what is to be told of that in return.
void Group::noteHeardBy(const schema::Heartbeat& heartbeat, base::TimePoint now) {
  heardStampOf_[heartbeat.incarnation] = std::max(heardStampOf_[heartbeat.incarnation], heartbeat.stampMs);
  const base::TimePoint heard{base::Millis(heartbeat.heardMs)};
  if (heartbeat.heardMs == 0 || heard > now) return;
  auto& newest = heardByAt_[heartbeat.incarnation];
  newest = std::max(newest, heard);
}

void Group::on(const schema::Heartbeat& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if (!view_) {
    // The view that this daemon has acknowledged is in place at others: its own commit was lost.
    if (pending_ && in(pending_->result, m.incarnation) && m.view >= pending_->result.number)
      out.push_back({from, schema::ViewRequest{0, m.view}});
    passContactsOn(from, out);
    return;
  }
  const auto* sender = find(*view_, m.incarnation);
  if (sender == nullptr) {
    ++rejected_;
    // A newer view that this daemon has not yet: it shows its own number and is sent the newer one. Otherwise the
    // sender is a failed incarnation and is told so, by those alone that hold the lease: without it this daemon may
    // itself be the one that was left out.
    if (m.view > view_->number)
      showView(from, now, out);
    else if (leaseHeld(now))
      out.push_back({from, schema::YouAreDead{m.incarnation, view_->number}});
    return;
  }
  // An extension that has been acknowledged shuts its failed incarnations out already.
  if (pending_ && !in(pending_->result, m.incarnation)) {
    ++rejected_;
    // As the paper has it the sender is told that it is dead. It gets the time of a time-out first: most extensions
    // are committed or replaced by then, and one that is neither may need this very member back for its quorum.
    if (now - pendingAt_ > times_.suspect) out.push_back({from, schema::YouAreDead{m.incarnation, view_->number}});
    return;
  }
  heardAt_[m.incarnation] = now;
  noteHeardBy(m, now);
  if (m.view >= view_->number) unshown_.erase(m.incarnation);
  if (m.view < view_->number) {
    // Stale: rejected, and the newer view is sent again.
    ++rejected_;
    sendView(addressOf(*sender), out);
    return;
  }
  if (m.view > view_->number) {
    sendHello(*sender, false, now, out);
    return;
  }
  if (m.epoch > knownEpoch_) setVoters(m.epoch, m.voters);
  stampOf_[m.incarnation] = m.stampMs;
  if (m.echoMs != 0) {
    const base::TimePoint echoed{base::Millis(m.echoMs)};
    if (echoed <= now) echoAt_[m.incarnation] = std::max(echoAt_[m.incarnation], echoed);
    renewLease(now);
  }
  // Answered at once, and an answer is not answered: the echo is as young as it can be.
  if (m.wanted) sendHello(*sender, false, now, out);
}

// A proposal from an incarnation that has failed, or from one that has missed a commit: answered here.
bool Group::stale(std::uint64_t base, std::uint64_t number, std::uint64_t proposer, const settings::Endpoint& from,
                  base::TimePoint now, net::Outbox& out) {
  if (base <= view_->number && !in(*view_, proposer)) {
    // Its numbers may look new, but they extend a view that was left behind.
    ++rejected_;
    if (leaseHeld(now)) out.push_back({from, schema::YouAreDead{proposer, view_->number}});
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
  if (view_ && stale(m.base, m.number, m.proposer, from, now, out)) return;
  schema::Propose whole{m.base, m.round, m.proposer, m.insist, false, m.steps, {}};
  if (view_ && view_->number == m.base && viewDigest_ == m.baseDigest) whole.result = extended(*view_, m);
  if (whole.result.number != m.number || digestOf(whole.result) != m.digest)
    out.push_back({from, schema::ViewRequest{m.round, m.number}});
  else
    on(whole, from, now, out);
}

void Group::on(const schema::CommitChanges& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  if ((view_ && m.number <= view_->number) || (waiting_ && m.number <= waiting_->result.number)) return;
  if (pending_ && pending_->result.number == m.number && digestOf(pending_->result) == m.digest)
    on(schema::Commit{pending_->result, m.flushed, m.flushHolder}, from, now, out);
  else
    out.push_back({from, schema::ViewRequest{0, m.number}});
}

void Group::on(const schema::ViewRequest& m, const settings::Endpoint& from, base::TimePoint, net::Outbox& out) {
  if (m.round != 0) {
    if (round_ && round_->proposal.round == m.round) out.push_back({from, round_->proposal});
  } else if (view_ && view_->number >= m.number) {
    out.push_back({from, schema::Commit{*view_, {}, 0}});
  }
}

void Group::on(const schema::Propose& m, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out) {
  const schema::Member* self = nullptr;
  for (const auto& member : m.result.members)
    if (member.id == self_.id && member.bootId == bootId_) self = &member;
  if (self == nullptr || leavingSelf_) {
    ++rejected_;
    return;
  }
  if (view_ && m.founding) {
    // Who founds a group has missed that there is one.
    ++rejected_;
    sendView(from, out);
    return;
  }
  if (view_ && stale(m.base, m.result.number, m.proposer, from, now, out)) return;
  // One that was overtaken by a larger extension of the same manager.
  if (pending_ && pending_->proposer == m.proposer && m.result.number < pending_->result.number && !m.insist) return;
  if (pending_ && pending_->round != m.round && !m.insist) {
    schema::Nack nack;
    nack.round = m.round;
    nack.incarnation = self->incarnation;
    for (const auto& step : pending_->steps) {
      for (const auto f : step.faults)
        if (in(m.result, f)) nack.faults.push_back(f);
      for (const auto& join : step.joins) {
        const bool has = std::any_of(m.result.members.begin(), m.result.members.end(), [&](const auto& member) {
          return member.id == join.id && member.bootId == join.bootId;
        });
        const bool failedSince = std::any_of(m.steps.begin(), m.steps.end(),
                                             [&](const auto& s) { return base::contains(s.faults, join.incarnation); });
        // A joiner that has since started again has failed in the meantime as well.
        if (!has && !failedSince && join.id != self_.id) nack.joins.push_back(join);
      }
    }
    // Joins alone are no reason to stop a failure being agreed: the joiner asks again.
    if (!nack.faults.empty()) {
      out.push_back({from, nack});
      return;
    }
  }
  if (pending_ && pending_->founding && m.founding && pending_->round != m.round && now - pendingAt_ < times_.suspect)
    return;  // one founding at a time
  if (!pending_ || pending_->round != m.round) pendingAt_ = now;
  pending_ = m;
  if (m.founding || !view_) floor_ = std::max(floor_, m.result.number);
  out.push_back({from, schema::Ack{m.round, self->incarnation, bootId_, held_}});
}

void Group::on(const schema::Ack& m, const settings::Endpoint&, base::TimePoint now, net::Outbox& out) {
  if (!round_ || round_->proposal.round != m.round) return;
  const auto* sender = find(round_->proposal.result, m.incarnation);
  if (sender == nullptr || sender->bootId != m.bootId) return;
  round_->acked.insert(m.incarnation);
  round_->ackedAt = now;
  heardByAt_[m.incarnation] = now;
  heardAt_[m.incarnation] = now;
  if (m.held > round_->flushed) {
    round_->flushed = m.held;
    round_->holder = m.incarnation;
  }
  considerCommit(now, out);
}

void Group::on(const schema::Nack& m, const settings::Endpoint&, base::TimePoint now, net::Outbox& out) {
  if (!round_ || round_->proposal.round != m.round || !view_) return;
  const auto* sender = find(round_->proposal.result, m.incarnation);
  if (sender == nullptr) return;
  heardAt_[m.incarnation] = now;
  const auto& voters = round_->proposal.result.voters;
  const bool senderVotes = base::contains(voters, sender->voterId);
  auto trial = round_->proposal.result;
  std::erase_if(trial.members, [&](const auto& member) { return base::contains(m.faults, member.incarnation); });
  const bool namesMe = !in(trial, incarnation_);
  if (!senderVotes && (namesMe || !quorum(trial, trial.voters))) {
    // The missing events come from a manager on the small side of a cut: with them no quorum would be left. Once a
    // majority of the voters has acknowledged without them they cannot have been committed, and the members that are
    // no voters are told to let them go.
    std::size_t acked = 0;
    for (const auto& voter : voters)
      for (const auto& member : round_->proposal.result.members)
        acked += member.voterId == voter && round_->acked.contains(member.incarnation);
    if (2 * acked > voters.size() && !round_->proposal.insist) {
      round_->proposal.insist = true;
      propose(now, out);
    }
    return;
  }
  if (namesMe) {
    die("a voter holds an extension without this daemon", now);
    return;
  }
  for (const auto f : m.faults) suspected_.insert(f);
  considerExtension(now, out);
}

void Group::on(const schema::Commit& m, const settings::Endpoint&, base::TimePoint now, net::Outbox&) {
  const schema::Member* self = nullptr;
  for (const auto& member : m.result.members)
    if (member.id == self_.id && member.bootId == bootId_) self = &member;
  if (self == nullptr) {
    // Somebody's newer view without this daemon.
    if (view_ && m.result.number > view_->number && quorum(m.result, m.result.voters) && !leaseHeld(now))
      die("left out of a newer view", now);
    return;
  }
  if (!view_) incarnation_ = self->incarnation;
  if (incarnation_ != self->incarnation) return;
  if (round_ && round_->proposal.result.number <= m.result.number) round_.reset();
  deliver(m, now);
}

void Group::on(const schema::YouAreDead& m, const settings::Endpoint&, base::TimePoint now, net::Outbox&) {
  if (!view_ || m.incarnation != incarnation_) return;
  die("told so", now);
}

void Group::on(const schema::Leave& m, const settings::Endpoint&, base::TimePoint now, net::Outbox& out) {
  if (!view_ || !in(*view_, m.incarnation)) return;
  leaving_.insert(m.incarnation);
  if (m.successor != 0) successor_ = m.successor;
  considerExtension(now, out);
}

std::string Group::describe(base::TimePoint now) const {
  auto out = fmt::format("view {} incarnation {} epoch {} lease {}", view_ ? view_->number : 0, incarnation_,
                         knownEpoch_, leaseHeld(now));
  if (view_) {
    out += fmt::format(" of epoch {} members", view_->epoch);
    for (const auto& m : view_->members) out += fmt::format(" {}:{}", m.id, m.incarnation);
  }
  if (pending_)
    out += fmt::format("; pending {} on {} by {}", pending_->result.number, pending_->base, pending_->proposer);
  if (waiting_) out += fmt::format("; held back {}", waiting_->result.number);
  if (round_) {
    out += fmt::format("; round {} on {} insisting {} without", round_->proposal.result.number, round_->proposal.base,
                       round_->proposal.insist);
    for (const auto& m : round_->proposal.result.members)
      if (!round_->acked.contains(m.incarnation)) out += fmt::format(" {}:{}", m.id, m.incarnation);
  }
  for (const auto& [record, since] : accepted_)
    out += fmt::format("; accepted epoch {} of voters {}", record.first, fmt::join(record.second, " "));
  for (const auto s : suspected_) out += fmt::format("; suspects {}", s);
  for (const auto& [id, joiner] : joiners_) out += fmt::format("; {} would join", id);
  return out;
}

void Group::leave(net::Outbox& out) {
  if (leavingSelf_) return;
  leavingSelf_ = true;
  if (!view_) return;
  schema::Leave leave;
  leave.incarnation = incarnation_;
  if (isLister())
    for (const auto& m : view_->members)
      if (m.incarnation != incarnation_ && m.role == static_cast<std::uint8_t>(Role::Controller) &&
          !suspected_.contains(m.incarnation) && leave.successor == 0)
        leave.successor = m.incarnation;
  leaving_.insert(incarnation_);
  // To the members that watch: whichever of them manages takes it up.
  for (const auto* m : watched()) out.push_back({addressOf(*m), leave});
}

}  // namespace indigohill::membership
