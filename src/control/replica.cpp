#include "control/replica.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "control/order_processor.hpp"
#include "lease/judge.hpp"

namespace indigohill::control {

Replica::Replica(Self self, Loaded loaded, ReplicaTimes times, std::uint64_t seed)
    : self_(std::move(self)),
      times_(times),
      random_(seed),
      record_(std::move(loaded.record)),
      acceptor_(loaded.vote.value_or(schema::Vote{})),
      // Before the first record is replaced nothing can have been acknowledged, so no state means an empty one.
      replication_(!loaded.state && record_ && record_->epoch == 1 ? schema::ReplicatedState{} : stateOf(loaded)),
      orders_(random_() >> 1),
      members_(self_.voterId),
      leaseClock_(times_.lease) {}

std::optional<schema::ReplicatedState> Replica::stateOf(Loaded& loaded) {
  if (!loaded.state) return std::nullopt;
  return schema::ReplicatedState{*std::move(loaded.state), std::move(loaded.duties)};
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

// Below 2f+1 voters as many losses are tolerated as there are voters for: of n, (n-1)/2, with a replica more than that.
bool Replica::isFullyReplicated() const {
  return record_ && record_->voters.size() >= 2 * self_.faultTolerance + 1 &&
         record_->backups.size() >= self_.faultTolerance;
}

PlacementPolicy Replica::placement(base::TimePoint now) const {
  return PlacementPolicy({self_.voterId, *record_, cluster_, members_, self_.faultTolerance,
                          times_.voterReplacementDelay, times_.newcomerWindow, now});
}

bool Replica::anyBackupUnresponsive(base::TimePoint now) const {
  return std::any_of(record_->backups.begin(), record_->backups.end(),
                     [&](const auto& backup) { return members_.isUnresponsive(backup, now); });
}

bool Replica::anyBackupRetiring(base::TimePoint now) const {
  return std::any_of(record_->backups.begin(), record_->backups.end(),
                     [&](const auto& backup) { return members_.isRetiring(backup, now); });
}

bool Replica::isPrimaryFresh(base::TimePoint now) const {
  return active(now) || primary_.isFresh(now, times_.heartbeatInterval);
}

std::optional<settings::Endpoint> Replica::primaryAddress() const {
  if (!record_) return std::nullopt;
  if (isPrimary()) return self_.address;
  return addressOf(record_->primary);
}

bool Replica::confirms(std::uint64_t epoch) const {
  return record_ && record_->epoch == epoch && acceptor_.acceptedAfter(epoch) == nullptr;
}

void Replica::tick(base::TimePoint now, const ClusterView& cluster, Effects& effects) {
  if (cluster.leaseHeld(now) && !leaseHeld(now)) primary_.onLeaseGained(now);
  cluster_ = cluster;
  // Leadership rests on the view: without a lease there may be another primary by now.
  if (!leaseHeld(now) && phase_ != Phase::Idle) stepDown(effects);
  members_.expire(now);
  if (members_.isSelfRetiring() && now - retirementSentAt_ >= times_.resendInterval) announceRetirement(now, effects);
  if (record_ && !isObserver()) {
    members_.observe(cluster_, *record_, now);
    resendRecord(now, effects);
    considerCampaign(now, effects);
  }
  if (replication_.inProgress()) checkWrite(now, effects);
  if (diskFailing_ && now >= campaignNotBefore_) diskFailing_ = false;
  for (auto& answer : orders_.takeExpired(now, times_.orderTimeout)) effects.answers.push_back(std::move(answer));
  processOrders(now, effects);
  requestConfirmation(now, effects);
  if (active(now) && now - heartbeatSentAt_ >= times_.heartbeatInterval) sendHeartbeats(now, effects);
  drainLoopback(now, effects);
}

// Messages and disk.

std::optional<settings::Endpoint> Replica::addressOf(const std::string& voterId) const {
  if (const auto* member = cluster_.controller(voterId)) return settings::Endpoint{member->ip, member->port};
  return members_.lastAddress(voterId);
}

void Replica::send(const std::string& to, schema::Message message, Effects& effects) {
  if (to == self_.voterId)
    loopback_.push_back(std::move(message));
  else if (const auto address = addressOf(to))
    effects.out.push_back({*address, std::move(message)});
}

void Replica::sendAll(std::vector<PeerMessage> messages, Effects& effects) {
  for (auto& message : messages) send(message.to, std::move(message.message), effects);
}

// To all other controllers of the view, observers too.
void Replica::sendToControllers(const schema::Message& message, Effects& effects) const {
  for (const auto& member : cluster_.controllers)
    if (member.voterId != self_.voterId) effects.out.push_back({{member.ip, member.port}, message});
}

void Replica::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                      Effects& effects) {
  handle(message, from, now, effects);
  drainLoopback(now, effects);
}

void Replica::handle(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                     Effects& effects) {
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { on(m, now, effects); }) {
          if constexpr (requires { m.from; })
            if (from.port != 0) members_.setAddress(m.from, from);
          on(m, now, effects);
        }
      },
      message);
}

