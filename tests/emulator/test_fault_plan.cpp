#include "emulator/fault_plan.hpp"

#include <map>
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill::emulator;

namespace {

constexpr std::uint64_t kSeeds = 200;

std::size_t countOf(const FaultPlan& plan, FaultKind kind) {
  std::size_t out = 0;
  for (const auto& fault : plan.faults) out += fault.kind == kind ? 1 : 0;
  return out;
}

}  // namespace

Test(fault_plan, the_same_seed_gives_the_same_plan) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto one = planFaults({}, seed), other = planFaults({}, seed);
    cr_assert(one.scenario == other.scenario && one.faults.size() == other.faults.size());
    for (std::size_t i = 0; i < one.faults.size(); ++i)
      cr_assert(one.faults[i].at == other.faults[i].at && one.faults[i].kind == other.faults[i].kind);
  }
}

Test(fault_plan, faults_begin_within_the_time_of_troubles_and_overlap) {
  const Experiment experiment;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto plan = planFaults(experiment, seed);
    for (const auto& fault : plan.faults) cr_assert(fault.at.count() >= 0 && fault.at <= experiment.trouble);
    cr_assert(plan.mostAtOnce() >= 2, "seed %lu", static_cast<unsigned long>(seed));
  }
}

Test(fault_plan, the_incidents_combinations_come_often) {
  std::map<Scenario, int> scenarios;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto plan = planFaults({}, seed);
    ++scenarios[plan.scenario];
    if (plan.scenario == Scenario::ColdRunner)
      cr_assert(countOf(plan, FaultKind::AddColdRunner) >= 2 && countOf(plan, FaultKind::KillController) >= 1 &&
                countOf(plan, FaultKind::KillRouter) >= 1 && countOf(plan, FaultKind::Burst) >= 1);
    if (plan.scenario == Scenario::RollingRestart)
      cr_assert(countOf(plan, FaultKind::TerminateRouter) >= 4 && countOf(plan, FaultKind::ClientsLeave) >= 4);
  }
  cr_assert(scenarios[Scenario::ColdRunner] > 50 && scenarios[Scenario::RollingRestart] > 50 &&
            scenarios[Scenario::Mixed] > 20);
}

Test(fault_plan, one_disk_is_lost_at_most) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    cr_assert(countOf(planFaults({}, seed), FaultKind::WipeController) <= 1);
}

Test(fault_plan, zones_are_apart_for_long_and_machines_are_lost_meanwhile) {
  Experiment experiment;
  experiment.trouble = indigohill::base::Millis(20000);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto plan = planFaults(experiment, seed, Scenario::Apart);
    indigohill::base::Millis cut{0};
    std::size_t losses = 0;
    for (const auto& fault : plan.faults) {
      cr_assert(fault.at.count() >= 0 && fault.at <= experiment.trouble);
      if (cutOf(fault.kind))
        cut += fault.duration;
      else
        ++losses;
    }
    cr_assert(cut >= experiment.trouble / 4 && losses >= 3, "seed %lu", static_cast<unsigned long>(seed));
    cr_assert(countOf(plan, FaultKind::WipeController) <= 1);
  }
}

Test(fault_plan, cuts_between_daemons_are_never_drawn) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    for (const auto& fault : planFaults({}, seed).faults) cr_assert(!cutOf(fault.kind));
}

Test(fault_plan, machines_are_restarted_while_settings_change) {
  Experiment experiment;
  experiment.routers = 12;
  experiment.controllers = 8;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto plan = planFaults(experiment, seed, Scenario::Reconfigure);
    std::size_t restarts = 0;
    for (const auto kind :
         {FaultKind::KillRouter, FaultKind::TerminateRouter, FaultKind::KillController, FaultKind::TerminateController})
      restarts += countOf(plan, kind);
    cr_assert(restarts >= 3 && countOf(plan, FaultKind::ChangeSettings) >= 1, "seed %lu",
              static_cast<unsigned long>(seed));
    cr_assert_eq(countOf(plan, FaultKind::WipeController), 0u);
  }
}
