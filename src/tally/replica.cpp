#include "tally/replica.hpp"

#include <algorithm>
#include <utility>

namespace indigohill::tally {

using base::LogEvent;
using base::Millis;
using base::TimePoint;

namespace {

constexpr std::size_t kAddsPerMessage = 300;
constexpr std::size_t kAddsPerRecord = 2000;      // of a log that is written anew
constexpr std::size_t kLogSlackBytes = 4u << 20;  // a log may grow by so much before it is written anew
constexpr std::size_t kLogGrowthFactor = 4;       // or to so many times its size

std::uint64_t lastOf(const schema::TallyRun& run) { return run.first + run.adds.size() - 1; }

// Cuts off what stands before `next`; false if there is a gap before the run, or nothing is left.
bool trim(schema::TallyRun& run, std::uint64_t next) {
  if (run.adds.empty() || run.first > next || lastOf(run) < next) return false;
  run.adds.erase(run.adds.begin(), run.adds.begin() + static_cast<std::ptrdiff_t>(next - run.first));
  run.first = next;
  return true;
}

bool isEmpty(const schema::TallyChanges& changes) { return changes.bases.empty() && changes.runs.empty(); }

bool covers(const Versions& held, const Versions& wanted) {
  return std::all_of(wanted.begin(), wanted.end(),
                     [&](const auto& entry) { return through(held, entry.first) >= entry.second; });
}

}  // namespace

Recovered recover(const std::vector<std::string>& records) {
  Recovered out;
  for (const auto& record : records) {
    const auto decoded = net::decode(record);
    if (base::errorIn(decoded) != nullptr) break;
    const auto& message = std::get<schema::Message>(decoded);
    if (const auto* versions = std::get_if<schema::TallyVersions>(&message))
      out.replica = versions->replica;
    else if (const auto* changes = std::get_if<schema::TallyChanges>(&message))
      out.ledger.apply(*changes);
  }
  return out;
}

Replica::Replica(Recovered recovered, std::uint64_t newName, bool mayBeFirst, Options options, TimePoint now)
    : name_(recovered.replica != 0 ? recovered.replica : newName),
      options_(options),
      ledger_(std::move(recovered.ledger)),
      startedAt_(now),
      tickedAt_(now),
      hasState_(recovered.replica != 0 || mayBeFirst),
      mustReplace_(recovered.replica == 0),
      replaceTriedAt_(now - options.times.rewriteInterval) {
  // From its first add on, which counts for nothing, every replica is known to all by its adds.
  if (ledger_.through(name_) == 0) stageOwn({});
}

void Replica::add(std::uint64_t call, schema::TallyAdd add, TimePoint now, Effects& effects) {
  auto at = ledger_.find(add.tally, add.id);
  if (!at) at = findStaged(add);
  if (!at && !mayTakeAdds(now)) {
    answer(call, AddResult::NotDone, effects);
    return;
  }
  if (!at) at = stageOwn(std::move(add));
  waiting_.push_back({call, *at, now + options_.times.answerLimit});
  considerWrite(now, effects);
  considerAnswers(now, effects);
}

void Replica::answer(std::uint64_t call, AddResult result, Effects& effects) {
  auto& count = result == AddResult::Counted   ? counts_.counted
                : result == AddResult::NotDone ? counts_.notDone
                                               : counts_.mayBeCounted;
  ++count;
  effects.answers.push_back({call, result});
}

std::optional<std::uint64_t> Replica::total(const std::string& tally) const {
  if (!caughtUp_) return std::nullopt;
  return ledger_.total(tally);
}

bool Replica::mayTakeAdds(TimePoint now) const {
  const bool isSlow = isWriting_ && now - writeBegan_ > options_.times.slowWrite;
  const bool hasRoom = ledger_.remembered() < options_.maxRemembered;
  return settled_ && !mustReplace_ && !isSlow && hasRoom && reachable_ + 1 >= copiesWanted();
}

std::optional<Position> Replica::findStaged(const schema::TallyAdd& add) const {
  const auto found = stagedIds_.find(keyOf(add));
  if (found == stagedIds_.end()) return std::nullopt;
  return found->second;
}

std::uint64_t Replica::stagedThrough(std::uint64_t origin) const {
  auto out = ledger_.through(origin);
  for (const auto* changes : {&writing_, &staged_}) {
    for (const auto& base : changes->bases)
      if (base.origin == origin) out = std::max(out, base.through);
    for (const auto& run : changes->runs)
      if (run.origin == origin) out = std::max(out, lastOf(run));
  }
  return out;
}

Position Replica::stageOwn(schema::TallyAdd add) {
  const Position at{name_, stagedThrough(name_) + 1};
  if (!add.id.empty()) stagedIds_[keyOf(add)] = at;
  for (auto& run : staged_.runs)
    if (run.origin == name_) {
      run.adds.push_back(std::move(add));
      return at;
    }
  staged_.runs.push_back({name_, at.sequence, {std::move(add)}});
  return at;
}

void Replica::stage(const schema::TallyChanges& changes) {
  for (const auto& base : changes.bases)
    if (base.origin != name_ && base.through > stagedThrough(base.origin)) staged_.bases.push_back(base);
  for (auto run : changes.runs)
    if (run.origin != name_ && trim(run, stagedThrough(run.origin) + 1)) staged_.runs.push_back(std::move(run));
}

// The log is replaced first where that is due; what is staged waits for it.
void Replica::considerWrite(TimePoint now, Effects& effects) {
  if (isWriting_) return;
  if (mustReplace_) {
    if (now - replaceTriedAt_ < options_.times.rewriteInterval) return;
    replaceTriedAt_ = now;
    effects.write = wholeLog();
    isReplacing_ = true;
  } else {
    if (isEmpty(staged_)) return;
    writing_ = std::exchange(staged_, {});
    effects.write = LogWrite{{net::encode(writing_)}, false};
    logBytes_ += effects.write->records.front().size();
  }
  isWriting_ = true;
  writeBegan_ = now;
}

LogWrite Replica::wholeLog() const {
  LogWrite out;
  out.replace = true;
  out.records.push_back(net::encode(schema::TallyVersions{name_, 0, 0, false, {}}));
  for (const auto& [origin, last] : ledger_.versions()) {
    for (std::uint64_t at = 0; at < last;) {
      schema::TallyChanges part{name_, {}, {}};
      ledger_.changesOf(origin, at, kAddsPerRecord, part);
      at = part.runs.empty() ? last : lastOf(part.runs.front());
      out.records.push_back(net::encode(part));
    }
  }
  return out;
}

void Replica::onWritten(bool isOnDisk, TimePoint now, Effects& effects) {
  isWriting_ = false;
  if (std::exchange(isReplacing_, false)) {
    finishReplacing(isOnDisk, effects);
  } else if (isOnDisk) {
    finishAppending(now, effects);
  } else {
    effects.log.emplace_back("tally_write_failed");
    dropStaged(effects);
    mustReplace_ = true;
    replaceTriedAt_ = now;
  }
  considerWrite(now, effects);
}

void Replica::finishReplacing(bool isOnDisk, Effects& effects) {
  if (!isOnDisk) {
    effects.log.emplace_back("tally_write_failed");
    return;
  }
  mustReplace_ = false;
  replacedBytes_ = logBytes_ / kLogGrowthFactor;
  logBytes_ = 0;
}

void Replica::finishAppending(TimePoint now, Effects& effects) {
  const auto written = std::exchange(writing_, {});
  ledger_.apply(written);
  for (const auto& run : written.runs)
    if (run.origin == name_)
      for (const auto& add : run.adds) stagedIds_.erase(keyOf(add));
  if (logBytes_ > kLogSlackBytes + kLogGrowthFactor * replacedBytes_) mustReplace_ = true;
  for (const auto& sender : std::exchange(senders_, {}))
    for (const auto& [name, peer] : peers_)
      if (peer.address == sender) sendVersions(sender, &peer, true, now, effects);
  pushOwn(now, effects);
  considerCaughtUp(now);
  considerAnswers(now, effects);
}

// What was being written may be on the disk all the same; what was staged behind it is not, and never will be. Adds of
// other replicas come again.
void Replica::dropStaged(Effects& effects) {
  const auto known = ledger_.through(name_);
  std::uint64_t begun = known;
  for (const auto& run : writing_.runs)
    if (run.origin == name_) begun = std::max(begun, lastOf(run));
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    if (waiting.at.origin != name_ || waiting.at.sequence <= known) return false;
    const bool isBegun = waiting.at.sequence <= begun;
    answer(waiting.call, isBegun ? AddResult::MayBeCounted : AddResult::NotDone, effects);
    return true;
  });
  writing_ = {};
  staged_ = {};
  stagedIds_.clear();
  senders_.clear();
  if (known == 0) stageOwn({});
}

