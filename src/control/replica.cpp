#include "control/replica.hpp"

#include <algorithm>

#include "base/lists.hpp"
#include "control/taken_orders.hpp"

namespace indigohill::control {

namespace {
// Of taken configurations: 16 bytes each. A caller sends one again within seconds, so this covers any storm of changes.
constexpr std::size_t kTakenOrdersKept = 512;
constexpr std::size_t kOrdersWaiting = 64;
constexpr base::Millis kDiskRest{3000};  // how long a controller whose disk failed does not stand

constexpr base::Millis kSilence{5000};  // how long a backup that did not answer is taken only if there is no other
constexpr base::Millis kSpread{5000};   // how often, at most, copies that all lie in one zone are moved

// The machine that a voter's name tells of.
std::string_view machine(std::string_view voterId) { return voterId.substr(0, voterId.find('/')); }

bool majority(const std::set<std::string>& said, const std::vector<std::string>& voters) {
  const auto count = std::count_if(voters.begin(), voters.end(), [&](const auto& v) { return said.contains(v); });
  return 2 * static_cast<std::size_t>(count) > voters.size();
}
}  // namespace

Replica::Replica(Self self, Loaded loaded, ReplicaTimes times, std::uint64_t seed)
    : self_(std::move(self)),
      times_(times),
      random_(seed),
      record_(std::move(loaded.record)),
      state_(std::move(loaded.state)),
      pendingAnswers_(random_() >> 1) {
  if (loaded.vote) vote_ = *loaded.vote;
  // Before the first record is replaced nothing can have been acknowledged, so no state means an empty one.
  if (!state_ && record_ && record_->epoch == 1) state_ = schema::ControlState{};
}

schema::EpochRecord Replica::firstRecord(std::vector<std::string> voters) {
  std::sort(voters.begin(), voters.end());
  schema::EpochRecord record;
  record.epoch = 1;
  record.primary = voters.front();
  if (voters.size() > 1) record.backups = {voters[1]};
  record.voters = std::move(voters);
  return record;
}

// Below 2f+1 voters as many losses are borne as there are voters for: of n, (n-1)/2, with a copy more than that.
bool Replica::complete() const {
  return record_ && record_->voters.size() >= 2 * self_.faultTolerance + 1 &&
         record_->backups.size() >= self_.faultTolerance;
}

bool Replica::copiesWhole(const std::set<std::string>& done) const {
  return std::all_of(record_->backups.begin(), record_->backups.end(), [&](const auto& b) { return done.contains(b); });
}

std::vector<const schema::Member*> Replica::storageNodes(bool self) const {
  std::vector<const schema::Member*> out;
  for (const auto& m : cluster_.controllers)
    if (!m.voterId.empty() && (self || m.voterId != self_.voterId)) out.push_back(&m);
  return out;
}

bool Replica::anySilent(base::TimePoint now) const {
  return std::any_of(record_->backups.begin(), record_->backups.end(), [&](const auto& b) { return silent(b, now); });
}

bool Replica::silent(const std::string& voterId, base::TimePoint now) const {
  const auto found = silentAt_.find(voterId);
  return found != silentAt_.end() && now - found->second < kSilence;
}

const schema::Member* Replica::controller(const std::string& voterId) const {
  for (const auto& m : cluster_.controllers)
    if (m.voterId == voterId) return &m;
  return nullptr;
}

std::optional<settings::Endpoint> Replica::addressOf(const std::string& voterId) const {
  if (const auto* m = controller(voterId)) return settings::Endpoint{m->ip, m->port};
  if (const auto found = lastAddress_.find(voterId); found != lastAddress_.end()) return found->second;
  return std::nullopt;
}

void Replica::send(const std::string& to, schema::Message message, Effects& effects) {
  if (to == self_.voterId)
    local_.push_back(std::move(message));
  else if (const auto address = addressOf(to))
    effects.out.push_back({*address, std::move(message)});
}

std::uint64_t Replica::write(Slot slot, std::string bytes, Effects& effects) {
  const auto token = nextToken_++;
  if (!relay()) effects.writes.push_back({token, slot, std::move(bytes)});
  return token;
}

// A witness answers only once its word is on disk.
void Replica::saveVote(std::optional<Reply> reply, Effects& effects) {
  const auto token = write(Slot::Vote, net::encodeVote(vote_), effects);
  if (reply) replies_[token] = std::move(*reply);
}

bool Replica::primaryFresh(base::TimePoint now) const {
  return active(now) || (beatSeen_ && now - beatAt_ < 4 * times_.beat);
}

std::optional<settings::Endpoint> Replica::primaryAddress() const {
  if (!record_) return std::nullopt;
  if (record_->primary == self_.voterId) return self_.address;
  return addressOf(record_->primary);
}

void Replica::transferLeadership(net::Outbox& out) {
  if (!record_ || record_->primary != self_.voterId) return;
  // One alone is asked, as two that stand at once hold each other up: best one that has the write under way.
  const std::string* successor = nullptr;
  for (const auto& backup : record_->backups) {
    if (controller(backup) == nullptr) continue;
    if (successor == nullptr ||
        (current_ && current_->copied.contains(backup) && !current_->copied.contains(*successor)))
      successor = &backup;
  }
  if (successor == nullptr) return;
  if (const auto address = addressOf(*successor))
    out.push_back({*address, schema::TransferLeadership{self_.voterId, record_->epoch}});
}

void Replica::stepDown(Effects& effects) {
  phase_ = Phase::Idle;
  published_.reset();
  requeue();
  for (const auto& queued : orders_) effects.answers.push_back({queued.order.call, 503, "the primary changes", {}});
  orders_.clear();
}

// Puts what is under way back in front of the queue, as it arrived: it is judged again under the next record.
void Replica::requeue() {
  if (current_ && current_->order) orders_.push_front(std::move(*current_->order));
  current_.reset();
  auto pending = pendingAnswers_.takeAll();
  orders_.insert(orders_.begin(), std::make_move_iterator(pending.begin()), std::make_move_iterator(pending.end()));
}

// Takes over a record that was decided.
void Replica::adopt(const schema::EpochRecord& record, base::TimePoint now, Effects& effects) {
  if (record.epoch == 0 || (record_ && record.epoch <= record_->epoch)) return;
  record_ = record;
  write(Slot::Record, net::encodeRecord(record), effects);
  candidacy_.reset();
  beatSeen_ = false;
  transferRequested_ = false;
  primaryGone_ = false;
  leaseSince_ = now;
  if (record.primary != self_.voterId) {
    if (phase_ != Phase::Idle) stepDown(effects);
    return;
  }
  if (!state_) return;
  // This controller stood for the record (or somebody finished it on its behalf): what it holds is written once more
  // under the new epoch, at the backup too, before anything of it is shown. Only then is the older epoch shut out
  // wherever the state lies.
  requeue();
  phase_ = Phase::Activating;
  auto next = *state_;
  next.version.epoch = record.epoch;
  startWrite(std::move(next), std::nullopt, now, effects);
}

// Whether all copies lie in one zone although another zone has a controller for one.
bool Replica::inOneZone(const std::vector<std::string>& copies) const {
  const auto* own = controller(self_.voterId);
  if (own == nullptr || copies.empty()) return false;
  for (const auto& copy : copies)
    if (const auto* m = controller(copy); m == nullptr || m->zone != own->zone) return false;
  return std::any_of(cluster_.controllers.begin(), cluster_.controllers.end(),
                     [&](const auto& m) { return !m.voterId.empty() && m.zone != own->zone; });
}

// The backups that are best now, among the controllers in the view or among those that are given. First those that
// answer, then those of zones that hold no copy yet (the loss of a zone must leave one), then those that are backups
// already, voters, standbys.
std::vector<std::string> Replica::chooseBackups(std::size_t count, const std::set<std::string>* among,
                                                base::TimePoint now) const {
  auto pool = storageNodes(false);
  if (among != nullptr) std::erase_if(pool, [&](const auto* m) { return !among->contains(m->voterId); });
  std::map<std::string, std::size_t> copies;
  if (const auto* own = controller(self_.voterId)) ++copies[own->zone];
  const bool leads = record_->primary == self_.voterId;
  const auto rank = [&](const schema::Member& m) {
    // A primary that is being replaced is in trouble or leaves.
    const bool doubtful = among == nullptr && (silent(m.voterId, now) || m.voterId == record_->primary);
    const int kind = leads && base::contains(record_->backups, m.voterId) ? 0
                     : base::contains(record_->voters, m.voterId)         ? 1
                                                                          : 2;
    return std::tuple(doubtful, copies[m.zone], kind);
  };
  std::vector<std::string> out;
  while (out.size() < count && !pool.empty()) {
    const auto best =
        std::min_element(pool.begin(), pool.end(), [&](const auto* a, const auto* b) { return rank(*a) < rank(*b); });
    ++copies[(*best)->zone];
    out.push_back((*best)->voterId);
    pool.erase(best);
  }
  return out;
}

// The voters of the next record: those that have been missing for long are exchanged, all that can be at once, and
// there are to be 2f+1, or as many as there are controllers with a disk, but an odd number. No zone is to hold more
// than f.
//
// Any change may be made in one record. The record after epoch e is the value of one decree among the voters of e, so
// there is one whatever its voters are. It also needs a majority of its own voters to have accepted it, so whoever
// later holds a majority of them finds it. Voters of e that missed it cannot go on by themselves: a majority of them
// holds one that accepted it, or has since learned of a later record, and is handed that.
void Replica::chooseVoters(schema::EpochRecord& target, base::TimePoint now) const {
  auto& voters = target.voters;
  const auto pool = storageNodes(true);
  std::map<std::string, std::size_t> held;
  const auto zoneOf = [&](const std::string& voter) -> std::string {
    if (const auto* m = controller(voter)) return m->zone;
    const auto found = seenIn_.find(voter);
    return found == seenIn_.end() ? std::string() : found->second;
  };
  for (const auto& voter : voters) ++held[zoneOf(voter)];
  for (const auto* m : pool) held.try_emplace(m->zone, 0);
  const auto borne = pool.empty() ? 0 : std::min(self_.faultTolerance, (pool.size() - 1) / 2);
  const auto wanted = std::max(voters.size(), 2 * borne + 1);
  // In fewer zones than it takes, they are at least spread evenly.
  const auto most = std::max(self_.faultTolerance, (wanted + held.size() - 1) / held.size());
  const auto successor = [&](const std::string& zone) -> const schema::Member* {
    const schema::Member* best = nullptr;
    const auto rank = [&](const schema::Member& m) {
      return std::tuple(silent(m.voterId, now), m.zone != zone, held[m.zone], m.voterId);
    };
    for (const auto* m : pool)
      if (!base::contains(voters, m->voterId) && held[m->zone] < most && (best == nullptr || rank(*m) < rank(*best)))
        best = m;
    return best;
  };
  const auto exchange = [&](std::string& voter, const schema::Member& by) {
    --held[zoneOf(voter)];
    ++held[by.zone];
    voter = by.voterId;
  };
  for (auto& voter : voters) {
    const auto missing = missingSince_.find(voter);
    if (missing == missingSince_.end()) continue;
    // On the voter's own machine there is now a newcomer: its disk is gone, and nothing is to be waited for.
    const auto* newcomer = static_cast<const schema::Member*>(nullptr);
    for (const auto* m : pool)
      if (machine(m->voterId) == machine(voter)) newcomer = m;
    const bool wiped = newcomer != nullptr;
    const auto zone = wiped ? newcomer->zone : zoneOf(voter);
    if (!wiped && now - missing->second < times_.exchange) continue;
    --held[zoneOf(voter)];
    const auto* by = successor(zone);
    ++held[zoneOf(voter)];
    if (by != nullptr) exchange(voter, *by);
  }
  while (voters.size() < wanted) {
    const auto* one = successor({});
    if (one == nullptr) break;
    auto trial = voters;
    trial.push_back(one->voterId);
    ++held[one->zone];
    if (trial.size() % 2 == 0) {
      std::swap(trial, voters);
      const auto* two = successor({});
      std::swap(trial, voters);
      if (two == nullptr) break;  // never an even number: it bears no more losses and needs one more for a majority
      trial.push_back(two->voterId);
      ++held[two->zone];
    }
    voters = std::move(trial);
  }
  // A zone that came to hold too many while another was away gives one back.
  for (auto& voter : voters) {
    const auto* m = controller(voter);
    if (m == nullptr || voter == self_.voterId || held[m->zone] <= most) continue;
    if (const auto* by = successor({})) exchange(voter, *by);
  }
  std::sort(voters.begin(), voters.end());
}

bool Replica::chooseNextRecord(schema::EpochRecord& target, base::TimePoint now) const {
  target = *record_;
  ++target.epoch;
  target.primary = self_.voterId;
  chooseVoters(target, now);
  // A copy on each of f backups; with fewer voters than 2f+1 on as many as the voters can lose.
  const auto count = std::min(self_.faultTolerance, target.voters.size() / 2);
  target.backups = chooseBackups(count, nullptr, now);
  if (target.backups.size() < count) return false;
  // Those that are backups stay, unless one of them is why there is a choice.
  if (record_->primary == self_.voterId && record_->backups.size() == count && !inOneZone(record_->backups) &&
      std::all_of(record_->backups.begin(), record_->backups.end(),
                  [&](const auto& b) { return controller(b) != nullptr; }) &&
      !anySilent(now))
    target.backups = record_->backups;
  return true;
}

// Stands as primary of the next epoch. From here on this controller neither writes nor takes copies in the present
// one, whatever becomes of it: another may finish what was proposed here, and a backup chosen now holds nothing that
// is written later.
void Replica::campaign(base::TimePoint now, Effects& effects) {
  schema::EpochRecord target;
  const bool finishing = record_->primary != self_.voterId && !isBackup();
  if (finishing)
    target = vote_.accepted;
  else if (!chooseNextRecord(target, now))
    return;
  if (phase_ == Phase::Active || phase_ == Phase::Activating) requeue();
  if (!finishing) phase_ = Phase::Campaigning;
  if (vote_.slot != target.epoch) vote_ = {target.epoch, 0, 0, {}, vote_.sealed};
  vote_.sealed = std::max(vote_.sealed, record_->epoch);
  Candidacy c;
  c.target = c.value = target;
  // Ballots of two candidates never meet: the low bits are drawn by lot.
  c.ballot = ((std::max(vote_.promised, candidacy_ ? candidacy_->ballot : 0) >> 20) + 1) << 20 | (random_() & 0xfffff);
  c.installToken = random_();
  c.startedAt = now;
  c.patience = times_.retry + base::Millis(random_() % (times_.retry.count() + 1));
  c.step = finishing ? Candidacy::Step::Preparing : Candidacy::Step::Installing;
  c.sealToken = nextToken_;  // of the write that comes next
  candidacy_ = c;
  saveVote(std::nullopt, effects);
  push(now, effects);
  considerPreparing(now, effects);
}

// Sends what the present step of the candidacy still wants an answer to.
void Replica::push(base::TimePoint now, Effects& effects) {
  auto& c = *candidacy_;
  c.sentAt = now;
  switch (c.step) {
    case Candidacy::Step::Installing: {
      // At first to those that are wanted; if they do not all answer at once, to everybody: several may be in trouble
      // together, and they are not to be found out one after the other.
      std::set<std::string> targets(c.target.backups.begin(), c.target.backups.end());
      if (now != c.startedAt)
        for (const auto* m : storageNodes(false)) targets.insert(m->voterId);
      for (const auto& to : targets)
        if (!c.installed.contains(to))
          send(to, schema::ReplicateState{self_.voterId, c.installToken, true, *record_, *state_}, effects);
      break;
    }
    case Candidacy::Step::Preparing:
      for (const auto& voter : record_->voters)
        if (!c.promised.contains(voter)) {
          if (now != c.startedAt) send(voter, schema::Decided{*record_}, effects);
          send(voter, schema::Prepare{self_.voterId, c.target.epoch, c.ballot}, effects);
        }
      break;
    case Candidacy::Step::Accepting: {
      std::set<std::string> voters(record_->voters.begin(), record_->voters.end());
      voters.insert(c.value.voters.begin(), c.value.voters.end());
      for (const auto& voter : voters)
        if (!c.accepted.contains(voter))
          send(voter, schema::Accept{self_.voterId, c.target.epoch, c.ballot, c.value}, effects);
      break;
    }
  }
}

// The record is put to the voters once its backups hold the whole state on disk, and the seal is on disk here: a
// candidate that lost it in a crash would take copies again that its new backups lack.
void Replica::considerPreparing(base::TimePoint now, Effects& effects) {
  if (!candidacy_ || candidacy_->step != Candidacy::Step::Installing || !candidacy_->sealed) return;
  auto& c = *candidacy_;
  const auto count = c.target.backups.size();
  if (!std::all_of(c.target.backups.begin(), c.target.backups.end(),
                   [&](const auto& b) { return c.installed.contains(b); })) {
    // Those that were wanted have had their time: the best of those that have answered.
    if (now - c.startedAt < times_.resend || c.installed.size() < count) return;
    for (const auto& b : c.target.backups)
      if (!c.installed.contains(b)) silentAt_[b] = now;
    const auto chosen = chooseBackups(count, &c.installed, now);
    if (chosen.size() < count) return;
    c.target.backups = c.value.backups = chosen;
  }
  c.step = Candidacy::Step::Preparing;
  push(now, effects);
}

void Replica::considerCampaign(base::TimePoint now, Effects& effects) {
  if (!record_ || !leaseHeld(now) || now < campaignAfter_) return;
  if (candidacy_) {
    if (now - candidacy_->startedAt > candidacy_->patience)
      campaign(now, effects);
    else if (now - candidacy_->sentAt >= times_.resend)
      push(now, effects);
    considerPreparing(now, effects);
    return;
  }
  if (record_->primary == self_.voterId) {
    if (!state_) return;
    schema::EpochRecord target;
    if (phase_ == Phase::Idle) {
      campaign(now, effects);
    } else if (chooseNextRecord(target, now) &&
               (target.backups != record_->backups || (active(now) && target.voters != record_->voters))) {
      // Without all backups nothing can be acknowledged, and the machine may be the next to be lost: new ones at once.
      // Missing voters are exchanged; and that copies are spread over zones is worth an epoch too, now and then.
      if (inOneZone(record_->backups) && target.voters == record_->voters && !anySilent(now)) {
        if (now - spreadAt_ < kSpread) return;
        spreadAt_ = now;
      }
      campaign(now, effects);
    }
    return;
  }
  if (isBackup() && state_) {
    const bool gone = controller(record_->primary) == nullptr;
    if (gone && !primaryGone_) primaryGoneAt_ = now;
    primaryGone_ = gone;
    // Any of the backups holds all that was acknowledged. They stand by turns, as two at once hold each other up.
    base::Millis turn{0};
    for (const auto& backup : record_->backups) {
      if (backup == self_.voterId) break;
      if (controller(backup) != nullptr) turn += times_.turn;
    }
    const auto heard = beatSeen_ ? std::max(beatAt_, leaseSince_) : leaseSince_;
    if (transferRequested_ || (gone && now - primaryGoneAt_ >= turn) || now - heard > times_.quiet + turn)
      campaign(now, effects);
    return;
  }
  // A record that some voters accepted and nobody finished: any voter may finish that very value.
  if (vote_.slot == record_->epoch + 1 && vote_.acceptedBallot != 0 && base::contains(record_->voters, self_.voterId)) {
    const bool owner = controller(vote_.accepted.primary) != nullptr;
    if (!owner && now - leaseSince_ > times_.quiet) campaign(now, effects);
  }
}

void Replica::watchVoters(base::TimePoint now) {
  for (const auto& voter : record_->voters) {
    if (const auto* m = controller(voter)) {
      missingSince_.erase(voter);
      seenIn_[voter] = m->zone;
    } else {
      missingSince_.try_emplace(voter, now);
    }
  }
  const auto former = [&](const auto& entry) { return !base::contains(record_->voters, entry.first); };
  std::erase_if(missingSince_, former);
  std::erase_if(seenIn_, former);
}

void Replica::tick(base::TimePoint now, const ClusterView& around, Effects& effects) {
  if (now < around.leaseUntil && !leaseHeld(now)) leaseSince_ = now;
  cluster_ = around;
  // Leadership rests on the view: without a lease there may be another primary by now.
  if (!leaseHeld(now) && phase_ != Phase::Idle) stepDown(effects);
  if (record_ && !relay()) {
    watchVoters(now);
    considerCampaign(now, effects);
  }
  if (current_) {
    auto& w = *current_;
    if (!w.ownDone && now - w.startedAt > times_.writeStuck && !diskBad_) {
      // The own disk hangs: the backups have what counts, so one of them shall lead.
      diskBad_ = true;
      campaignAfter_ = now + kDiskRest;
      transferLeadership(effects.out);
      stepDown(effects);
    } else if (now - w.startedAt > times_.writeStuck) {
      for (const auto& backup : record_->backups)
        if (!w.copied.contains(backup)) silentAt_[backup] = now;
    }
    if (current_ && now - current_->sentAt >= times_.resend) sendCopies(now, effects);
    finishWrite(now, effects);  // held back if the lease had run out for a moment
  }
  if (diskBad_ && now >= campaignAfter_) diskBad_ = false;
  while (!orders_.empty() && now - orders_.front().arrivedAt > times_.orderLife) {
    effects.answers.push_back({orders_.front().order.call, 503, "not finished in time", {}});
    orders_.pop_front();
  }
  for (const auto& queued : pendingAnswers_.takeOlderThan(now - times_.orderLife))
    effects.answers.push_back({queued.order.call, 503, "the voters do not confirm", {}});
  nextOrder(now, effects);
  askForConfirmation(now, effects);
  if (active(now) && now - beatSentAt_ >= times_.beat) beat(now, effects);
  drainLocal(now, effects);
}

void Replica::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                      Effects& effects) {
  handle(message, from, now, effects);
  drainLocal(now, effects);
}

