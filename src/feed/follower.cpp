#include "feed/follower.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/lists.hpp"
#include "rollout/orders.hpp"

namespace indigohill::feed {

using base::Millis;

Follower::Follower(Self self, std::vector<settings::Endpoint> seeds, membership::Times group, Times times,
                   Millis drainBound, std::uint64_t seed, base::TimePoint startedAt)
    : self_(std::move(self)),
      drainBound_(drainBound),
      seed_(seed),
      group_({self_.nodeName + "/router", "", self_.zone, membership::Role::Router, self_.cohort}, std::move(seeds),
             group, seed),
      publisher_(times),
      subscriber_(times, seed, Subscriber::Rotate::WhenUnconfirmed),
      times_(times),
      startedAt_(startedAt) {}

void Follower::tick(base::TimePoint now, FollowerEffects& effects) {
  group_.tick(now, effects.out);
  publisher_.tick(now, effects.out);
  askForNews(now, effects.out);
  noteStaleness(now, effects);
  settle(effects);
}

std::optional<Millis> Follower::staleFor(base::TimePoint now) const {
  const auto since = std::chrono::duration_cast<Millis>(now - std::max(startedAt_, publisher_.confirmedAt()));
  // An answer that is held, one that is lost and the next daemon's: all that is usual.
  if (since < 2 * (times_.hold + times_.again)) return std::nullopt;
  return since;
}

// Said once, and once when it is over: the operator sees which machines were cut off from control, and how long.
void Follower::noteStaleness(base::TimePoint now, FollowerEffects& effects) {
  const auto since = staleFor(now);
  if (since.has_value() == staleNoted_) return;
  staleNoted_ = since.has_value();
  effects.notes.push_back(
      since ? fmt::format("no controller has vouched for the configuration for {} ms; it is kept", since->count())
            : std::string("a controller vouches for the configuration again"));
}

void Follower::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                       FollowerEffects& effects) {
  if (const auto* ask = std::get_if<schema::Poll>(&message)) {
    publisher_.receive(*ask, from, now, effects.out);
  } else if (const auto* news = std::get_if<schema::Update>(&message)) {
    // Taken from any member and also when not asked for just now: only what is in force is ever sent, and versions
    // only rise.
    const auto answeredAt = subscriber_.receive(*news, now);
    take(*news, answeredAt, now, effects);
    if (answeredAt) askForNews(now, effects.out);
  } else if (const auto* demand = std::get_if<schema::LoadNotice>(&message)) {
    effects.demands.push_back(*demand);
    return;
  } else if (const auto* suspicions = std::get_if<schema::HealthReport>(&message)) {
    effects.suspicions.push_back(*suspicions);
    return;
  } else {
    group_.receive(message, from, now, effects.out);
  }
  settle(effects);
}

void Follower::take(const schema::Update& news, std::optional<base::TimePoint> answeredAt, base::TimePoint now,
                    FollowerEffects& effects) {
  const auto content = contentOf(news);
  for (const auto& state : content.states) {
    if (state.version <= stateVersion()) continue;
    std::shared_ptr<const control::Configuration> configuration;
    if (!state.document.empty()) {
      auto parsed = control::parseConfiguration(state.document);
      if (const auto* bad = base::errorIn(parsed)) {
        effects.notes.push_back(fmt::format("configuration {} cannot be used: {}", state.revision, bad->what));
        continue;
      }
      configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
    }
    if (!publisher_.setState(state)) continue;
    group_.setStateVersion(state.version);
    effects.notes.push_back(fmt::format("configuration {} in force (epoch {}, sequence {})", state.revision,
                                        state.version.epoch, state.version.sequence));
    auto rollouts = rollout::readAll(state.rollouts);
    for (const auto& r : rollouts) {
      if (r.record) continue;
      publisher_.doubt();
      effects.notes.push_back(
          fmt::format("rollout of {} cannot be read, its runners are held back: {}", r.service, r.problem));
    }
    effects.events.push_back(
        routing::StateReceived{state.version, std::move(configuration), state.evacuated, std::move(rollouts)});
  }
  const bool digestMismatch = publisher_.digestMismatch();
  if (answeredAt) {
    publisher_.compare(news);
    confirm(news, *answeredAt, now);
  }
  if (publisher_.digestMismatch() && !digestMismatch)
    effects.notes.push_back(fmt::format("what is held of configuration {} is not what is in force; fetched whole again",
                                        publisher_.state()->revision));
  // How old the list is counts only in the answer to an ask under way: other news may have lain in a buffer.
  const auto listedAt = answeredAt ? *answeredAt - Millis(news.runnersAgeMs) : base::TimePoint{};
  const bool first = !publisher_.hasRunners();
  if (!publisher_.takeRunners(news, content, listedAt)) return;
  effects.events.push_back(
      routing::RunnersReceived{publisher_.runnersVersion(), publisher_.runners(), publisher_.listedAt()});
  if (first) effects.notes.push_back(fmt::format("list of runners: {} of them", publisher_.runners().size()));
}

