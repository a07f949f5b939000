// The part of Replica that decides who leads: campaigns, the agreement on records, taking over and stepping down.
#include <algorithm>
#include <set>
#include <utility>

#include "control/replica.hpp"

namespace indigohill::control {

namespace {

constexpr base::Millis kDiskRest{3000};            // how long a controller whose disk failed does not campaign
constexpr base::Millis kZoneSpreadInterval{5000};  // how often, at most, replicas that share one zone are moved
constexpr int kBallotRandomBits = 20;

// Ballots of two candidates never meet: the low bits are random.
std::uint64_t ballotAbove(std::uint64_t ballot, std::uint64_t random) {
  return ((ballot >> kBallotRandomBits) + 1) << kBallotRandomBits | (random & ((1u << kBallotRandomBits) - 1));
}

}  // namespace

// Leadership: campaigns for the next record, and its end.

void Replica::considerCampaign(base::TimePoint now, Effects& effects) {
  if (now < campaignNotBefore_) return;
  if (!leaseHeld(now)) {
    considerFinishing(now, effects);
  } else if (campaign_) {
    continueCampaign(now, effects);
  } else if (isPrimary()) {
    if (state()) considerNextRecord(now, effects);
  } else if (isBackup() && state()) {
    if (primary_.shouldTakeOver(self_.voterId, *record_, cluster_, times_, now)) campaign(now, effects);
  } else {
    considerOrphanedRecord(now, effects);
  }
}

void Replica::continueCampaign(base::TimePoint now, Effects& effects) {
  if (campaign_->timedOut(now))
    campaign(now, effects);
  else if (campaign_->sinceSent(now) >= times_.resendInterval)
    sendCampaign(now, effects);
  considerPreparing(now, effects);
}

// Voters that have accepted a record stop renewing leases of the present epoch, so none may be left to finish it with.
// Finishing needs none: the ballots alone keep it to one value.
void Replica::considerFinishing(base::TimePoint now, Effects& effects) {
  if (accepted() == nullptr || !isVoter()) return;
  const bool voting = campaign_ && campaign_->step() != Campaign::Step::Installing;
  if (voting && !campaign_->timedOut(now)) {
    if (campaign_->sinceSent(now) >= times_.resendInterval) sendCampaign(now, effects);
  } else if (now - acceptor_.acceptedAt() > randomizedCampaignTimeout()) {
    finishAcceptedRecord(now, effects);
  }
}

// As primary: whether other backups or voters are wanted. Without all backups nothing can be acknowledged, and the
// machine may be the next to be lost: new ones at once. Missing voters are replaced.
void Replica::considerNextRecord(base::TimePoint now, Effects& effects) {
  if (phase_ == Phase::Idle) {
    campaign(now, effects);
    return;
  }
  const auto policy = placement(now);
  const auto next = policy.nextRecord();
  if (!next) return;
  const bool otherVoters = next->voters != record_->voters;
  const bool votersDue = otherVoters && active(now) && !members_.isSelfRetiring();
  if (next->backups == record_->backups && !votersDue) return;
  // That the replicas are spread over zones is worth an epoch too, now and then.
  const bool spreadOnly =
      policy.replicasShareOneZone() && !otherVoters && !anyBackupUnresponsive(now) && !anyBackupRetiring(now);
  if (spreadOnly) {
    if (now - zoneSpreadAt_ < kZoneSpreadInterval) return;
    zoneSpreadAt_ = now;
  }
  campaign(now, effects);
}

// A record that some voters accepted and nobody finished, as its primary is gone: any voter may finish that very value.
void Replica::considerOrphanedRecord(base::TimePoint now, Effects& effects) {
  const auto& vote = acceptor_.vote();
  if (vote.slot != record_->epoch + 1 || vote.acceptedBallot == 0 || !isVoter()) return;
  const bool primaryPresent = cluster_.controller(vote.accepted.primary) != nullptr;
  if (!primaryPresent && primary_.watchedFor(now) > times_.electionTimeout) campaign(now, effects);
}

// Campaigns as primary of the next epoch. From here on this replica neither makes nor takes replicas in the present
// one, whatever becomes of it: another may finish what was proposed here, and a backup chosen now holds nothing that
// is written later.
void Replica::campaign(base::TimePoint now, Effects& effects) {
  if (!isPrimary() && !isBackup()) {
    finishAcceptedRecord(now, effects);
    return;
  }
  auto target = placement(now).nextRecord();
  if (!target) return;
  if (phase_ == Phase::Active || phase_ == Phase::Activating) orders_.requeue(replication_.abandon());
  phase_ = Phase::Campaigning;
  startCampaign(std::move(*target), Campaign::Step::Installing, now, effects);
}

// Proposes the record that this voter has accepted, whoever it makes primary.
void Replica::finishAcceptedRecord(base::TimePoint now, Effects& effects) {
  if (phase_ == Phase::Active || phase_ == Phase::Activating) orders_.requeue(replication_.abandon());
  startCampaign(acceptor_.vote().accepted, Campaign::Step::Preparing, now, effects);
}

void Replica::startCampaign(schema::EpochRecord target, Campaign::Step firstStep, base::TimePoint now,
                            Effects& effects) {
  acceptor_.seal(target.epoch, record_->epoch);
  Campaign::Start start;
  start.target = std::move(target);
  start.step = firstStep;
  start.ballot = ballotAbove(std::max(acceptor_.vote().promised, campaign_ ? campaign_->ballot() : 0), random_());
  start.installToken = random_();
  start.sealToken = nextToken_;  // of the vote that is saved next
  start.at = now;
  start.timeout = randomizedCampaignTimeout();
  campaign_.emplace(std::move(start));
  saveVote(std::nullopt, effects);
  sendCampaign(now, effects);
  considerPreparing(now, effects);
}

base::Millis Replica::randomizedCampaignTimeout() {
  return times_.campaignTimeout + base::Millis(random_() % (times_.campaignTimeout.count() + 1));
}

void Replica::sendCampaign(base::TimePoint now, Effects& effects) {
  sendAll(campaign_->messages(self_.voterId, *record_, replication_.state(), cluster_, now), effects);
}

// The record is put to the voters once its backups hold the whole state on disk, and the seal is on disk here.
void Replica::considerPreparing(base::TimePoint now, Effects& effects) {
  if (!campaign_ || campaign_->step() != Campaign::Step::Installing || !campaign_->isSealed()) return;
  const auto missing = campaign_->backupsNotInstalled();
  if (!missing.empty()) {
    // Those that were chosen have had their time: the best of those that have answered take their place.
    const auto count = campaign_->backups().size();
    if (campaign_->age(now) < times_.resendInterval || campaign_->installed().size() < count) return;
    for (const auto& backup : missing) members_.markUnresponsive(backup, now);
    const auto chosen = placement(now).chooseInstalledBackups(count, campaign_->installed());
    if (chosen.size() < count) return;
    campaign_->replaceBackups(chosen);
  }
  campaign_->startPreparing();
  sendCampaign(now, effects);
}

// Takes over a record that was decided.
void Replica::adopt(const schema::EpochRecord& record, base::TimePoint now, Effects& effects) {
  if (record.epoch == 0 || (record_ && record.epoch <= record_->epoch)) return;
  record_ = record;
  write(Slot::Record, net::encodeRecord(record), effects);
  campaign_.reset();
  primary_.reset(now);
  if (!isPrimary()) {
    if (phase_ != Phase::Idle) stepDown(effects);
    return;
  }
  if (!state()) return;
  // This controller campaigned for the record (or somebody finished it on its behalf): what it holds is written once
  // more under the new epoch, at the backups too, before anything of it is shown. Only then is the older epoch fenced
  // wherever the state lies.
  orders_.requeue(replication_.abandon());
  phase_ = Phase::Activating;
  auto next = *replication_.state();
  next.control.version.epoch = record.epoch;
  startWrite(std::move(next), std::nullopt, now, effects);
}

void Replica::stepDown(Effects& effects) {
  phase_ = Phase::Idle;
  replication_.clearPublished();
  orders_.requeue(replication_.abandon());
  for (auto& answer : orders_.rejectAll("the primary changes")) effects.answers.push_back(std::move(answer));
}

// The own disk fails or hangs: the backups have what counts, so one of them shall lead.
void Replica::restDisk(base::TimePoint now, Effects& effects) {
  diskFailing_ = true;
  campaignNotBefore_ = now + kDiskRest;
  transferLeadership(effects.out);
  stepDown(effects);
}

void Replica::transferLeadership(net::Outbox& out) const {
  if (!record_ || !isPrimary()) return;
  // Only one gets the request, as two that campaign at once hold each other up: best one that stays, and that has the
  // write in progress.
  const auto preference = [&](const std::string& backup) {
    return std::pair(!members_.hasAnnouncedRetirement(backup), replication_.isAcknowledgedBy(backup));
  };
  const std::string* successor = nullptr;
  for (const auto& backup : record_->backups) {
    if (cluster_.controller(backup) == nullptr) continue;
    if (successor == nullptr || preference(backup) > preference(*successor)) successor = &backup;
  }
  if (successor == nullptr) return;
  if (const auto address = addressOf(*successor))
    out.push_back({*address, schema::TransferLeadership{self_.voterId, record_->epoch}});
}

// A record that was decided is sent again until its primary is heard from. Those whom it makes primary or backup may
// have missed it, and nobody else may campaign.
void Replica::resendRecord(base::TimePoint now, Effects& effects) {
  if (isPrimaryFresh(now) || now - recordSentAt_ < times_.heartbeatInterval) return;
  recordSentAt_ = now;
  std::set<std::string> concerned(record_->voters.begin(), record_->voters.end());
  concerned.insert(record_->backups.begin(), record_->backups.end());
  concerned.insert(record_->primary);
  if (!concerned.contains(self_.voterId)) return;
  for (const auto& voterId : concerned)
    if (voterId != self_.voterId) send(voterId, schema::Decided{*record_}, effects);
}

void Replica::retire(base::TimePoint now, Effects& effects) {
  if (isObserver()) return;
  members_.markSelfRetiring();
  announceRetirement(now, effects);
}

bool Replica::mayRetire(base::TimePoint now) const { return isObserver() || !record_ || placement(now).mayRetire(); }

// To all that may lead or take the place, so that each also knows who cannot.
void Replica::announceRetirement(base::TimePoint now, Effects& effects) {
  retirementSentAt_ = now;
  for (const auto* node : cluster_.storageNodesExcept(self_.voterId))
    effects.out.push_back({{node->ip, node->port}, schema::Retiring{self_.voterId}});
  transferLeadership(effects.out);
}

void Replica::on(const schema::Retiring& m, base::TimePoint now, Effects&) { members_.markRetiring(m.from, now); }

void Replica::on(const schema::TransferLeadership& m, base::TimePoint now, Effects& effects) {
  if (!record_ || m.epoch != record_->epoch || m.from != record_->primary || !isBackup()) return;
  primary_.onTransferRequest();
  considerCampaign(now, effects);
}

void Replica::on(const schema::PrimaryHeartbeat& m, base::TimePoint now, Effects& effects) {
  if (record_ && m.record.epoch < record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    return;
  }
  adopt(m.record, now, effects);
  if (m.from == record_->primary) primary_.onHeartbeat(m.version, now);
}

// The agreement on the next record: one decree for each slot, ballots, the highest accepted value is carried on.

void Replica::on(const schema::Prepare& m, base::TimePoint, Effects& effects) {
  if (!record_) return;
  if (m.slot <= record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    return;
  }
  if (m.slot != record_->epoch + 1 || !isVoter()) return;
  const bool promised = acceptor_.promise(m.slot, m.ballot);
  const auto& vote = acceptor_.vote();
  if (promised)
    saveVote(Reply{m.from, schema::Promise{self_.voterId, m.slot, m.ballot, vote.acceptedBallot, vote.accepted}},
             effects);
  else  // tells the candidate which ballot it has to pass
    send(m.from, schema::Promise{self_.voterId, m.slot, vote.promised, 0, {}}, effects);
}

void Replica::on(const schema::Promise& m, base::TimePoint now, Effects& effects) {
  if (!campaign_ || !campaign_->awaitsPromise(m.slot)) return;
  if (m.ballot > campaign_->ballot()) acceptor_.observeBallot(m.ballot);
  if (m.ballot != campaign_->ballot()) return;
  campaign_->addPromise(m);
  if (!campaign_->isPromised(record_->voters)) return;
  campaign_->startAccepting();
  sendCampaign(now, effects);
}

void Replica::on(const schema::Accept& m, base::TimePoint now, Effects& effects) {
  if (isObserver()) return;
  if (record_ && m.slot <= record_->epoch) {
    send(m.from, schema::Decided{*record_}, effects);
    return;
  }
  if (acceptor_.accept(m.slot, m.ballot, m.record, now))
    saveVote(Reply{m.from, schema::Accepted{self_.voterId, m.slot, m.ballot}}, effects);
}

void Replica::on(const schema::Accepted& m, base::TimePoint now, Effects& effects) {
  if (!campaign_ || !campaign_->awaitsAccepted(m.slot, m.ballot)) return;
  campaign_->addAccepted(m.from);
  if (!campaign_->isDecided(record_->voters)) return;
  const auto decided = campaign_->proposal();
  sendToControllers(schema::Decided{decided}, effects);
  adopt(decided, now, effects);
}

void Replica::on(const schema::Decided& m, base::TimePoint now, Effects& effects) { adopt(m.record, now, effects); }

}  // namespace indigohill::control