void Replica::handle(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                     Effects& effects) {
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { on(m, now, effects); }) {
          if constexpr (requires { m.from; })
            if (from.port != 0) lastAddress_[m.from] = from;
          on(m, now, effects);
        }
      },
      message);
}

void Replica::drainLocal(base::TimePoint now, Effects& effects) {
  while (!local_.empty()) {
    const auto message = std::move(local_.front());
    local_.pop_front();
    handle(message, {}, now, effects);
  }
}

void Replica::synced(std::uint64_t token, bool ok, base::TimePoint now, Effects& effects) {
  if (const auto found = replies_.find(token); found != replies_.end()) {
    auto reply = std::move(found->second);
    replies_.erase(found);
    if (ok) send(reply.to, std::move(reply.message), effects);
  }
  if (candidacy_ && candidacy_->sealToken == token && ok) {
    candidacy_->sealed = true;
    considerPreparing(now, effects);
  }
  if (current_ && current_->token == token) {
    if (ok) {
      current_->ownDone = true;
      finishWrite(now, effects);
    } else {
      diskBad_ = true;
      campaignAfter_ = now + kDiskRest;
      transferLeadership(effects.out);
      stepDown(effects);
    }
  }
  drainLocal(now, effects);
}

// The agreement on the next record: one decree for each slot, ballots, the highest accepted value is carried on.

