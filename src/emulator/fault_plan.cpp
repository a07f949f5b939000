#include "emulator/fault_plan.hpp"

#include <algorithm>
#include <array>

#include "emulator/random.hpp"

namespace indigohill::emulator {

using base::Millis;

namespace {

constexpr std::uint64_t kPlanDraws = 1;
constexpr Millis kInstant{1000};  // what a fault without a duration counts for
constexpr Millis kShortest{300};
// Without controllers, routers take to reading the platform's list themselves after some 2.5 s.
constexpr Millis kLongestControllerLoss{6000};

// In the order of the enumerations.
constexpr std::array kFaultNames{"kill_router",
                                 "kill_controller",
                                 "wipe_controller",
                                 "freeze_router",
                                 "freeze_controller",
                                 "terminate_router",
                                 "terminate_controller",
                                 "crash_runner",
                                 "drain_runner",
                                 "add_cold_runner",
                                 "slow_runners",
                                 "cut_link",
                                 "slow_link",
                                 "lose_answers",
                                 "burst",
                                 "clients_leave",
                                 "cut_zone",
                                 "cut_one_way",
                                 "cut_bridge",
                                 "cut_controllers",
                                 "change_settings"};
constexpr auto kLastDrawnKind = static_cast<std::size_t>(FaultKind::ClientsLeave);
constexpr std::array kScenarioNames{"cold_runner", "rolling_restart", "mixed", "apart", "reconfigure"};

// Draws the faults of one run.
class Planner {
 public:
  Planner(const Experiment& experiment, std::uint64_t seed)
      : experiment_(experiment), random_(seed, kPlanDraws), trouble_(experiment.trouble) {}
  FaultPlan plan(std::optional<Scenario> scenario);

