#include "control/controller.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/lists.hpp"
#include "runners/list.hpp"

namespace indigohill::control {

namespace {
constexpr std::uint64_t kWatermarkStep = 1u << 19;  // half of what each founding sets aside
}  // namespace

Controller::Controller(Self self, Identity identity, std::vector<settings::Endpoint> seeds, Tuning tuning,
                       std::uint64_t seed)
    : self_(std::move(self)),
      tuning_(tuning),
      group_({self_.nodeName + "/controller", identity.voterId, self_.zone, membership::Role::Controller, self_.cohort},
             seeds, tuning.group, seed),
      replica_({identity.voterId, self_.cohort, tuning.faultTolerance}, identity.loaded, tuning.replica, seed + 1),
      leadership_(tuning.replica.heartbeatInterval),
      publisher_(tuning.feed),
      stateSubscriber_(tuning.feed, seed, feed::Subscriber::Rotate::WhenSilent),
      runnerSubscriber_(tuning.feed, ~seed, feed::Subscriber::Rotate::WhenSilent) {
  group_.setSeeds(known(seeds));
  group_.setWatermark(identity.watermark);
  watermarkKept_ = identity.watermark;
  if (identity.loaded.record) {
    group_.setVoters(identity.loaded.record->epoch, identity.loaded.record->voters);
    group_.setAccepted(*identity.loaded.record, {});
  }
  if (const auto* accepted = replica_.accepted()) group_.setAccepted(*accepted, {});
}

// Where the group may be found: besides the seeds, which may all have been lost together, at the voters that the disk
// tells of. A voter's name begins with its address, and the cohort's ports are alike everywhere.
std::vector<settings::Endpoint> Controller::known(std::vector<settings::Endpoint> seeds) const {
  if (!replica_.record()) return seeds;
  for (const auto& voter : replica_.record()->voters) {
    const auto address = settings::parseEndpoint(voter.substr(0, voter.find('/')));
    if (base::errorIn(address)) continue;
    const settings::Endpoint at{std::get<settings::Endpoint>(address).ip, self_.cohort.port};
    if (!base::contains(seeds, at)) seeds.push_back(at);
  }
  return seeds;
}

void Controller::setSeeds(std::vector<settings::Endpoint> seeds) { group_.setSeeds(known(std::move(seeds))); }

ClusterView Controller::around() const {
  ClusterView out;
  out.leaseUntil = group_.leaseUntil();
  if (!group_.view()) return out;
  out.voters = group_.view()->voters;
  for (const auto& m : group_.view()->members)
    if (m.role == static_cast<std::uint8_t>(membership::Role::Controller)) out.controllers.push_back(m);
  return out;
}

void Controller::tick(base::TimePoint now, Effects& effects) {
  group_.tick(now, effects.out);
  replica_.tick(now, around(), effects);
  publisher_.tick(now, effects.out);
  considerLeaving(now, effects);
  settle(now, effects);
}

void Controller::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                         Effects& effects) {
  if (const auto* ask = std::get_if<schema::Poll>(&message)) {
    publisher_.receive(*ask, from, now, effects.out);
    return;
  }
  if (const auto* update = std::get_if<schema::Update>(&message)) {
    receiveUpdate(*update, now);
  } else {
    if (const auto* confirmed = std::get_if<schema::EpochConfirmed>(&message); confirmed && replica_.record()) {
      leadership_.confirm(confirmed->from, confirmed->token, confirmed->epoch, replica_.record()->voters);
      publisher_.confirmAt(leadership_.confirmedAt());
    }
    group_.receive(message, from, now, effects.out);
    replica_.receive(message, from, now, effects);
  }
  settle(now, effects);
}

void Controller::receiveUpdate(const schema::Update& update, base::TimePoint now) {
  const auto stateAnsweredAt = stateSubscriber_.receive(update, now);
  const auto runnersAnsweredAt = runnerSubscriber_.receive(update, now);
  const auto content = feed::contentOf(update);
  if (!replica_.active(now)) {
    for (const auto& state : content.states)
      if (publisher_.setState(state)) group_.setStateVersion(state.version);
    if (stateAnsweredAt) publisher_.compare(update);
    // The answerer's age is carried on, so daemons that ask each other confirm nothing among themselves.
    if (stateAnsweredAt && update.stateAgeMs < feed::kUnknownAgeMs && stateVersion() >= update.stateVersion)
      publisher_.confirmAt(*stateAnsweredAt - base::Millis(update.stateAgeMs));
  }
  const auto listedAt = runnersAnsweredAt ? *runnersAnsweredAt - base::Millis(update.runnersAgeMs) : base::TimePoint{};
  publisher_.takeRunners(update, content, listedAt);
}

// What is published here was the newest at the moment until which nobody else led. A round begins only once all that
// was acknowledged here is published.
void Controller::checkLeadership(base::TimePoint now, net::Outbox& out) {
  if (!replica_.active(now) || !group_.view()) return;
  if (!replica_.published() || stateVersion() < replica_.published()->version) return;
  const auto& record = *replica_.record();
  const auto round = leadership_.nextRound(record.epoch, now);
  if (!round) return;
  if (replica_.confirms(record.epoch)) leadership_.confirm(replica_.voterId(), *round, record.epoch, record.voters);
  for (const auto& member : group_.view()->members)
    if (member.voterId != replica_.voterId() && base::contains(record.voters, member.voterId))
      out.push_back({{member.ip, member.port}, schema::ConfirmEpoch{replica_.voterId(), *round, record.epoch}});
  publisher_.confirmAt(leadership_.confirmedAt());
}