void Replica::on(const schema::Prepare& m, base::TimePoint, Effects& effects) {
  if (!record_) return;
  if (m.slot <= record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    return;
  }
  if (m.slot != record_->epoch + 1 || !base::contains(record_->voters, self_.voterId)) return;
  if (vote_.slot != m.slot) vote_ = {m.slot, 0, 0, {}, vote_.sealed};
  if (m.ballot < vote_.promised) {
    // Tells the candidate what it has to pass.
    send(m.from, schema::Promise{self_.voterId, m.slot, vote_.promised, 0, {}}, effects);
    return;
  }
  vote_.promised = m.ballot;
  saveVote(Reply{m.from, schema::Promise{self_.voterId, m.slot, m.ballot, vote_.acceptedBallot, vote_.accepted}},
           effects);
}

void Replica::on(const schema::Promise& m, base::TimePoint now, Effects& effects) {
  if (!candidacy_ || candidacy_->step != Candidacy::Step::Preparing || m.slot != candidacy_->target.epoch) return;
  auto& c = *candidacy_;
  if (m.ballot > c.ballot) {
    vote_.promised = std::max(vote_.promised, m.ballot);  // the next try goes above it
    return;
  }
  if (m.ballot != c.ballot) return;
  c.promised.insert(m.from);
  if (m.acceptedBallot > c.bestBallot) {
    c.bestBallot = m.acceptedBallot;
    c.value = m.accepted;
  }
  if (!majority(c.promised, record_->voters)) return;
  c.step = Candidacy::Step::Accepting;
  push(now, effects);
}