void Replica::drainLoopback(base::TimePoint now, Effects& effects) {
  while (!loopback_.empty()) {
    const auto message = std::move(loopback_.front());
    loopback_.pop_front();
    handle(message, {}, now, effects);
  }
}

std::uint64_t Replica::write(Slot slot, std::string bytes, Effects& effects) {
  const auto token = nextToken_++;
  if (!isObserver()) effects.writes.push_back({token, slot, std::move(bytes)});
  return token;
}

// A voter answers only once its vote is on disk.
void Replica::saveVote(std::optional<Reply> reply, Effects& effects) {
  const auto token = write(Slot::Vote, net::encodeVote(acceptor_.vote()), effects);
  if (reply) replies_[token] = std::move(*reply);
}

void Replica::onDiskWrite(std::uint64_t token, WriteOutcome outcome, base::TimePoint now, Effects& effects) {
  const bool synced = outcome == WriteOutcome::Synced;
  if (const auto found = replies_.find(token); found != replies_.end()) {
    auto reply = std::move(found->second);
    replies_.erase(found);
    if (synced) send(reply.to, std::move(reply.message), effects);
  }
  if (synced && campaign_ && campaign_->isSealWrite(token)) {
    campaign_->markSealed();
    considerPreparing(now, effects);
  }
  if (replication_.isInProgress(token)) {
    if (synced) {
      replication_.onOwnDisk();
      considerPublishing(now, effects);
    } else {
      restDisk(now, effects);
    }
  }
  drainLoopback(now, effects);
}

// Replication of the state.

// From a program without duties, or while there is no duty state: that which is held here stays.
void Replica::on(const schema::ReplicateState& m, base::TimePoint now, Effects& effects) {
  const auto held = duties() == nullptr ? schema::DutyState{} : *duties();
  takeReplica({m.from, m.token, m.install, m.record, {m.state, held}}, now, effects);
}

void Replica::on(const schema::ReplicateStateWithDuties& m, base::TimePoint now, Effects& effects) {
  takeReplica(m, now, effects);
}

void Replica::takeReplica(const schema::ReplicateStateWithDuties& m, base::TimePoint now, Effects& effects) {
  const auto refuse = [&] {
    send(m.from, schema::ReplicateAck{self_.voterId, m.token, record_ ? record_->epoch : 0, false}, effects);
  };
  if (record_ && m.record.epoch < record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    refuse();
    return;
  }
  adopt(m.record, now, effects);
  if (isObserver() || m.from == self_.voterId || !record_) return;
  if (isPrimary() && !base::contains(record_->backups, m.from)) return;
  // A candidate installs what it has; another backup may hold a later write.
  if (!m.install) {
    if (acceptor_.isSealed(m.record.epoch) || m.from != record_->primary || !isBackup()) {
      refuse();
      return;
    }
    if (replication_.isOlderThanHeld(m.state)) return;
  }
  replication_.take(m.state);
  // What is held is synced anew before it is acknowledged.
  const auto token = write(Slot::State, net::encodeReplicatedState(*replication_.state()), effects);
  replies_[token] = {m.from, schema::ReplicateAck{self_.voterId, m.token, m.record.epoch, true}};
}