void Controller::onDiskWrite(std::uint64_t token, bool ok, base::TimePoint now, Effects& effects) {
  if (!ok) effects.notes.push_back("the disk refuses to write");
  replica_.onDiskWrite(token, ok, now, effects);
  settle(now, effects);
}

void Controller::submit(Order order, base::TimePoint now, Effects& effects) {
  // Whether a rollout would leave a service without runners is judged by the list that this controller has.
  if (order.kind == OrderKind::DeclareRollout || order.kind == OrderKind::AdvanceRollout)
    order.runners = publisher_.runners();
  replica_.submit(std::move(order), now, effects);
  settle(now, effects);
}

// Frames come from the primary, runners from the holder of that duty.
void Controller::askForNews(base::TimePoint now, net::Outbox& out) {
  if (const auto primary = replica_.primaryAddress(); primary && !replica_.active(now))
    stateSubscriber_.tick(now, {*primary}, stateVersion(), feed::kNothingWanted, out);
  if (group_.view() && !group_.isDiscoveryLeader())
    for (const auto& m : group_.view()->members)
      if (m.incarnation == group_.view()->discoveryLeader)
        runnerSubscriber_.tick(now, {{m.ip, m.port}}, feed::kNothingWanted, publisher_.askRunners(), out);
}

// After anything that may have moved the group or the control state: what is in force goes to those that ask.
void Controller::settle(base::TimePoint now, Effects& effects) {
  if (replica_.published() && publisher_.setState(*replica_.published())) {
    const auto& state = *replica_.published();
    effects.notes.push_back(fmt::format("configuration {} in force (epoch {}, sequence {})", state.revision,
                                        state.version.epoch, state.version.sequence));
    group_.setStateVersion(state.version);
  }
  if (const auto& record = replica_.record()) {
    if (record->epoch != notedEpoch_) {
      notedEpoch_ = record->epoch;
      effects.notes.push_back(fmt::format("epoch {}: primary {}, backups {}; {} voters", record->epoch, record->primary,
                                          fmt::join(record->backups, " "), record->voters.size()));
    }
    group_.setVoters(record->epoch, record->voters);
  }
  if (const auto* accepted = replica_.accepted()) group_.setAccepted(*accepted, now);
  for (const auto& delivered : group_.takeEvents()) {
    if (!delivered.view) {
      effects.notes.push_back("left the group, told dead; joining again");
      continue;
    }
    effects.notes.push_back(fmt::format("view {}: {} members, incarnation {}{}", delivered.view->number,
                                        delivered.view->members.size(), group_.incarnation(),
                                        group_.isDiscoveryLeader() ? ", reads the list of runners" : ""));
    if (!replica_.voterId().empty() && (group_.watermark() > watermarkKept_ + kWatermarkStep || watermarkKept_ == 0)) {
      watermarkKept_ = group_.watermark();
      effects.writes.push_back({0, Slot::Watermark, std::to_string(watermarkKept_)});
    }
  }
  if (const auto holder = group_.flushFrom())
    effects.out.push_back({*holder, schema::Poll{0, stateVersion(), feed::kNothingWanted}});
  checkLeadership(now, effects.out);
  publisher_.publish(now, effects.out);
  askForNews(now, effects.out);
}

bool Controller::readingDue(base::TimePoint now) {
  if (!group_.isDiscoveryLeader() || !group_.leaseHeld(now) || leftGroup_ || now - readAt_ < tuning_.listPeriod)
    return false;
  readAt_ = now;
  return true;
}

void Controller::listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                        Effects& effects) {
  if (!group_.view() || !group_.isDiscoveryLeader()) return;
  auto version = publisher_.runnersVersion();
  std::sort(runners.begin(), runners.end(), [](const auto& a, const auto& b) { return a.instanceId < b.instanceId; });
  const auto between = std::chrono::duration_cast<base::Millis>(askedAt - publisher_.listedAt());
  // Versions rise with the view that made this daemon the reader, so a later reader's always count as newer.
  if (!publisher_.hasRunners() || !runners::sameRunners(publisher_.runners(), runners, between))
    version = {group_.view()->number, version.epoch == group_.view()->number ? version.sequence + 1 : 1};
  if (publisher_.setRunners(version, std::move(runners), askedAt))
    effects.notes.push_back(fmt::format("list of runners: {} of them (version {}.{})", publisher_.runners().size(),
                                        version.epoch, version.sequence));
  settle(now, effects);
}

void Controller::leave(base::TimePoint now, Effects& effects) {
  if (leaving_) return;
  leaving_ = true;
  leavingSince_ = now;
  replica_.retire(now, effects);
  effects.notes.push_back("leaving in order");
  considerLeaving(now, effects);
}

void Controller::considerLeaving(base::TimePoint now, Effects& effects) {
  if (!leaving_ || leftGroup_) return;
  if (!replica_.mayRetire(now) && now - leavingSince_ < tuning_.grace / 2) return;
  leftGroup_ = true;
  leftAt_ = now;
  group_.leave(effects.out);
  effects.notes.push_back(replica_.mayRetire(now) ? "left the group"
                                                  : "left the group, and nobody has taken its place");
}

// The others are given time to hear of it.
bool Controller::left(base::TimePoint now) const { return leftGroup_ && now - leftAt_ >= base::Millis(300); }

}  // namespace indigohill::control