void Replica::on(const schema::Accept& m, base::TimePoint, Effects& effects) {
  if (relay()) return;
  if (record_ && m.slot <= record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    return;
  }
  if (vote_.slot > m.slot) return;
  if (vote_.slot != m.slot) vote_ = {m.slot, 0, 0, {}, vote_.sealed};
  if (m.ballot < vote_.promised) return;
  vote_.promised = vote_.acceptedBallot = m.ballot;
  vote_.accepted = m.record;
  saveVote(Reply{m.from, schema::Accepted{self_.voterId, m.slot, m.ballot}}, effects);
}

void Replica::on(const schema::Accepted& m, base::TimePoint now, Effects& effects) {
  if (!candidacy_ || candidacy_->step != Candidacy::Step::Accepting || m.slot != candidacy_->target.epoch ||
      m.ballot != candidacy_->ballot)
    return;
  auto& c = *candidacy_;
  c.accepted.insert(m.from);
  // While voters change, of those that are to come as well: the next record asks them.
  if (!majority(c.accepted, record_->voters) || !majority(c.accepted, c.value.voters)) return;
  const auto decided = c.value;
  for (const auto& m2 : cluster_.controllers)
    if (m2.voterId != self_.voterId) effects.out.push_back({{m2.ip, m2.port}, schema::Decided{decided}});
  adopt(decided, now, effects);
}

