#include "control/controller.hpp"

#include <algorithm>

#include "base/lists.hpp"
#include "runners/list.hpp"

namespace indigohill::control {

using base::LogEvent;

namespace {

constexpr std::uint64_t kWatermarkStep = 1u << 19;  // half of what each founding sets aside
constexpr base::Millis kLeaveNotice{300};           // for the others to hear that this daemon leaves

}  // namespace

Controller::Controller(Self self, Identity identity, std::vector<settings::Endpoint> seeds, Options options,
                       std::uint64_t seed)
    : self_(std::move(self)),
      options_(options),
      group_(
          {self_.nodeName + "/controller", identity.voterId, self_.zone, membership::Role::Controller, self_.address},
          seeds, options.group, seed),
      replica_({identity.voterId, self_.address, options.faultTolerance}, identity.loaded, options.replica, seed + 1),
      leadership_(options.replica.heartbeatInterval),
      publisher_(options.feed),
      stateSubscriber_(options.feed, seed, feed::Subscriber::Rotate::WhenSilent),
      runnerSubscriber_(options.feed, ~seed, feed::Subscriber::Rotate::WhenSilent),
      windowClock_(options.duties.usageWindow, options.duties.startedAt, options.duties.wallMs),
      duties_({self_.nodeName, self_.address}, options.duties.options, windowClock_, seed + 2),
      controllerTables_(options.replica.heartbeatInterval),
      routerTables_(options.replica.lease.tableInterval),
      storedWatermark_(identity.watermark) {
  setSeeds(std::move(seeds));
  group_.setWatermark(identity.watermark);
  if (identity.loaded.record) {
    group_.setVoters(identity.loaded.record->epoch, identity.loaded.record->voters);
    group_.setAccepted(*identity.loaded.record, {});
  }
  if (const auto* accepted = replica_.accepted()) group_.setAccepted(*accepted, {});
}

// Where the group may be found: besides the seeds, which may all have been lost together, at the voters that the disk
// tells of. A voter id begins with an address, and the ports between daemons are alike everywhere.
std::vector<settings::Endpoint> Controller::withVoters(std::vector<settings::Endpoint> seeds) const {
  if (!replica_.record()) return seeds;
  for (const auto& voter : replica_.record()->voters) {
    const auto address = settings::parseEndpoint(voter.substr(0, voter.find('/')));
    if (base::errorIn(address) != nullptr) continue;
    const settings::Endpoint at{std::get<settings::Endpoint>(address).ip, self_.address.port};
    if (!base::contains(seeds, at)) seeds.push_back(at);
  }
  return seeds;
}

void Controller::setSeeds(std::vector<settings::Endpoint> seeds) {
  seeds_ = std::move(seeds);
  group_.setSeeds(contacts());
}

ClusterView Controller::clusterView() const {
  ClusterView out;
  out.leaseUntil = group_.leaseUntil();
  if (!group_.view()) return out;
  out.voters = group_.view()->voters;
  for (const auto& member : group_.view()->members)
    if (membership::isController(member)) out.controllers.push_back(member);
  return out;
}

void Controller::tick(base::TimePoint now, Effects& effects) {
  group_.tick(now, effects.out);
  replica_.tick(now, clusterView(), effects);
  publisher_.tick(now, effects.out);
  tickDuties(now, effects);
  considerLeavingGroup(now, effects);
  publishChanges(now, effects);
}

void Controller::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                         Effects& effects) {
  if (const auto* poll = std::get_if<schema::Poll>(&message)) {
    publisher_.receive(*poll, from, now, effects.out);
    sendLeaseTableTo(*poll, from, now, effects.out);
    return;
  }
  if (const auto* update = std::get_if<schema::Update>(&message)) {
    receiveUpdate(*update, now);
  } else if (!receiveDutyMessage(message, from, now, effects)) {
    if (const auto* confirmed = std::get_if<schema::EpochConfirmed>(&message); confirmed && replica_.record()) {
      leadership_.confirm(confirmed->from, confirmed->token, confirmed->epoch, replica_.record()->voters);
      publisher_.confirmAt(leadership_.confirmedAt());
    }
    group_.receive(message, from, now, effects.out);
    replica_.receive(message, from, now, effects);
  }
  publishChanges(now, effects);
}