std::size_t Replica::copiesOf(Position at) const {
  if (ledger_.through(at.origin) < at.sequence) return 0;
  std::size_t out = 1;
  for (const auto& [name, peer] : peers_)
    if (tally::through(peer.durable, at.origin) >= at.sequence) ++out;
  return out;
}

// In a part that is cut off, as many as it has disks. Those of replicas that are down count: while more machines are
// down than may be lost at once, nothing is acknowledged on the few that remain.
std::size_t Replica::copiesWanted() const { return std::min(options_.copies, reachable_ + 1 + down_); }

std::size_t Replica::countDown(const Surroundings& surroundings, TimePoint now) const {
  if (!surroundings.isGroupKnown) return now - startedAt_ < options_.times.groupSearch ? options_.copies : 0;
  std::set<settings::Endpoint> reachable;
  for (const auto& [name, peer] : peers_)
    if (isReachable(peer, now)) reachable.insert(peer.address);
  return static_cast<std::size_t>(std::count_if(surroundings.expected.begin(), surroundings.expected.end(),
                                                [&](const auto& address) { return !reachable.contains(address); }));
}

void Replica::considerAnswers(TimePoint now, Effects& effects) {
  const auto wanted = copiesWanted();
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    const bool isKept = settled_ && copiesOf(waiting.at) >= wanted;
    if (!isKept && now < waiting.expiresAt) return false;
    answer(waiting.call, isKept ? AddResult::Counted : AddResult::MayBeCounted, effects);
    return true;
  });
}

