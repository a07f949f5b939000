#include "metrics/common_metrics.hpp"

#include <algorithm>

#include "base/invariant.hpp"

namespace indigohill::metrics {

namespace {

void addMembers(Exposition& out, const membership::Group& group) {
  std::size_t routers = 0, controllers = 0;
  if (group.view())
    for (const auto& member : group.view()->members) ++(membership::isController(member) ? controllers : routers);
  auto members = Family::gauge("view_members", "Members of the view in force here.");
  members.add(static_cast<double>(routers), {{"role", "router"}});
  members.add(static_cast<double>(controllers), {{"role", "controller"}});
  out.add(std::move(members));
}

}  // namespace

void addGroup(Exposition& out, const membership::Group& group, base::TimePoint now) {
  out.add(Family::gauge("view_number", "Number of the view in force here; 0: none.")
              .with(group.view() ? static_cast<double>(group.view()->number) : 0));
  addMembers(out, group);
  out.add(Family::gauge("lease_left_seconds", "How long the lease still runs; 0: it has lapsed.")
              .with(std::max(0.0, base::seconds(group.leaseUntil() - now))));
  out.add(Family::counter("expulsions_total", "How often this daemon was expelled from the view.")
              .with(static_cast<double>(group.expulsions())));
  out.add(Family::counter("stale_messages_total", "Messages of the group that were rejected as stale.")
              .with(static_cast<double>(group.rejected())));
}

void addUpdates(Exposition& out, const feed::Publisher& publisher, base::TimePoint now) {
  const auto& state = publisher.state();
  const auto version = publisher.stateVersion();
  out.add(Family::gauge("configuration_revision", "Revision of the configuration held here; 0: none.")
              .with(state ? static_cast<double>(state->revision) : 0));
  out.add(Family::gauge("control_state_epoch", "Epoch of the control state held here.")
              .with(static_cast<double>(version.epoch)));
  out.add(Family::gauge("control_state_sequence", "Sequence number of the control state within its epoch.")
              .with(static_cast<double>(version.sequence)));
  auto age = Family::gauge("configuration_age_seconds",
                           "How long ago the configuration held here was the newest acknowledged one; absent if it "
                           "never was, or a digest does not match.");
  if (const auto ageMs = publisher.stateAgeMs(now); ageMs < feed::kUnknownAgeMs)
    age.add(base::seconds(base::Millis(ageMs)));
  out.add(std::move(age));
  const auto& list = publisher.runnerList();
  auto listAge = Family::gauge("runner_list_age_seconds", "How old the platform's list of runners is; absent: none.");
  if (list.isKnown() && list.listedAt() != base::TimePoint{}) listAge.add(base::seconds(now - list.listedAt()));
  out.add(std::move(listAge));
  out.add(Family::gauge("runners_listed", "Runners in the platform's list as it is held here.")
              .with(static_cast<double>(list.runners().size())));
}

void addDuties(Exposition& out, const duties::Agent& agent, base::TimePoint now) {
  auto own = Family::gauge("duty_held", "1 if this daemon may perform the duty now.");
  auto attempts = Family::gauge("duty_attempt", "Newest attempt at the lease of a duty that is known here.");
  for (const auto& lease : agent.table().leases) {
    const auto subject = lease::subjectOf(lease);
    const Labels labels{{"duty", lease::nameOf(subject.duty)}, {"subject", subject.name}};
    own.add(agent.isHolder(subject, now) ? 1 : 0, labels);
    attempts.add(static_cast<double>(lease.attempt), labels);
  }
  out.add(std::move(own));
  out.add(std::move(attempts));
  auto calls = Family::counter("duty_calls_total", "Calls of duties to the platform, by how they ended.");
  agent.callCounts().forEach([&](duties::CallOutcome outcome, const base::Counter& count) {
    calls.add(static_cast<double>(count.value()), {{"outcome", duties::nameOf(outcome)}});
  });
  out.add(std::move(calls));
  out.add(Family::gauge("usage_delivered_window", "Newest usage window that needs no report any more, as known here.")
              .with(static_cast<double>(agent.usageDelivered())));
}

void addProcess(Exposition& out, std::uint64_t droppedMessages) {
  out.add(
      Family::gauge("build_info", "Always 1; the version of the program.").with(1, {{"version", INDIGOHILL_VERSION}}));
  out.add(Family::counter("dropped_messages_total", "Messages of other daemons that could not be read.")
              .with(static_cast<double>(droppedMessages)));
  auto violations =
      Family::counter("invariant_violations_total", "Violations of each invariant; 0 is as it should be.");
  for (const auto* invariant : base::allInvariants())
    violations.add(static_cast<double>(invariant->violations()), {{"invariant", invariant->name()}});
  out.add(std::move(violations));
}

}  // namespace indigohill::metrics
