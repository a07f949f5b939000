#include "emulator/fault_injector.hpp"

#include "emulator/payload.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
using base::Millis;

void FaultInjector::start(const FaultPlan& plan) {
  for (const auto& fault : plan.faults)
    asio::co_spawn(
        executor_, [self = shared_from_this(), fault]() { return self->carryOut(fault); }, asio::detached);
}

asio::awaitable<void> FaultInjector::carryOut(Fault fault) {
  const auto self = shared_from_this();
  asio::steady_timer timer(executor_, fault.at);
  co_await timer.async_wait(http::kTuple);
  if (healed_) co_return;
  targets_.timeline.write(base::LogEvent("fault")
                              .with("kind", nameOf(fault.kind))
                              .with("target", fault.target)
                              .with("durationMs", fault.duration.count())
                              .with("strength", fmt::format("{:.2f}", fault.strength)));
  std::optional<std::size_t> cut;
  if (const auto kind = cutOf(fault.kind))
    cut = targets_.cuts.begin(*kind, fault.target);
  else
    begin(fault);
  timer.expires_after(fault.duration);
  co_await timer.async_wait(http::kTuple);
  if (cut) targets_.cuts.end(*cut);
  if (!healed_) heal(fault);
}

void FaultInjector::begin(const Fault& fault) {
  auto& [fleet, platform, traffic, cuts, timeline] = targets_;
  const auto router = fault.target % experiment_.routers, controller = fault.target % experiment_.controllers;
  switch (fault.kind) {
    case FaultKind::KillRouter:
      return fleet.kill(Role::Router, router, fault.duration);
    case FaultKind::KillController:
      return fleet.kill(Role::Controller, controller, fault.duration);
    case FaultKind::WipeController:
      return fleet.killAndWipe(controller, fault.duration);
    case FaultKind::FreezeRouter:
      return fleet.freeze(Role::Router, router, fault.duration);
    case FaultKind::FreezeController:
      return fleet.freeze(Role::Controller, controller, fault.duration);
    case FaultKind::TerminateRouter:
      return fleet.terminate(Role::Router, router);
    case FaultKind::TerminateController:
      return fleet.terminate(Role::Controller, controller);
    case FaultKind::CrashRunner:
      if (const auto runner = expendableRunner(fault)) platform.crash(runner);
      return;
    case FaultKind::DrainRunner:
      if (const auto runner = expendableRunner(fault)) platform.drain(runner);
      return;
    case FaultKind::AddColdRunner:
      return platform.add(fault.target % 2 == 0 ? kPlainService : kStreamService, true)->setPace(pace_);
    case FaultKind::SlowRunners:
      return setPace(fault.strength);
    case FaultKind::CutLink:
      return setLink(fault, Link::State::Cut);
    case FaultKind::SlowLink:
      return setLink(fault, Link::State::Slow);
    case FaultKind::LoseAnswers:
      return setLink(fault, Link::State::LosesAnswers);
    case FaultKind::Burst:
      return traffic.setBurst(fault.strength);
    case FaultKind::ClientsLeave:
      return traffic.leaveAtOnce(fault.strength);
    case FaultKind::ChangeSettings:
      return fleet.changeSettings(fault.duration);
    case FaultKind::CutZone:
    case FaultKind::CutOneWay:
    case FaultKind::CutBridge:
    case FaultKind::CutControllers:
      return;  // begun by carryOut, which ends the very cut that it began
  }
}

// The fleet and the platform end theirs by themselves. Of faults of one kind that overlap, the first to end ends all.
void FaultInjector::heal(const Fault& fault) {
  if (fault.kind == FaultKind::Burst) targets_.traffic.setBurst(1);
  if (fault.kind == FaultKind::SlowRunners) setPace(1);
  const bool ofLink =
      fault.kind == FaultKind::CutLink || fault.kind == FaultKind::SlowLink || fault.kind == FaultKind::LoseAnswers;
  if (ofLink) targets_.platform.openLinks();
}

void FaultInjector::healAll() {
  healed_ = true;
  targets_.traffic.setBurst(1);
  setPace(1);
  targets_.platform.openLinks();
  targets_.cuts.endAll();
  targets_.fleet.thawAll();
}

// One whose service has another; null if there is none.
std::shared_ptr<Runner> FaultInjector::expendableRunner(const Fault& fault) const {
  const auto serving = targets_.platform.serving();
  for (std::size_t i = 0; i < serving.size(); ++i) {
    const auto& runner = serving[(fault.target + i) % serving.size()];
    if (targets_.platform.serving(runner->spec().service).size() > 1) return runner;
  }
  return nullptr;
}

void FaultInjector::setLink(const Fault& fault, Link::State state) {
  const auto serving = targets_.platform.serving();
  if (!serving.empty()) serving[fault.target % serving.size()]->link().set(state);
}

void FaultInjector::setPace(double factor) {
  pace_ = factor;
  for (const auto& runner : targets_.platform.serving()) runner->setPace(factor);
}

}  // namespace indigohill::emulator