void Replica::on(const schema::Decided& m, base::TimePoint now, Effects& effects) { adopt(m.record, now, effects); }

// Copies of the state.

void Replica::on(const schema::ReplicateState& m, base::TimePoint now, Effects& effects) {
  const auto refuse = [&] {
    send(m.from, schema::ReplicateAck{self_.voterId, m.token, record_ ? record_->epoch : 0, false}, effects);
  };
  if (record_ && m.record.epoch < record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    refuse();
    return;
  }
  adopt(m.record, now, effects);
  if (relay() || m.from == self_.voterId || !record_) return;
  if (record_->primary == self_.voterId && !base::contains(record_->backups, m.from)) return;
  if (!m.install) {
    if (m.record.epoch <= vote_.sealed || m.from != record_->primary || !isBackup()) {
      refuse();
      return;
    }
    if (state_ && m.state.version < state_->version) return;  // overtaken by a later copy
  }
  // A candidate installs what it has; another backup may hold a later write. An older one never takes its place: it may
  // come late, when the later one has been acknowledged. What is held is synced anew before it is said to be.
  if (!state_ || !(m.state.version < state_->version)) state_ = m.state;
  const auto token = write(Slot::State, net::encodeControlState(*state_), effects);
  replies_[token] = {m.from, schema::ReplicateAck{self_.voterId, m.token, m.record.epoch, true}};
}