void Replica::on(const schema::ReplicateAck& m, base::TimePoint now, Effects& effects) {
  if (!m.ok) return;
  if (campaign_ && campaign_->awaitsInstallation(m.token)) {
    campaign_->addInstalled(m.from);
    considerPreparing(now, effects);
    return;
  }
  if (replication_.isInProgress(m.token) && record_ && m.epoch == record_->epoch) {
    replication_.addAcknowledgement(m.from);
    members_.markResponsive(m.from);
    considerPublishing(now, effects);
  }
}

void Replica::startWrite(schema::ReplicatedState state, std::optional<QueuedOrder> order, base::TimePoint now,
                         Effects& effects) {
  const auto token = write(Slot::State, net::encodeReplicatedState(state), effects);
  replication_.begin(std::move(state), token, std::move(order), now);
  sendAll(replication_.messages(self_.voterId, *record_, now), effects);
}

void Replica::checkWrite(base::TimePoint now, Effects& effects) {
  if (replication_.age(now) > times_.writeTimeout) {
    if (!replication_.isOnOwnDisk() && !diskFailing_) {
      restDisk(now, effects);
      return;
    }
    for (const auto& backup : replication_.unacknowledged(record_->backups)) members_.markUnresponsive(backup, now);
  }
  if (replication_.sinceSent(now) >= times_.resendInterval)
    sendAll(replication_.messages(self_.voterId, *record_, now), effects);
  considerPublishing(now, effects);  // held back if the lease had run out for a moment
}

void Replica::sendHeartbeats(base::TimePoint now, Effects& effects) {
  heartbeatSentAt_ = now;
  sendToControllers(schema::PrimaryHeartbeat{self_.voterId, *record_, published()->version}, effects);
}

// In force only when it is on the primary's and on every backup's disk: then shown, then acknowledged. This needs no
// confirmation by the voters: only the primary or a backup of this epoch can lead the next, and each of them had the
// write before it campaigned for that, as after that it makes and takes no more replicas in this epoch. So whether or
// not a later record has been decided by now, its primary holds the write. (docs/control/orders.md)
void Replica::considerPublishing(base::TimePoint now, Effects& effects) {
  if (!replication_.inProgress() || !replication_.isComplete(record_->backups) || !leaseHeld(now)) return;
  const auto order = replication_.publish();
  if (phase_ == Phase::Activating) {
    phase_ = Phase::Active;
    activeSince_ = now;
    leaseClock_.activate(record_->epoch, replication_.published()->duties, now);
  }
  if (order) effects.answers.push_back({order->order.call, 200, "{}", {}, order->leaseReply});
  // At once: until they have heard of it, the others send operators away and confirm nothing.
  sendHeartbeats(now, effects);
  processOrders(now, effects);
}

// Orders.

Answer Replica::redirectOrReject(std::uint64_t call, base::TimePoint now) const {
  const auto primary = primaryAddress();
  if (primary && isPrimaryFresh(now) && !isPrimary()) return {call, 307, "", *primary};
  return {call, 503, "no primary at the moment", {}};
}

void Replica::submit(Order order, base::TimePoint now, Effects& effects) {
  const bool leads = record_ && isPrimary() && phase_ != Phase::Idle;
  if (!leads || !leaseHeld(now) || orders_.isFull()) {
    effects.answers.push_back(redirectOrReject(order.call, now));
    return;
  }
  // Heartbeats change nothing that is written, so they wait for no write either.
  if (order.kind == OrderKind::Lease && lease::isRenewalOnly(order.lease) && active(now)) {
    processLeaseRequest({std::move(order), now, {}}, now, effects);
    requestConfirmation(now, effects);
  } else {
    orders_.push(std::move(order), now);
    processOrders(now, effects);
  }
  drainLoopback(now, effects);
}

