#include "router/router_core.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "base/lists.hpp"
#include "rollout/orders.hpp"

namespace indigohill::router {

using base::LogEvent;
using base::Millis;

namespace {

constexpr Millis kListReadInterval{1000};
constexpr std::int64_t kListReadSpreadMs = 400;  // over which the routers that read for themselves are spread
constexpr int kFirstListReadDelay = 3;           // times the usual, until a controller has sent a first list

}  // namespace

RouterCore::RouterCore(Self self, std::vector<settings::Endpoint> seeds, membership::Times groupTimes,
                       feed::Times feedTimes, Millis drainTimeout, std::uint64_t seed, base::TimePoint startedAt,
                       duties::Setup duties)
    : self_(std::move(self)),
      times_(feedTimes),
      drainTimeout_(drainTimeout),
      seed_(seed),
      group_({self_.nodeName + "/router", "", self_.zone, membership::Role::Router, self_.address}, std::move(seeds),
             groupTimes, seed),
      publisher_(feedTimes),
      subscriber_(feedTimes, seed, feed::Subscriber::Rotate::WhenUnconfirmed),
      dutyOptions_(duties.options),
      windowClock_(duties.usageWindow, duties.startedAt, duties.wallMs),
      reporter_(base::mix(seed), self_.address, {}),
      duties_({self_.nodeName, self_.address}, duties.options, windowClock_, seed + 1),
      startedAt_(startedAt) {}

void RouterCore::tick(base::TimePoint now, RouterEffects& effects) {
  group_.tick(now, effects.out);
  publisher_.tick(now, effects.out);
  sendPoll(now, effects.out);
  tickDuties(now, effects);
  logConfirmationChange(now, effects);
  publishMembership(effects);
}

void RouterCore::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                         RouterEffects& effects) {
  if (const auto* poll = std::get_if<schema::Poll>(&message)) {
    publisher_.receive(*poll, from, now, effects.out);
  } else if (const auto* update = std::get_if<schema::Update>(&message)) {
    // Taken from any member and also without a poll: only what is in force is ever sent, and versions only rise.
    const auto answeredAt = subscriber_.receive(*update, now);
    apply(*update, answeredAt, now, effects);
    if (answeredAt) sendPoll(now, effects.out);
  } else if (const auto* notice = std::get_if<schema::LoadNotice>(&message)) {
    effects.loadNotices.push_back(*notice);
    return;
  } else if (const auto* report = std::get_if<schema::HealthReport>(&message)) {
    effects.healthReports.push_back(*report);
    return;
  } else if (!receiveDutyMessage(message, from, now, effects)) {
    group_.receive(message, from, now, effects.out);
  }
  publishMembership(effects);
}

std::optional<Millis> RouterCore::unconfirmedFor(base::TimePoint now) const {
  const auto since = std::chrono::duration_cast<Millis>(now - std::max(startedAt_, publisher_.confirmedAt()));
  // An answer that is held, one that is lost and the next daemon's: all that is usual.
  if (since < 2 * (times_.longPollTimeout + times_.retryInterval)) return std::nullopt;
  return since;
}

// Once, and once when it is over: the operator sees which machines were cut off from control, and how long.
void RouterCore::logConfirmationChange(base::TimePoint now, RouterEffects& effects) {
  const auto since = unconfirmedFor(now);
  if (since.has_value() == unconfirmedLogged_) return;
  unconfirmedLogged_ = since.has_value();
  effects.log.push_back(since ? LogEvent("configuration_unconfirmed").with("forMs", since->count())
                              : LogEvent("configuration_confirmed"));
}

void RouterCore::apply(const schema::Update& update, std::optional<base::TimePoint> answeredAt, base::TimePoint now,
                       RouterEffects& effects) {
  const auto content = feed::contentOf(update);
  for (const auto& state : content.states) applyState(state, effects);
  const bool mismatchBefore = publisher_.hasDigestMismatch();
  if (answeredAt) {
    publisher_.compare(update);
    confirm(update, *answeredAt, now);
  }
  if (publisher_.hasDigestMismatch() && !mismatchBefore)
    effects.log.push_back(LogEvent("configuration_digest_mismatch").with("revision", publisher_.state()->revision));
  applyRunners(update, content, answeredAt, now, effects);
}

void RouterCore::applyState(const schema::ControlState& state, RouterEffects& effects) {
  if (state.version <= publisher_.stateVersion()) return;
  std::shared_ptr<const control::Configuration> configuration;
  if (!state.document.empty()) {
    auto parsed = control::parseStoredConfiguration(state.document);
    if (const auto* bad = base::errorIn(parsed)) {
      effects.log.push_back(
          LogEvent("configuration_unusable").with("revision", state.revision).with("error", bad->message));
      return;
    }
    configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
  }
  if (!publisher_.setState(state)) return;
  configuration_ = configuration;
  group_.setStateVersion(state.version);
  effects.log.push_back(LogEvent("configuration_applied")
                            .with("revision", state.revision)
                            .with("epoch", state.version.epoch)
                            .with("sequence", state.version.sequence));
  auto rollouts = rollout::readAll(state.rollouts);
  for (const auto& rollout : rollouts) {
    if (rollout.record) continue;
    publisher_.markDigestMismatch();
    effects.log.emplace_back(
        LogEvent("rollout_unreadable").with("service", rollout.service).with("error", rollout.problem));
  }
  effects.events.emplace_back(
      routing::StateReceived{state.version, std::move(configuration), state.evacuated, std::move(rollouts)});
}