void Replica::on(const schema::ReplicateAck& m, base::TimePoint now, Effects& effects) {
  if (!m.ok) return;
  if (candidacy_ && candidacy_->step == Candidacy::Step::Installing && m.token == candidacy_->installToken) {
    candidacy_->installed.insert(m.from);
    considerPreparing(now, effects);
    return;
  }
  if (current_ && current_->token == m.token && record_ && m.epoch == record_->epoch) {
    current_->copied.insert(m.from);
    silentAt_.erase(m.from);
    finishWrite(now, effects);
  }
}

void Replica::startWrite(schema::ControlState state, std::optional<QueuedOrder> order, base::TimePoint now,
                         Effects& effects) {
  state_ = std::move(state);
  Write w;
  w.state = *state_;
  w.order = std::move(order);
  w.startedAt = now;
  w.token = write(Slot::State, net::encodeControlState(*state_), effects);
  current_ = std::move(w);
  sendCopies(now, effects);
}

void Replica::sendCopies(base::TimePoint now, Effects& effects) {
  current_->sentAt = now;
  for (const auto& backup : record_->backups)
    if (!current_->copied.contains(backup))
      send(backup, schema::ReplicateState{self_.voterId, current_->token, false, *record_, current_->state}, effects);
}

void Replica::beat(base::TimePoint now, Effects& effects) {
  beatSentAt_ = now;
  for (const auto& m : cluster_.controllers)
    if (m.voterId != self_.voterId)
      effects.out.push_back({{m.ip, m.port}, schema::PrimaryHeartbeat{self_.voterId, *record_, published_->version}});
}