void Controller::receiveUpdate(const schema::Update& update, base::TimePoint now) {
  const auto stateAnsweredAt = stateSubscriber_.receive(update, now);
  const auto runnersAnsweredAt = runnerSubscriber_.receive(update, now);
  const auto content = feed::contentOf(update);
  if (!replica_.active(now)) {
    for (const auto& state : content.states)
      if (publisher_.setState(state)) group_.setStateVersion(state.version);
    if (stateAnsweredAt) publisher_.compare(update);
    // The answerer's age is carried on, so daemons that poll each other confirm nothing among themselves.
    if (stateAnsweredAt && update.stateAgeMs < feed::kUnknownAgeMs && publisher_.stateVersion() >= update.stateVersion)
      publisher_.confirmAt(*stateAnsweredAt - base::Millis(update.stateAgeMs));
  }
  const auto listedAt = runnersAnsweredAt ? *runnersAnsweredAt - base::Millis(update.runnersAgeMs) : base::TimePoint{};
  publisher_.applyRunners(update, content, listedAt);
}

// What is published here was the newest at the moment until which nobody else led. A round begins only once all that
// was acknowledged here is published.
void Controller::checkLeadership(base::TimePoint now, net::Outbox& out) {
  if (!replica_.active(now) || !group_.view()) return;
  if (!replica_.published() || publisher_.stateVersion() < replica_.published()->version) return;
  const auto& record = *replica_.record();
  const auto round = leadership_.nextRound(record.epoch, now);
  if (!round) return;
  if (replica_.confirms(record.epoch)) leadership_.confirm(replica_.voterId(), *round, record.epoch, record.voters);
  for (const auto& member : group_.view()->members)
    if (member.voterId != replica_.voterId() && base::contains(record.voters, member.voterId))
      out.push_back({membership::addressOf(member), schema::ConfirmEpoch{replica_.voterId(), *round, record.epoch}});
  publisher_.confirmAt(leadership_.confirmedAt());
}

void Controller::onDiskWrite(std::uint64_t token, WriteOutcome outcome, base::TimePoint now, Effects& effects) {
  if (outcome == WriteOutcome::Failed) effects.log.emplace_back("disk_write_failed");
  replica_.onDiskWrite(token, outcome, now, effects);
  publishChanges(now, effects);
}

void Controller::submit(Order order, base::TimePoint now, Effects& effects) {
  // Whether a rollout would leave a service without runners is judged by the list that this controller has.
  if (order.kind == OrderKind::DeclareRollout || order.kind == OrderKind::AdvanceRollout)
    order.runners = publisher_.runners();
  replica_.submit(std::move(order), now, effects);
  publishChanges(now, effects);
}

// The state comes from the primary, the list of runners from the discovery leader.
void Controller::poll(base::TimePoint now, net::Outbox& out) {
  if (const auto primary = replica_.primaryAddress(); primary && !replica_.active(now))
    stateSubscriber_.tick(now, {*primary}, publisher_.stateVersion(), feed::kNothingWanted, out);
  if (!group_.view() || group_.isDiscoveryLeader()) return;
  if (const auto* leader = membership::findMember(*group_.view(), group_.view()->discoveryLeader))
    runnerSubscriber_.tick(now, {membership::addressOf(*leader)}, feed::kNothingWanted,
                           publisher_.runnerList().versionToRequest(), out);
}

// After anything that may have moved the group or the control state: what is in force goes to the subscribers.
void Controller::publishChanges(base::TimePoint now, Effects& effects) {
  publishState(effects);
  passRecordToGroup(now, effects);
  handleMembershipEvents(effects);
  if (const auto holder = group_.flushFrom())
    effects.out.push_back({*holder, schema::Poll{0, publisher_.stateVersion(), feed::kNothingWanted}});
  checkLeadership(now, effects.out);
  publisher_.publish(now, effects.out);
  poll(now, effects.out);
  leaseDesk_.sendReplies(effects);
}

