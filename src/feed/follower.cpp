#include "feed/follower.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "rollout/orders.hpp"

namespace indigohill::feed {

using base::Millis;

Follower::Follower(Self self, std::vector<settings::Endpoint> seeds, membership::Times group, Times times,
                   Millis drainBound, std::uint64_t seed, base::TimePoint startedAt)
    : self_(std::move(self)),
      seeds_(seeds),
      drainBound_(drainBound),
      seed_(seed),
      group_({self_.nodeName + "/router", "", self_.zone, membership::Role::Router, self_.cohort}, std::move(seeds),
             group, seed),
      source_(times),
      sink_(times, seed),
      times_(times),
      startedAt_(startedAt) {}

void Follower::tick(base::TimePoint now, Followed& fx) {
  group_.tick(now, fx.out);
  source_.tick(now, fx.out);
  askForNews(now, fx.out);
  noteUnvouched(now, fx);
  settle(fx);
}

std::optional<Millis> Follower::unvouched(base::TimePoint now) const {
  const auto since = std::chrono::duration_cast<Millis>(now - std::max(startedAt_, sink_.confirmedAt()));
  // An answer that is held, one that is lost and the next daemon's: all that is usual.
  if (since < 2 * (times_.hold + times_.again)) return std::nullopt;
  return since;
}

// Said once, and once when it is over: the operator sees which machines were cut off from control, and how long.
void Follower::noteUnvouched(base::TimePoint now, Followed& fx) {
  const auto since = unvouched(now);
  if (since.has_value() == unvouchedNoted_) return;
  unvouchedNoted_ = since.has_value();
  fx.notes.push_back(
      since ? fmt::format("no controller has vouched for the configuration for {} ms; it is kept", since->count())
            : std::string("a controller vouches for the configuration again"));
}

void Follower::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                       Followed& fx) {
  if (const auto* ask = std::get_if<schema::Ask>(&message)) {
    source_.receive(*ask, from, now, fx.out);
  } else if (const auto* news = std::get_if<schema::News>(&message)) {
    // Taken from any member and also when not asked for just now: only what is in force is ever sent, and versions
    // only rise.
    const bool asked = sink_.receive(*news, from, now);
    take(*news, asked, now, fx);
    if (asked) askForNews(now, fx.out);
  } else if (const auto* demand = std::get_if<schema::Demand>(&message)) {
    fx.demands.push_back(*demand);
    return;
  } else if (const auto* suspicions = std::get_if<schema::Suspicions>(&message)) {
    fx.suspicions.push_back(*suspicions);
    return;
  } else {
    group_.receive(message, from, now, fx.out);
  }
  settle(fx);
}

void Follower::take(const schema::News& news, bool asked, base::TimePoint now, Followed& fx) {
  const auto content = contentOf(news);
  for (const auto& frame : content.frames) {
    if (frame.stamp <= frameStamp()) continue;
    std::shared_ptr<const control::Configuration> configuration;
    if (!frame.document.empty()) {
      auto parsed = control::parseConfiguration(frame.document);
      if (const auto* bad = base::fault(parsed)) {
        fx.notes.push_back(fmt::format("configuration {} cannot be used: {}", frame.revision, bad->what));
        continue;
      }
      configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
    }
    if (!source_.setFrame(frame)) continue;
    group_.setHeld(frame.stamp);
    fx.notes.push_back(fmt::format("configuration {} in force (epoch {}, serial {})", frame.revision, frame.stamp.epoch,
                                   frame.stamp.serial));
    auto rollouts = rollout::readAll(frame.rollouts);
    for (const auto& r : rollouts) {
      if (r.record) continue;
      source_.doubt();
      fx.notes.push_back(
          fmt::format("rollout of {} cannot be read, its runners are held back: {}", r.service, r.problem));
    }
    fx.events.push_back(
        routing::FrameCame{frame.stamp, std::move(configuration), frame.evacuated, std::move(rollouts)});
  }
  const bool doubted = source_.doubted();
  if (asked) source_.compare(news);
  if (source_.doubted() && !doubted)
    fx.notes.push_back(fmt::format("what is held of configuration {} is not what is in force; fetched whole again",
                                   source_.frame()->revision));
  // How old the list is counts only in the answer to an ask under way: other news may have lain in a buffer.
  const auto listedAt = asked ? now - Millis(news.runnersAgeMs) : base::TimePoint{};
  const bool first = !source_.hasRunners();
  if (!source_.takeRunners(news, content, listedAt)) return;
  fx.events.push_back(routing::RunnersCame{source_.runnersStamp(), source_.runners(), source_.listedAt()});
  if (first) fx.notes.push_back(fmt::format("list of runners: {} of them", source_.runners().size()));
}

// The controllers of the view, the own domain first; the seeds while there is no view.
void Follower::askForNews(base::TimePoint now, net::Outbox& out) {
  std::vector<settings::Endpoint> own, others;
  if (group_.view())
    for (const auto& m : group_.view()->members)
      if (m.role == static_cast<std::uint8_t>(membership::Role::Controller))
        (m.zone == self_.zone ? own : others).push_back({m.ip, m.port});
  if (!others.empty())
    std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(seed_ % others.size()), others.end());
  own.insert(own.end(), others.begin(), others.end());
  sink_.tick(now, own.empty() ? seeds_ : own, frameStamp(), source_.askRunners(), out);
}

void Follower::settle(Followed& fx) {
  for (auto& delivered : group_.takeDelivered()) {
    fx.notes.push_back(delivered.view ? fmt::format("view {}: {} members, incarnation {}", delivered.view->number,
                                                    delivered.view->members.size(), group_.incarnation())
                                      : std::string("left the group, told dead; joining again"));
    fx.events.push_back(routing::ViewCame{std::move(delivered.view), group_.incarnation()});
  }
  auto proposed = group_.pending() ? routing::routersOf(group_.pending()->result) : routing::Routers{};
  if (proposed != proposed_) fx.events.push_back(routing::ProposalCame{proposed_ = std::move(proposed)});
  if (const auto holder = group_.flushFrom()) fx.out.push_back({*holder, schema::Ask{0, frameStamp(), {~0ULL, ~0ULL}}});
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

void Follower::leave(Followed& fx) {
  group_.leave(fx.out);
  fx.notes.push_back("leaving in order");
}

bool Follower::readingDue(base::TimePoint now) {
  // The seed spreads the routers that ask.
  const auto patience = drainBound_ * 4 / 5 + Millis(seed_ % 400);
  if (now - source_.listedAt() < patience || now - readAt_ < Millis(1000)) return false;
  if (!source_.hasRunners() && now - startedAt_ < 3 * patience) return false;
  readAt_ = now;
  return true;
}

// Kept under the stamp held: whatever a controller has next takes its place.
void Follower::listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, Followed& fx) {
  const auto stamp = source_.runnersStamp();
  fx.events.push_back(routing::RunnersCame{stamp, runners, askedAt});
  source_.setRunners(stamp, std::move(runners), askedAt);
}

}  // namespace indigohill::feed
