#include "control/controller.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/lists.hpp"
#include "runners/list.hpp"

namespace indigohill::control {

namespace {
constexpr std::uint64_t kFloorStep = 1u << 19;          // half of what each founding sets aside
constexpr schema::StateVersion kNothing{~0ULL, ~0ULL};  // asks for nothing of this kind
}  // namespace

Controller::Controller(Self self, Identity identity, std::vector<settings::Endpoint> seeds, Tuning tuning,
                       std::uint64_t seed)
    : self_(std::move(self)),
      tuning_(tuning),
      group_({self_.nodeName + "/controller", identity.voterId, self_.zone, membership::Role::Controller, self_.cohort},
             seeds, tuning.group, seed),
      replica_({identity.voterId, self_.cohort, tuning.faultTolerance}, identity.loaded, tuning.replica, seed + 1),
      publisher_(tuning.feed),
      stateSubscriber_(tuning.feed, seed),
      runnerSubscriber_(tuning.feed, ~seed) {
  group_.setSeeds(known(seeds));
  group_.setFloor(identity.floor);
  floorKept_ = identity.floor;
  if (identity.loaded.record) group_.setVoters(identity.loaded.record->epoch, identity.loaded.record->voters);
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
  settle(now, effects);
}

void Controller::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                         Effects& effects) {
  if (const auto* ask = std::get_if<schema::Poll>(&message)) {
    publisher_.receive(*ask, from, now, effects.out);
    return;
  }
  if (const auto* news = std::get_if<schema::Update>(&message)) {
    const bool ofState = stateSubscriber_.receive(*news, from, now);
    const bool ofRunners = runnerSubscriber_.receive(*news, from, now);
    const auto content = feed::contentOf(*news);
    for (const auto& state : content.states)
      if (!replica_.active(now) && publisher_.setState(state)) group_.setHeld(state.version);
    if (ofState && !replica_.active(now)) publisher_.compare(*news);
    publisher_.takeRunners(*news, content, ofRunners ? now - base::Millis(news->runnersAgeMs) : base::TimePoint{});
  } else {
    group_.receive(message, from, now, effects.out);
    replica_.receive(message, from, now, effects);
  }
  settle(now, effects);
}

void Controller::synced(std::uint64_t token, bool ok, base::TimePoint now, Effects& effects) {
  if (!ok) effects.notes.push_back("the disk refuses to write");
  replica_.synced(token, ok, now, effects);
  settle(now, effects);
}

void Controller::order(Order order, base::TimePoint now, Effects& effects) {
  // Whether a rollout would leave a service without runners is judged by the list that this controller has.
  if (order.kind == OrderKind::DeclareRollout || order.kind == OrderKind::AdvanceRollout)
    order.runners = publisher_.runners();
  replica_.order(std::move(order), now, effects);
  settle(now, effects);
}

// Frames come from the primary, runners from the holder of that duty.
void Controller::askForNews(base::TimePoint now, net::Outbox& out) {
  if (const auto primary = replica_.primaryAddress(); primary && !replica_.active(now))
    stateSubscriber_.tick(now, {*primary}, stateVersion(), kNothing, out);
  if (group_.view() && !group_.isLister())
    for (const auto& m : group_.view()->members)
      if (m.incarnation == group_.view()->lister)
        runnerSubscriber_.tick(now, {{m.ip, m.port}}, kNothing, publisher_.askRunners(), out);
}

// After anything that may have moved the group or the control state: what is in force goes to those that ask.
void Controller::settle(base::TimePoint now, Effects& effects) {
  if (replica_.published() && publisher_.setState(*replica_.published())) {
    const auto& state = *replica_.published();
    effects.notes.push_back(fmt::format("configuration {} in force (epoch {}, sequence {})", state.revision,
                                        state.version.epoch, state.version.sequence));
    group_.setHeld(state.version);
  }
  if (const auto& record = replica_.record()) {
    if (record->epoch != notedEpoch_) {
      notedEpoch_ = record->epoch;
      effects.notes.push_back(fmt::format("epoch {}: primary {}, backups {}; {} voters", record->epoch, record->primary,
                                          fmt::join(record->backups, " "), record->voters.size()));
    }
    group_.setVoters(record->epoch, record->voters);
  }
  for (const auto& delivered : group_.takeDelivered()) {
    if (!delivered.view) {
      effects.notes.push_back("left the group, told dead; joining again");
      continue;
    }
    effects.notes.push_back(fmt::format("view {}: {} members, incarnation {}{}", delivered.view->number,
                                        delivered.view->members.size(), group_.incarnation(),
                                        group_.isLister() ? ", reads the list of runners" : ""));
    if (!replica_.voterId().empty() && (group_.floor() > floorKept_ + kFloorStep || floorKept_ == 0)) {
      floorKept_ = group_.floor();
      effects.writes.push_back({0, Slot::Floor, std::to_string(floorKept_)});
    }
  }
  if (const auto holder = group_.flushFrom())
    effects.out.push_back({*holder, schema::Poll{0, stateVersion(), kNothing}});
  // A relay vouches for what it has only while it is in touch with the primary and has all that is in force there.
  const bool fresh = replica_.active(now) ||
                     (replica_.primaryFresh(now) && publisher_.state() && stateVersion() >= replica_.primaryVersion());
  publisher_.setConfirmed(fresh && !publisher_.digestMismatch() && group_.leaseHeld(now));
  publisher_.publish(now, effects.out);
  askForNews(now, effects.out);
}

bool Controller::readingDue(base::TimePoint now) {
  if (!group_.isLister() || !group_.leaseHeld(now) || leaving_ || now - readAt_ < tuning_.listPeriod) return false;
  readAt_ = now;
  return true;
}

void Controller::listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                        Effects& effects) {
  if (!group_.view() || !group_.isLister()) return;
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
  leftAt_ = now;
  replica_.transferLeadership(effects.out);
  group_.leave(effects.out);
  effects.notes.push_back("leaving in order");
}

// Gone once somebody else leads, or after a while in any case.
bool Controller::left(base::TimePoint now) const {
  if (!leaving_) return false;
  const bool leads = replica_.record() && replica_.record()->primary == replica_.voterId();
  return now - leftAt_ >= base::Millis(300) && (!leads || now - leftAt_ >= tuning_.grace / 4);
}

}  // namespace indigohill::control