// What is held here was the newest at that moment. Ready is who has seen that within the bound on applying it: then a
// request is handled as the newest configuration allows, or as one acknowledged within the bound replaced.
void Follower::confirm(const schema::Update& news, base::TimePoint answeredAt, base::TimePoint now) {
  if (news.stateAgeMs >= kUnknownAgeMs || stateVersion() < news.stateVersion || publisher_.digestMismatch()) return;
  const auto confirmedAt = answeredAt - Millis(news.stateAgeMs);
  publisher_.confirmAt(confirmedAt);
  if (now - confirmedAt <= times_.applyWithin) everConfirmed_ = true;
}

// The controllers of the view, those of the own zone first; then wherever else the group may be found, as all
// whom an old view names may be gone.
void Follower::askForNews(base::TimePoint now, net::Outbox& out) {
  std::vector<settings::Endpoint> own, others;
  if (group_.view())
    for (const auto& m : group_.view()->members)
      if (m.role == static_cast<std::uint8_t>(membership::Role::Controller))
        (m.zone == self_.zone ? own : others).push_back({m.ip, m.port});
  if (!others.empty())
    std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(seed_ % others.size()), others.end());
  own.insert(own.end(), others.begin(), others.end());
  for (const auto& contact : group_.contacts())
    if (!base::contains(own, contact)) own.push_back(contact);
  subscriber_.tick(now, own, stateVersion(), publisher_.askRunners(), out);
}

void Follower::settle(FollowerEffects& effects) {
  for (auto& delivered : group_.takeEvents()) {
    effects.notes.push_back(delivered.view ? fmt::format("view {}: {} members, incarnation {}", delivered.view->number,
                                                         delivered.view->members.size(), group_.incarnation())
                                           : std::string("left the group, told dead; joining again"));
    effects.events.push_back(routing::ViewReceived{std::move(delivered.view), group_.incarnation()});
  }
  auto proposed = group_.pending() ? routing::routersOf(group_.pending()->result) : routing::Routers{};
  if (proposed != proposed_) effects.events.push_back(routing::ProposalReceived{proposed_ = std::move(proposed)});
  if (const auto holder = group_.flushFrom())
    effects.out.push_back({*holder, schema::Poll{0, stateVersion(), kNothingWanted}});
}

void Follower::tell(const schema::Message& message, net::Outbox& out) const {
  if (!group_.view()) return;
  for (const auto& m : group_.view()->members)
    if (m.role == static_cast<std::uint8_t>(membership::Role::Router) && m.incarnation != group_.incarnation())
      out.push_back({{m.ip, m.port}, message});
}

void Follower::tell(std::uint64_t to, const schema::Message& message, net::Outbox& out) const {
  if (!group_.view()) return;
  for (const auto& m : group_.view()->members)
    if (m.incarnation == to) out.push_back({{m.ip, m.port}, message});
}

void Follower::leave(FollowerEffects& effects) {
  group_.leave(effects.out);
  effects.notes.push_back("leaving in order");
}

bool Follower::readingDue(base::TimePoint now) {
  // The seed spreads the routers that ask.
  const auto patience = drainBound_ * 4 / 5 + Millis(seed_ % 400);
  if (now - publisher_.listedAt() < patience || now - readAt_ < Millis(1000)) return false;
  if (!publisher_.hasRunners() && now - startedAt_ < 3 * patience) return false;
  readAt_ = now;
  return true;
}

// Kept under the version held: whatever a controller has next takes its place.
void Follower::listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, FollowerEffects& effects) {
  const auto version = publisher_.runnersVersion();
  effects.events.push_back(routing::RunnersReceived{version, runners, askedAt});
  publisher_.setRunners(version, std::move(runners), askedAt);
}

}  // namespace indigohill::feed