void Controller::publishState(Effects& effects) {
  if (!replica_.published() || !publisher_.setState(*replica_.published())) return;
  const auto& state = *replica_.published();
  effects.log.push_back(LogEvent("configuration_in_force")
                            .with("revision", state.revision)
                            .with("epoch", state.version.epoch)
                            .with("sequence", state.version.sequence));
  group_.setStateVersion(state.version);
}

void Controller::passRecordToGroup(base::TimePoint now, Effects& effects) {
  if (const auto& record = replica_.record()) {
    if (record->epoch != loggedEpoch_) {
      loggedEpoch_ = record->epoch;
      effects.log.push_back(LogEvent("epoch_decided")
                                .with("epoch", record->epoch)
                                .with("primary", record->primary)
                                .with("backups", record->backups)
                                .with("voters", record->voters));
    }
    group_.setVoters(record->epoch, record->voters);
  }
  if (const auto* accepted = replica_.accepted()) group_.setAccepted(*accepted, now);
}

void Controller::handleMembershipEvents(Effects& effects) {
  for (const auto& event : group_.takeEvents()) {
    if (!event.view) {
      effects.log.emplace_back("expelled_from_view");
      continue;
    }
    effects.log.push_back(LogEvent("view_installed")
                              .with("view", event.view->number)
                              .with("members", event.view->members.size())
                              .with("incarnation", group_.incarnation())
                              .with("discoveryLeader", event.view->discoveryLeader));
    keepWatermark(effects);
  }
}

void Controller::keepWatermark(Effects& effects) {
  if (replica_.voterId().empty()) return;
  if (storedWatermark_ != 0 && group_.watermark() <= storedWatermark_ + kWatermarkStep) return;
  storedWatermark_ = group_.watermark();
  effects.writes.push_back({0, Slot::Watermark, std::to_string(storedWatermark_)});
}

bool Controller::isListReadDue(base::TimePoint now) {
  if (!group_.isDiscoveryLeader() || !group_.leaseHeld(now) || leftGroup_) return false;
  if (now - listReadAt_ < options_.listReadInterval) return false;
  listReadAt_ = now;
  return true;
}

void Controller::onListRead(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                            Effects& effects) {
  if (!group_.view() || !group_.isDiscoveryLeader()) return;
  const auto& list = publisher_.runnerList();
  auto version = list.version();
  std::sort(runners.begin(), runners.end(), [](const auto& a, const auto& b) { return a.instanceId < b.instanceId; });
  const auto between = std::chrono::duration_cast<base::Millis>(askedAt - list.listedAt());
  // Versions rise with the view that made this daemon the reader, so a later reader's always count as newer.
  if (!list.isKnown() || !runners::sameRunners(list.runners(), runners, between))
    version = {group_.view()->number, version.epoch == group_.view()->number ? version.sequence + 1 : 1};
  if (publisher_.setRunners(version, std::move(runners), askedAt))
    effects.log.push_back(LogEvent("runners_listed")
                              .with("runners", list.runners().size())
                              .with("view", version.epoch)
                              .with("sequence", version.sequence));
  publishChanges(now, effects);
}

void Controller::shutDown(base::TimePoint now, Effects& effects) {
  if (shuttingDown_) return;
  shuttingDown_ = true;
  shuttingDownSince_ = now;
  duties_.stop();
  replica_.retire(now, effects);
  effects.log.emplace_back("shutdown_started");
  considerLeavingGroup(now, effects);
}

void Controller::considerLeavingGroup(base::TimePoint now, Effects& effects) {
  if (!shuttingDown_ || leftGroup_) return;
  const bool replaced = replica_.mayRetire(now) && duties_.hasStopped();
  if (!replaced && now - shuttingDownSince_ < options_.gracePeriod / 2) return;
  leftGroup_ = true;
  leftGroupAt_ = now;
  group_.leave(effects.out);
  effects.log.push_back(LogEvent("left_group").with("replaced", replaced));
}

bool Controller::isShutDown(base::TimePoint now) const { return leftGroup_ && now - leftGroupAt_ >= kLeaveNotice; }

}  // namespace indigohill::control