 private:
  // A moment in this part of the time of troubles, between shares of it.
  Millis moment(double from, double to);
  double strength(double least, double most);
  void add(Millis at, FaultKind kind, std::size_t target = 0, Millis duration = Millis(0), double strength = 1);
  std::size_t router();
  std::size_t controller();
  void planColdRunner();
  void planControllerLosses(Millis start);
  void planRollingRestart();
  // Cuts one after the other, at times two at once; the last one lasts as long as there is time.
  void planApart();
  void planLossWhileApart();
  void planRouterLosses();
  // Series of restarts that overlap, most of them while settings change.
  void planReconfigure();
  void planRunnerLosses();
  void planOthers(std::size_t count);
  double drawStrength(FaultKind kind);
  const Experiment& experiment_;
  Random random_;
  Millis trouble_;
  bool wiped_ = false;
  FaultPlan plan_;
};

FaultPlan Planner::plan(std::optional<Scenario> scenario) {
  const std::vector<Scenario> often{Scenario::ColdRunner, Scenario::ColdRunner, Scenario::RollingRestart,
                                    Scenario::RollingRestart, Scenario::Mixed};
  plan_.scenario = scenario ? *scenario : random_.oneOf(often);
  switch (plan_.scenario) {
    case Scenario::ColdRunner:
      planColdRunner();
      planOthers(random_.integer(0, 2));
      break;
    case Scenario::RollingRestart:
      planRollingRestart();
      planOthers(random_.integer(0, 2));
      break;
    case Scenario::Mixed:
      planOthers(random_.integer(6, 10));
      break;
    case Scenario::Apart:
      planApart();
      break;
    case Scenario::Reconfigure:
      planReconfigure();
      break;
  }
  std::stable_sort(plan_.faults.begin(), plan_.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return std::move(plan_);
}

Millis Planner::moment(double from, double to) {
  const auto whole = static_cast<double>(trouble_.count());
  return random_.millis(Millis(static_cast<std::int64_t>(from * whole)), Millis(static_cast<std::int64_t>(to * whole)));
}

double Planner::strength(double least, double most) {
  constexpr std::int64_t kSteps = 1000;
  const auto step = random_.millis(Millis(0), Millis(kSteps)).count();
  return least + (most - least) * static_cast<double>(step) / kSteps;
}

void Planner::add(Millis at, FaultKind kind, std::size_t target, Millis duration, double strength) {
  plan_.faults.push_back({at, kind, target, duration, strength});
}

std::size_t Planner::router() { return random_.integer(0, experiment_.routers - 1); }

std::size_t Planner::controller() { return random_.integer(0, experiment_.controllers - 1); }

void Planner::planColdRunner() {
  const auto start = moment(0.02, 0.2);
  add(start, FaultKind::Burst, 0, trouble_ * 6 / 10, strength(2, 5));
  // Most runners go. Targets are taken modulo those that serve, and services take turns, so all but two are named.
  for (std::size_t i = 0; i + 2 < 2 * experiment_.runnersPerService; ++i)
    add(start + random_.millis(Millis(0), Millis(800)), FaultKind::CrashRunner, i);
  planControllerLosses(start);
  for (auto count = random_.integer(1, experiment_.routers - 1); count > 0; --count)
    add(start + random_.millis(Millis(0), trouble_ * 4 / 10), FaultKind::KillRouter, router(),
        random_.millis(kShortest, Millis(2500)));
  if (random_.chance(0.5))
    add(start + random_.millis(Millis(0), trouble_ / 4), FaultKind::FreezeRouter, router(),
        random_.millis(Millis(500), Millis(3500)));
  for (auto count = random_.integer(2, 4); count > 0; --count)
    add(start + random_.millis(Millis(0), trouble_ * 5 / 10), FaultKind::AddColdRunner, random_.integer(0, 1));
}

void Planner::planControllerLosses(Millis start) {
  if (random_.chance(0.5)) {
    const auto at = start + random_.millis(Millis(0), Millis(2000));
    for (std::size_t machine = 0; machine < experiment_.controllers; ++machine)
      add(at, FaultKind::KillController, machine, random_.millis(kShortest, kLongestControllerLoss));
    return;
  }
  for (auto count = random_.integer(1, 3); count > 0; --count)
    add(start + random_.millis(Millis(0), trouble_ * 4 / 10), FaultKind::KillController, controller(),
        random_.millis(kShortest, Millis(2500)));
}

void Planner::planRollingRestart() {
  const auto start = moment(0.02, 0.15);
  add(start, FaultKind::SlowRunners, 0, trouble_ * 8 / 10, strength(15, 60));
  if (random_.chance(0.6)) add(start, FaultKind::Burst, 0, trouble_ / 2, strength(1.2, 2.5));
  auto at = start + random_.millis(Millis(200), Millis(1500));
  for (std::size_t machine = 0; machine < experiment_.routers; ++machine) {
    add(at, FaultKind::TerminateRouter, machine);
    at += random_.millis(kShortest, trouble_ / 6);
  }
  for (auto count = random_.integer(4, 8); count > 0; --count)
    add(start + random_.millis(Millis(500), trouble_ * 7 / 10), FaultKind::ClientsLeave, 0, Millis(0),
        strength(0.4, 0.9));
  if (random_.chance(0.4))
    add(start + random_.millis(Millis(0), trouble_ / 2), FaultKind::KillController, controller(), Millis(600));
}

void Planner::planApart() {
  const std::vector<FaultKind> cuts{FaultKind::CutZone, FaultKind::CutZone, FaultKind::CutOneWay, FaultKind::CutBridge,
                                    FaultKind::CutControllers};
  for (auto at = moment(0, 0.1); at < trouble_ * 8 / 10;) {
    const auto duration = random_.millis(Millis(1200), std::max(Millis(1201), trouble_ * 5 / 10));
    add(at, random_.oneOf(cuts), random_.integer(0, experiment_.zones - 1), std::min(duration, trouble_ - at));
    at += random_.chance(0.3) ? duration / 2 : duration + random_.millis(Millis(0), Millis(2500));
  }
  for (auto count = random_.integer(2, 4); count > 0; --count) planLossWhileApart();
  if (random_.chance(0.5))
    add(moment(0.1, 0.7), FaultKind::WipeController, controller(), random_.millis(kShortest, Millis(2500)));
  planRouterLosses();
}

void Planner::planLossWhileApart() {
  const std::vector<FaultKind> losses{FaultKind::KillController, FaultKind::KillController, FaultKind::FreezeController,
                                      FaultKind::TerminateController};
  add(moment(0, 0.75), random_.oneOf(losses), controller(), random_.millis(kShortest, Millis(3500)));
}

void Planner::planRouterLosses() {
  const std::vector<FaultKind> losses{FaultKind::KillRouter, FaultKind::FreezeRouter, FaultKind::TerminateRouter};
  for (auto count = random_.integer(1, 3); count > 0; --count)
    add(moment(0, 0.7), random_.oneOf(losses), router(), random_.millis(kShortest, Millis(2500)));
}

void Planner::planReconfigure() {
  const std::vector<FaultKind> losses{FaultKind::KillRouter,     FaultKind::TerminateRouter,
                                      FaultKind::KillController, FaultKind::TerminateController,
                                      FaultKind::FreezeRouter,   FaultKind::FreezeController};
  add(Millis(0), FaultKind::ChangeSettings, 0, trouble_ * 8 / 10);
  for (auto at = moment(0, 0.05); at < trouble_ * 8 / 10; at += random_.millis(Millis(100), Millis(1500))) {
    const auto kind = random_.oneOf(losses);
    add(at, kind, random_.integer(0, experiment_.routers - 1), random_.millis(kShortest, Millis(1500)));
    if (random_.chance(0.5)) add(at, FaultKind::ChangeSettings);
  }
  planRunnerLosses();
}

void Planner::planRunnerLosses() {
  const std::vector<FaultKind> losses{FaultKind::CrashRunner, FaultKind::DrainRunner, FaultKind::AddColdRunner};
  for (auto count = random_.integer(2, 4); count > 0; --count)
    add(moment(0, 0.7), random_.oneOf(losses), random_.integer(0, 100));
}

void Planner::planOthers(std::size_t count) {
  for (; count > 0; --count) {
    const auto kind = static_cast<FaultKind>(random_.integer(0, kLastDrawnKind));
    // One disk may be lost at once.
    const bool mayWipe = !std::exchange(wiped_, wiped_ || kind == FaultKind::WipeController);
    if (kind == FaultKind::WipeController && !mayWipe) continue;
    add(moment(0, 0.75), kind, random_.integer(0, 100), random_.millis(kShortest, trouble_ / 4), drawStrength(kind));
  }
}

double Planner::drawStrength(FaultKind kind) {
  if (kind == FaultKind::ClientsLeave) return strength(0.3, 0.9);
  if (kind == FaultKind::SlowRunners) return strength(4, 30);
  return strength(1.5, 4);
}

}  // namespace

const char* nameOf(FaultKind kind) { return kFaultNames.at(static_cast<std::size_t>(kind)); }
const char* nameOf(Scenario scenario) { return kScenarioNames.at(static_cast<std::size_t>(scenario)); }

std::size_t FaultPlan::mostAtOnce() const {
  std::size_t most = 0;
  for (const auto& start : faults)
    most = std::max(most, static_cast<std::size_t>(std::count_if(faults.begin(), faults.end(), [&](const Fault& other) {
                      return other.at <= start.at && start.at < other.at + std::max(other.duration, kInstant);
                    })));
  return most;
}

std::optional<CutKind> cutOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::CutZone:
      return CutKind::Zone;
    case FaultKind::CutOneWay:
      return CutKind::OneWay;
    case FaultKind::CutBridge:
      return CutKind::Bridge;
    case FaultKind::CutControllers:
      return CutKind::Controllers;
    default:
      return std::nullopt;
  }
}

FaultPlan planFaults(const Experiment& experiment, std::uint64_t seed, std::optional<Scenario> scenario) {
  return Planner(experiment, seed).plan(scenario);
}

std::vector<std::string> scenarioNames() { return {kScenarioNames.begin(), kScenarioNames.end()}; }

std::optional<Scenario> scenarioNamed(const std::string& name) {
  for (std::size_t i = 0; i < kScenarioNames.size(); ++i)
    if (kScenarioNames.at(i) == name) return static_cast<Scenario>(i);
  return std::nullopt;
}

}  // namespace indigohill::emulator