// Before anything was acknowledged there is time for the machines that are still starting. And as long as the group's
// view rests on the voters before, it does not tolerate the loss of as many as this record's voters.
bool Replica::awaitsPlacement(base::TimePoint now) const {
  const bool untouched = state()->revision == 0 && state()->evacuated.empty();
  const bool incomplete = (untouched && !isFullyReplicated()) || cluster_.voters != record_->voters;
  return incomplete && now - activeSince_ < times_.placementWait;
}

void Replica::processOrders(base::TimePoint now, Effects& effects) {
  while (active(now) && !replication_.inProgress() && !campaign_ && orders_.hasWaiting()) {
    const bool reads = isReading(orders_.front().kind);
    if (!reads && awaitsPlacement(now)) return;
    auto queued = orders_.takeFront();
    if (queued.order.kind == OrderKind::Lease)
      processLeaseRequest(std::move(queued), now, effects);
    else
      processOrder(std::move(queued), reads, now, effects);
  }
  requestConfirmation(now, effects);
}

void Replica::processOrder(QueuedOrder queued, bool reads, base::TimePoint now, Effects& effects) {
  auto outcome = reads ? answerRead(queued.order, *published()) : control::processOrder(queued.order, *state());
  if (auto* next = std::get_if<schema::ControlState>(&outcome)) {
    startWrite({std::move(*next), *duties()}, std::move(queued), now, effects);
    return;
  }
  auto& answer = std::get<Answer>(outcome);
  if (isClear(answer))
    orders_.unconfirmed().add(std::move(queued), std::move(answer));
  else
    effects.answers.push_back(std::move(answer));
}

// A claim that is granted is on f+1 disks before it is answered. What writes nothing, heartbeats above all, is answered
// once a majority of the voters has confirmed the epoch after it came: so no successor had begun to serve by then, and
// one that begins later counts the lease as granted anew.
void Replica::processLeaseRequest(QueuedOrder queued, base::TimePoint now, Effects& effects) {
  auto judgement = lease::judge(queued.order.lease, *duties(), leaseClock_, now);
  queued.leaseReply = std::move(judgement.reply);
  if (judgement.next) {
    startWrite({*state(), *std::move(judgement.next)}, std::move(queued), now, effects);
    return;
  }
  Answer answer{queued.order.call, 200, "{}", {}, queued.leaseReply};
  orders_.unconfirmed().add(std::move(queued), std::move(answer));
}

std::optional<schema::LeaseTable> Replica::leaseTable(base::TimePoint now) const {
  if (!active(now) || replication_.published()->duties.sequence == 0) return std::nullopt;
  return lease::tableOf(replication_.published()->duties, leaseClock_, record_->epoch, 0, now);
}

// The backups' confirmation would do as well, since one of them would have had to campaign, but any of them may be the
// one that does not answer.
void Replica::requestConfirmation(base::TimePoint now, Effects& effects) {
  if (!active(now)) return;
  const auto round = orders_.unconfirmed().roundDue(now, times_.resendInterval);
  if (!round) return;
  if (confirms(record_->epoch)) orders_.unconfirmed().confirm(self_.voterId, *round);
  for (const auto& voter : record_->voters)
    if (voter != self_.voterId) send(voter, schema::ConfirmEpoch{self_.voterId, *round, record_->epoch}, effects);
  answerConfirmed(now, effects);
}

void Replica::answerConfirmed(base::TimePoint now, Effects& effects) {
  if (!active(now)) return;
  for (auto& answer : orders_.unconfirmed().takeConfirmed(record_->voters))
    effects.answers.push_back(std::move(answer));
  requestConfirmation(now, effects);
}

void Replica::on(const schema::ConfirmEpoch& m, base::TimePoint, Effects& effects) {
  if (confirms(m.epoch)) send(m.from, schema::EpochConfirmed{self_.voterId, m.token, m.epoch}, effects);
}

void Replica::on(const schema::EpochConfirmed& m, base::TimePoint now, Effects& effects) {
  if (!record_ || m.epoch != record_->epoch) return;
  orders_.unconfirmed().confirm(m.from, m.token);
  answerConfirmed(now, effects);
}

}  // namespace indigohill::control
