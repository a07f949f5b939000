#include "routing/shared_health.hpp"

#include <algorithm>

#include "base/hash.hpp"

namespace indigohill::routing {

namespace {
constexpr base::Millis kReportInterval{1000};  // faults at one runner are reported no more often than this
constexpr std::size_t kSuspendedPart = 4;      // at most one in so many runners is left out

const RouterId* routerIn(const Routers& routers, std::uint64_t incarnation) {
  const auto found = std::find_if(routers.begin(), routers.end(),
                                  [&](const auto& router) { return router.incarnation == incarnation; });
  return found == routers.end() ? nullptr : &*found;
}
}  // namespace

void SharedHealth::recordFault(Runner& runner, base::TimePoint now) {
  const auto& snapshot = *runners_.snapshot();
  if (!snapshot.view || runner.suspension.holds(now) || now - runner.faultReportedAt < kReportInterval) return;
  runner.faultReportedAt = now;
  const auto routers = routersOf(*snapshot.view);
  for (const auto assessor : assessorsOf(routers, runner.entry.instanceId)) {
    if (assessor == snapshot.self)
      addEvidence(runner, *routerIn(routers, assessor), now);
    else
      pendingReports_[assessor].insert(runner.entry.instanceId);
  }
}

void SharedHealth::recordLate(const Runner& runner) { lateness_[runner.entry.service].late(runner.entry.instanceId); }

void SharedHealth::recordInTime(const Runner& runner, base::TimePoint now) {
  for (const auto& id : lateness_[runner.entry.service].inTime(runner.entry.instanceId))
    if (auto* late = runners_.find(id)) recordFault(*late, now);
}

void SharedHealth::receive(const schema::HealthReport& report, base::TimePoint now) {
  const auto& snapshot = *runners_.snapshot();
  if (!snapshot.view) return;
  const auto routers = routersOf(*snapshot.view);
  const auto* reporter = routerIn(routers, report.reporter);
  if (reporter == nullptr) return;
  if (report.agreed && report.zone != kEveryZone && report.zone != base::hash(zone_)) return;
  for (const auto& id : report.instanceIds) {
    auto* runner = runners_.find(id);
    if (runner == nullptr) continue;
    if (!report.agreed)
      addEvidence(*runner, *reporter, now);
    else if (suspend(*runner, report.zone == kEveryZone, now))
      runner->evidence.clear();
  }
}

std::vector<SharedHealth::Addressed> SharedHealth::takeReports() {
  const auto self = runners_.snapshot()->self;
  std::vector<Addressed> reports;
  for (auto& [assessor, ids] : std::exchange(pendingReports_, {}))
    reports.push_back({assessor, {self, false, kEveryZone, {ids.begin(), ids.end()}}});
  for (auto& [zone, ids] : std::exchange(pendingVerdicts_, {}))
    reports.push_back({0, {self, true, zone, {ids.begin(), ids.end()}}});
  return reports;
}

void SharedHealth::addEvidence(Runner& runner, const RouterId& reporter, base::TimePoint now) {
  // One that has just started does not know yet how much a runner gets.
  if (runner.suspension.holds(now) || now - startedAt_ < bounds_.retryWindow) return;
  runner.evidence.addReport(reporter, now);
  const auto& snapshot = *runners_.snapshot();
  const auto routers = routersOf(*snapshot.view);
  const auto expected = expectedRequests(runner.entry.service, routers.size());
  const auto zone = runner.evidence.agreed(routers, expected, runner.suspension, now);
  if (!zone) return;
  const auto* self = routerIn(routers, snapshot.self);
  const bool here = *zone == kEveryZone || (self != nullptr && self->zone == *zone);
  // What this router would not follow itself it tells nobody.
  if (here && !suspend(runner, *zone == kEveryZone, now)) return;
  runner.evidence.clear();
  pendingVerdicts_[*zone].insert(runner.entry.instanceId);
}

// Requests that a runner of the service gets from all routers while evidence lasts, estimated from what comes in here.
double SharedHealth::expectedRequests(const std::string& service, std::size_t routers) const {
  std::size_t usable = 0;
  for (const auto& [id, runner] : runners_.all()) usable += runners_.usable(runner, service) ? 1 : 0;
  const auto budget = budgets_.find(service);
  const auto requests = static_cast<double>(budget == budgets_.end() ? 0 : budget->second.requests());
  return requests * base::seconds(kEvidenceLife) / base::seconds(bounds_.retryWindow) * static_cast<double>(routers) /
         static_cast<double>(std::max<std::size_t>(1, usable));
}

// Never more than the rest can carry: at most a quarter of the runners are left out on the word of others, and only
// while the others have the slots for the load of all.
bool SharedHealth::suspend(Runner& runner, bool byAll, base::TimePoint now) {
  std::size_t usable = 0, leftOut = 0;
  double load = 0, slots = 0;
  for (const auto& [id, other] : runners_.all()) {
    if (!runners_.usable(other, runner.entry.service)) continue;
    ++usable;
    load += other.load.requests(now);
    if (&other == &runner) continue;
    if (other.unhealthy(now))
      ++leftOut;
    else
      slots += other.entry.slots;
  }
  if (kSuspendedPart * (leftOut + 1) > usable || load > slots) return false;
  runner.suspension.begin(bounds_.policy.ejectMs, byAll, now);
  return true;
}

}  // namespace indigohill::routing