// New adds go at once to as many peers as are to keep them, and one more; the others get them by the next exchange.
void Replica::pushOwn(TimePoint now, Effects& effects) {
  std::size_t left = options_.copies;
  auto next = peers_.upper_bound(name_);
  for (std::size_t i = 0; i < peers_.size() && left > 0; ++i, ++next) {
    if (next == peers_.end()) next = peers_.begin();
    if (!isReachable(next->second, now)) continue;
    offerChanges(next->second, true, now, effects);
    --left;
  }
}

// An origin sends its own adds. Others do so for one that they do not reach, or that seems not to reach the peer.
bool Replica::mayOffer(const Peer& peer, std::uint64_t origin, std::uint64_t theirs, TimePoint now) const {
  if (origin == name_) return true;
  const auto taker = peers_.find(origin);
  if (taker == peers_.end() || !isReachable(taker->second, now)) return true;
  const auto progress = peer.progress.find(origin);
  if (progress == peer.progress.end()) return theirs == 0;
  return now - progress->second.since > options_.times.relayDelay;
}

void Replica::offerChanges(Peer& peer, bool ownAlone, TimePoint now, Effects& effects) {
  schema::TallyChanges changes{name_, {}, {}};
  std::size_t left = kAddsPerMessage;
  for (const auto& [origin, mine] : ledger_.versions()) {
    if (left == 0) break;
    if (ownAlone && origin != name_) continue;
    const auto theirs = tally::through(peer.durable, origin);
    if (mine <= theirs || !mayOffer(peer, origin, theirs, now)) continue;
    auto& offer = peer.offers[origin];
    const auto movedAt = std::max(offer.since, peer.progress[origin].since);
    const bool isUnderWay = offer.through > theirs && now - movedAt < options_.times.resendInterval;
    const auto from = isUnderWay ? offer.through : theirs;
    if (from >= mine) continue;
    const auto runs = changes.runs.size();
    const auto sent = ledger_.changesOf(origin, from, left, changes);
    left -= sent;
    counts_.addsSent += sent;
    offer.through = changes.runs.size() > runs ? lastOf(changes.runs.back()) : mine;
    if (!isUnderWay) offer.since = now;
  }
  if (!isEmpty(changes)) effects.out.push_back({peer.address, std::move(changes)});
}

void Replica::sendVersions(const settings::Endpoint& to, const Peer* peer, bool isReply, TimePoint now,
                           Effects& effects) const {
  effects.out.push_back({to, schema::TallyVersions{name_, base::toMs(now), peer == nullptr ? 0 : peer->theirSentMs,
                                                   isReply, ledger_.versionList()}});
}

void Replica::receive(const schema::TallyVersions& message, const settings::Endpoint& from, TimePoint now,
                      Effects& effects) {
  if (message.replica == 0 || message.replica == name_) return;
  const bool isNew = !peers_.contains(message.replica);
  // Another name at an address: the disk of the one before is gone.
  if (isNew) std::erase_if(peers_, [&](const auto& entry) { return entry.second.address == from; });
  auto& peer = peers_[message.replica];
  peer.address = from;
  if (message.echoMs > 0) {
    const TimePoint echoed{Millis(message.echoMs)};
    peer.echoedAt = std::max(peer.echoedAt.value_or(echoed), std::min(echoed, now));
  }
  const auto durable = versionsOf(message.durable);
  for (const auto& [origin, sequence] : durable) {
    auto& held = peer.durable[origin];
    held = std::max(held, sequence);
    if (isNew && !caughtUp_) peer.heldAtFirst[origin] = sequence;
  }
  peer.theirSentMs = std::max(peer.theirSentMs, message.sentMs);
  for (const auto& [origin, mine] : ledger_.versions()) {
    const auto theirs = tally::through(peer.durable, origin);
    auto [progress, isFirst] = peer.progress.try_emplace(origin, Progress{theirs, now});
    if (!isFirst && (theirs > progress->second.sequence || theirs >= mine)) progress->second = {theirs, now};
  }
  if (!message.isReply && (isNew || now - peer.sentAt > options_.times.exchangeInterval)) {
    peer.sentAt = now;
    sendVersions(from, &peer, true, now, effects);
  }
  offerChanges(peer, false, now, effects);
  considerAnswers(now, effects);
}