// In force only when it is on the primary's and on every backup's disk: then shown, then acknowledged. This needs no
// confirmation by the voters: only the primary or a backup of this epoch can lead the next, and each of them had the
// write before it stood for that, as after standing it takes and makes no more copies in this epoch. So whether or not
// a later record has been decided by now, its primary holds the write. (docs/control/orders.md)
void Replica::finishWrite(base::TimePoint now, Effects& effects) {
  if (!current_ || !current_->ownDone || !copiesWhole(current_->copied) || !leaseHeld(now)) return;
  published_ = current_->state;
  if (phase_ == Phase::Activating) {
    phase_ = Phase::Active;
    activeSince_ = now;
  }
  if (current_->order) effects.answers.push_back({current_->order->order.call, 200, "{}", {}});
  current_.reset();
  // At once: until they have heard of it, the others send operators away and vouch for nothing.
  beat(now, effects);
  nextOrder(now, effects);
}

Answer Replica::refusal(std::uint64_t call, base::TimePoint now) const {
  const auto primary = primaryAddress();
  if (primary && primaryFresh(now) && record_->primary != self_.voterId) return {call, 307, "", *primary};
  return {call, 503, "no primary at the moment", {}};
}

void Replica::order(Order order, base::TimePoint now, Effects& effects) {
  const bool mine = record_ && record_->primary == self_.voterId &&
                    (phase_ == Phase::Active || phase_ == Phase::Activating || phase_ == Phase::Campaigning);
  if (!mine || !leaseHeld(now) || orders_.size() + pendingAnswers_.size() >= kOrdersWaiting) {
    effects.answers.push_back(refusal(order.call, now));
    return;
  }
  orders_.push_back({std::move(order), now});
  nextOrder(now, effects);
  drainLocal(now, effects);
}

void Replica::forget(std::uint64_t call) {
  std::erase_if(orders_, [&](const auto& queued) { return queued.order.call == call; });
  pendingAnswers_.forget(call);
}

// Checks an order against the newest state. An answer when there is nothing to write, else the state to write.
std::optional<Answer> Replica::prepare(const Order& order, schema::ControlState& next) const {
  next = *state_;
  ++next.version.sequence;
  if (order.kind == OrderKind::Evacuate || order.kind == OrderKind::EndEvacuation) {
    const bool there = base::contains(next.evacuated, order.body);
    if (there == (order.kind == OrderKind::Evacuate)) return Answer{order.call, 200, "{}", {}};
    if (there)
      std::erase(next.evacuated, order.body);
    else
      next.evacuated.push_back(order.body);
    return std::nullopt;
  }
  if (order.kind == OrderKind::DeclareRollout) return prepareRollout(order, rollout::Change::Declare, next);
  if (order.kind == OrderKind::AdvanceRollout) return prepareRollout(order, rollout::Change::Advance, next);
  if (order.kind == OrderKind::WithdrawRollout) return prepareRollout(order, rollout::Change::Withdraw, next);
  return prepareConfiguration(order, next);
}

std::optional<Answer> Replica::prepareConfiguration(const Order& order, schema::ControlState& next) const {
  const bool update = order.kind == OrderKind::Update;
  const auto digest = orderDigest(update ? "update" : "replace", order.baseVersion, order.body);
  if (order.baseVersion != next.revision) {
    const auto recalled = order.baseVersion > next.revision
                              ? Recall::NotTaken
                              : recall(next.takenOrders, kTakenOrdersKept, order.baseVersion, digest);
    if (recalled == Recall::Taken) return Answer{order.call, 200, "{}", {}};
    if (recalled == Recall::Forgotten)
      return Answer{order.call, 503, "built on a version too old to tell whether this was taken", {}};
    return Answer{order.call, 412, "the current revision is " + std::to_string(next.revision), {}};
  }
  std::string document = order.body;
  if (update) {
    if (next.document.empty()) return Answer{order.call, 400, "update: there is no configuration yet", {}};
    auto merged = applyUpdate(next.document, order.body);
    if (const auto* bad = base::errorIn(merged)) return Answer{order.call, 400, bad->what, {}};
    document = std::get<std::string>(std::move(merged));
  }
  auto parsed = parseConfiguration(document);
  if (const auto* bad = base::errorIn(parsed)) return Answer{order.call, 400, bad->what, {}};
  const auto revision = std::get<Configuration>(parsed).revision;
  if (revision <= next.revision)
    return Answer{order.call, 400, "revision: not above the current one, " + std::to_string(next.revision), {}};
  next.revision = revision;
  next.document = std::move(document);
  remember(next.takenOrders, kTakenOrdersKept, order.baseVersion, digest);
  return std::nullopt;
}