void RouterCore::applyRunners(const schema::Update& update, const schema::UpdateContent& content,
                              std::optional<base::TimePoint> answeredAt, base::TimePoint now, RouterEffects& effects) {
  // How old the list is counts only in the answer to an open poll: other updates may have lain in a buffer.
  const auto listedAt = answeredAt ? *answeredAt - Millis(update.runnersAgeMs) : base::TimePoint{};
  const auto& list = publisher_.runnerList();
  const bool first = !list.isKnown();
  const bool changed = publisher_.applyRunners(update, content, listedAt);
  // Where routing has a list that this router has read for itself, the versions do not tell which is later.
  if (readDirectlyAt_) {
    const bool isHeld = update.runnersVersion == list.version();
    if (!isHeld || listedAt <= *readDirectlyAt_) return;
  } else if (!changed) {
    return;
  }
  readDirectlyAt_.reset();
  effects.events.emplace_back(routing::RunnersReceived{list.version(), list.runners(), list.listedAt(), now});
  if (first) effects.log.push_back(LogEvent("runners_listed").with("runners", list.runners().size()));
}

// What is held here was the newest at that moment. Ready is who has seen that within the bound on applying it: then a
// request is handled as the newest configuration allows, or as one acknowledged within the bound replaced.
void RouterCore::confirm(const schema::Update& update, base::TimePoint answeredAt, base::TimePoint now) {
  if (update.stateAgeMs >= feed::kUnknownAgeMs || publisher_.stateVersion() < update.stateVersion ||
      publisher_.hasDigestMismatch())
    return;
  const auto confirmedAt = answeredAt - Millis(update.stateAgeMs);
  publisher_.confirmAt(confirmedAt);
  if (now - confirmedAt <= times_.applyTimeout) everConfirmed_ = true;
}

// The controllers of the view, those of the own zone first; then wherever else the group may be found, as all whom an
// old view names may be gone.
std::vector<settings::Endpoint> RouterCore::pollTargets() const {
  std::vector<settings::Endpoint> out, otherZones;
  if (group_.view())
    for (const auto& member : group_.view()->members)
      if (membership::isController(member))
        (member.zone == self_.zone ? out : otherZones).push_back(membership::addressOf(member));
  // Each router begins with another one.
  if (!otherZones.empty())
    std::rotate(otherZones.begin(), otherZones.begin() + static_cast<std::ptrdiff_t>(seed_ % otherZones.size()),
                otherZones.end());
  out.insert(out.end(), otherZones.begin(), otherZones.end());
  for (const auto& contact : group_.contacts())
    if (!base::contains(out, contact)) out.push_back(contact);
  return out;
}

void RouterCore::sendPoll(base::TimePoint now, net::Outbox& out) {
  subscriber_.tick(now, pollTargets(), publisher_.stateVersion(), publisher_.runnerList().versionToRequest(), out);
}

// After anything that may have moved the group.
void RouterCore::publishMembership(RouterEffects& effects) {
  for (auto& event : group_.takeEvents()) {
    effects.log.push_back(event.view ? LogEvent("view_installed")
                                           .with("view", event.view->number)
                                           .with("members", event.view->members.size())
                                           .with("incarnation", group_.incarnation())
                                     : LogEvent("expelled_from_view"));
    effects.events.emplace_back(routing::ViewReceived{std::move(event.view), group_.incarnation()});
  }
  auto proposed = group_.pending() ? routing::routersOf(group_.pending()->result) : routing::Routers{};
  if (proposed != proposedRouters_)
    effects.events.emplace_back(routing::ProposalReceived{proposedRouters_ = std::move(proposed)});
  if (const auto holder = group_.flushFrom())
    effects.out.push_back({*holder, schema::Poll{0, publisher_.stateVersion(), feed::kNothingWanted}});
}

void RouterCore::broadcast(const schema::Message& message, net::Outbox& out) const {
  if (!group_.view()) return;
  for (const auto& member : group_.view()->members)
    if (!membership::isController(member) && member.incarnation != group_.incarnation())
      out.push_back({membership::addressOf(member), message});
}

void RouterCore::sendTo(std::uint64_t incarnation, const schema::Message& message, net::Outbox& out) const {
  if (!group_.view()) return;
  if (const auto* member = membership::findMember(*group_.view(), incarnation))
    out.push_back({membership::addressOf(*member), message});
}

void RouterCore::leave(RouterEffects& effects) {
  duties_.stop();
  group_.leave(effects.out);
  effects.log.emplace_back("shutdown_started");
}

bool RouterCore::isListReadDue(base::TimePoint now) {
  const auto& list = publisher_.runnerList();
  // The seed spreads the routers that ask.
  const auto tolerated = drainTimeout_ * 4 / 5 + Millis(seed_ % kListReadSpreadMs);
  if (now - list.listedAt() < tolerated || now - listReadAt_ < kListReadInterval) return false;
  if (!list.isKnown() && now - startedAt_ < kFirstListReadDelay * tolerated) return false;
  listReadAt_ = now;
  return true;
}

// Kept under the version held: whatever a controller has next takes its place.
void RouterCore::onListRead(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                            RouterEffects& effects) {
  // A controller's list that was read later has come meanwhile.
  if (askedAt <= publisher_.runnerList().listedAt()) return;
  const auto version = publisher_.runnerList().version();
  effects.log.push_back(LogEvent("runners_read_directly").with("runners", runners.size()));
  readDirectlyAt_ = askedAt;
  effects.events.emplace_back(routing::RunnersReceived{version, runners, askedAt, now});
  publisher_.setRunners(version, std::move(runners), askedAt);
}

}  // namespace indigohill::router