void Replica::receive(const schema::TallyChanges& message, const settings::Endpoint& from, TimePoint now,
                      Effects& effects) {
  stage(message);
  senders_.insert(from);
  considerWrite(now, effects);
}

bool Replica::isReachable(const Peer& peer, TimePoint now) const {
  return peer.echoedAt && now - *peer.echoedAt < options_.times.unreachable;
}

void Replica::tick(const Surroundings& surroundings, TimePoint now, Effects& effects) {
  allowForStall(now);
  tickedAt_ = now;
  settled_ = settled_ || now - startedAt_ >= options_.times.settling;
  const bool wasApart = isApart();
  reachable_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) { return isReachable(entry.second, now); }));
  down_ = countDown(surroundings, now);
  if (isApart() && !wasApart) apartSince_ = now;
  if (settled_ && isApart() != wasApart)
    effects.log.push_back(LogEvent(wasApart ? "tallies_joined" : "tallies_apart")
                              .with("reachable", reachable_)
                              .with("down", down_)
                              .with("unmerged", unmerged()));
  exchange(surroundings.candidates, now, effects);
  considerCaughtUp(now);
  considerFolding(now);
  considerWrite(now, effects);
  considerAnswers(now, effects);
}

// A process that stood still has heard nobody meanwhile, which says nothing of the others.
void Replica::allowForStall(TimePoint now) {
  const auto gap = now - tickedAt_;
  if (gap <= options_.times.stall) return;
  for (auto& [name, peer] : peers_)
    if (peer.echoedAt) *peer.echoedAt += gap;
  startedAt_ += gap;
}

void Replica::exchange(const std::vector<settings::Endpoint>& candidates, TimePoint now, Effects& effects) {
  std::set<settings::Endpoint> known;
  for (auto& [name, peer] : peers_) {
    known.insert(peer.address);
    if (now - peer.sentAt < options_.times.exchangeInterval) continue;
    peer.sentAt = now;
    sendVersions(peer.address, &peer, false, now, effects);
  }
  for (const auto& address : candidates) {
    if (known.contains(address)) continue;
    auto& searchedAt = searches_[address];
    if (now - searchedAt < options_.times.searchInterval) continue;
    searchedAt = now;
    sendVersions(address, nullptr, false, now, effects);
  }
}

// What a peer held that is not in reach any more may be gone with its disk: nobody waits for it.
void Replica::considerCaughtUp(TimePoint now) {
  if (caughtUp_ || !settled_) return;
  const auto mine = ledger_.versions();
  bool lacksNothing = true;
  for (const auto& [name, peer] : peers_) {
    if (!isReachable(peer, now)) continue;
    if (covers(mine, peer.heldAtFirst))
      hasState_ = true;
    else
      lacksNothing = false;
  }
  caughtUp_ = hasState_ && lacksNothing;
}

std::uint64_t Replica::unmerged() const {
  std::uint64_t out = 0;
  for (const auto& [origin, mine] : ledger_.versions()) {
    auto least = mine;
    for (const auto& [name, peer] : peers_) least = std::min(least, tally::through(peer.durable, origin));
    out += mine - least;
  }
  return out;
}

// Only while every replica that has ever taken an add is in touch: one that is cut off may have taken an add under an
// id that is to be forgotten here.
void Replica::considerFolding(TimePoint now) {
  const auto& times = options_.times;
  if (!checkpoints_.empty() && now - checkpoints_.back().at < times.checkpoint) return;
  Checkpoint next{now, ledger_.versions()};
  for (const auto& [origin, mine] : ledger_.versions()) {
    const auto taker = peers_.find(origin);
    const bool isHeard = origin == name_ || (taker != peers_.end() && isReachable(taker->second, now));
    if (!isHeard && (taker != peers_.end() || now - startedAt_ < times.originGone)) {
      checkpoints_.clear();
      return;
    }
  }
  for (auto& [origin, held] : next.held)
    for (const auto& [name, peer] : peers_) held = std::min(held, tally::through(peer.durable, origin));
  checkpoints_.push_back(std::move(next));
  while (now - checkpoints_.front().at >= times.idRetention) {
    for (const auto& [origin, held] : checkpoints_.front().held) ledger_.fold(origin, held);
    checkpoints_.pop_front();
  }
}

}  // namespace indigohill::tally