// Rollouts stand beside the operator's document, which is read back as it was sent.
std::optional<Answer> Replica::prepareRollout(const Order& order, rollout::Change kind,
                                              schema::ControlState& next) const {
  const auto digest =
      orderDigest("rollout/" + std::to_string(static_cast<int>(kind)) + "/" + order.service, 0, order.body);
  if (next.document.empty()) return Answer{order.call, 409, "there is no configuration yet", {}};
  auto parsed = parseConfiguration(next.document);
  const auto known = [&](const std::string& service) {
    return base::errorIn(parsed) == nullptr && std::get<Configuration>(parsed).service(service) != nullptr;
  };
  auto changed = rollout::change(kind, order.service, order.body, {next.rollouts, order.runners, known, digest});
  if (const auto* refused = std::get_if<rollout::Refusal>(&changed))
    return Answer{order.call, refused->status, refused->what, {}};
  if (std::get<0>(changed) == next.rollouts) return Answer{order.call, 200, "{}", {}};
  next.rollouts = std::get<0>(std::move(changed));
  return std::nullopt;
}

void Replica::nextOrder(base::TimePoint now, Effects& effects) {
  while (active(now) && !current_ && !candidacy_ && !orders_.empty()) {
    // Before anything was acknowledged there is time for the machines that are still starting. And as long as the
    // group's view rests on the voters before, it does not bear the loss of as many as this record's voters.
    const bool untouched = state_->revision == 0 && state_->evacuated.empty();
    const bool wanting = (untouched && !complete()) || cluster_.voters != record_->voters;
    if (wanting && now - activeSince_ < times_.gather && !isReading(orders_.front().order.kind)) return;
    auto queued = std::move(orders_.front());
    orders_.pop_front();
    schema::ControlState next;
    auto answer = isReading(queued.order.kind) ? describe(queued.order) : prepare(queued.order, next);
    if (!answer)
      startWrite(std::move(next), std::move(queued), now, effects);
    else if (isClear(*answer))
      pendingAnswers_.add(std::move(queued), std::move(*answer));
    else
      effects.answers.push_back(std::move(*answer));
  }
  askForConfirmation(now, effects);
}

Answer Replica::describe(const Order& order) const {
  if (order.kind == OrderKind::DescribeRollouts) return {order.call, 200, rollout::describe(published_->rollouts), {}};
  if (published_->document.empty()) return {order.call, 404, "no configuration yet", {}};
  return {order.call, 200, published_->document, {}};
}

// The backups' word would do as well, since one of them would have had to stand, but any of them may be the one that is
// silent.
void Replica::askForConfirmation(base::TimePoint now, Effects& effects) {
  if (!active(now)) return;
  const auto round = pendingAnswers_.roundDue(now, times_.resend);
  if (!round) return;
  if (accepts(record_->epoch)) pendingAnswers_.confirm(self_.voterId, *round);
  for (const auto& voter : record_->voters)
    if (voter != self_.voterId) send(voter, schema::ConfirmEpoch{self_.voterId, *round, record_->epoch}, effects);
  considerAnswering(now, effects);
}

bool Replica::accepts(std::uint64_t epoch) const {
  return record_ && record_->epoch == epoch && !(vote_.slot > epoch && vote_.acceptedBallot != 0);
}

void Replica::on(const schema::ConfirmEpoch& m, base::TimePoint, Effects& effects) {
  if (accepts(m.epoch)) send(m.from, schema::EpochConfirmed{self_.voterId, m.token, m.epoch}, effects);
}

void Replica::on(const schema::EpochConfirmed& m, base::TimePoint now, Effects& effects) {
  if (!record_ || m.epoch != record_->epoch) return;
  pendingAnswers_.confirm(m.from, m.token);
  considerAnswering(now, effects);
}

void Replica::considerAnswering(base::TimePoint now, Effects& effects) {
  if (!active(now)) return;
  for (auto& answer : pendingAnswers_.takeConfirmed(record_->voters)) effects.answers.push_back(std::move(answer));
  askForConfirmation(now, effects);
}

void Replica::on(const schema::PrimaryHeartbeat& m, base::TimePoint now, Effects& effects) {
  if (record_ && m.record.epoch < record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    return;
  }
  adopt(m.record, now, effects);
  if (m.from != record_->primary) return;
  beatSeen_ = true;
  beatAt_ = now;
  announcedVersion_ = m.version;
}

void Replica::on(const schema::TransferLeadership& m, base::TimePoint now, Effects& effects) {
  if (!record_ || m.epoch != record_->epoch || m.from != record_->primary || !isBackup()) return;
  transferRequested_ = true;
  considerCampaign(now, effects);
}

}  // namespace indigohill::control
