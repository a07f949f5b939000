#pragma once
#include <optional>
#include <string>
#include <vector>

#include "emulator/experiment.hpp"
#include "emulator/peer_cuts.hpp"

namespace indigohill::emulator {

enum class FaultKind {
  KillRouter,
  KillController,
  WipeController,  // killed, and its store folder is empty when it comes back
  FreezeRouter,
  FreezeController,
  TerminateRouter,
  TerminateController,
  CrashRunner,
  DrainRunner,
  AddColdRunner,
  SlowRunners,  // every runner takes `strength` times as long
  CutLink,
  SlowLink,
  LoseAnswers,
  Burst,         // clients send `strength` times as often
  ClientsLeave,  // so large a share of the waiting clients leaves
  CutZone,       // the target of this and the next three is a zone; PeerCuts says what each cuts
  CutOneWay,
  CutBridge,
  CutControllers,
  ChangeSettings  // of all daemons, with SIGHUP; while it lasts, also whenever one of them has been started
};
const char* nameOf(FaultKind kind);
// The cut between daemons that a fault is, if it is one.
std::optional<CutKind> cutOf(FaultKind kind);

struct Fault {
  base::Millis at{0};  // from the beginning of the time of troubles
  FaultKind kind{};
  std::size_t target = 0;    // a machine; of runners, a number that is taken modulo those that serve
  base::Millis duration{0};  // how long it lasts, or a killed process stays away
  double strength = 1;
};

// What the troubles of a run have in common.
enum class Scenario {
  ColdRunner,      // daemons die and form their group anew while most runners are gone, clients press, cold ones come
  RollingRestart,  // routers get SIGTERM one after the other while runners are slow and clients leave in great numbers
  Mixed,           // faults of all kinds at random, but for cuts between daemons
  Apart,           // zones are cut off from each other, and machines are lost meanwhile; never drawn by itself
  Reconfigure      // machines are lost and restarted in series while settings change; never drawn by itself
};
const char* nameOf(Scenario scenario);

struct FaultPlan {
  Scenario scenario = Scenario::Mixed;
  std::vector<Fault> faults;  // by time

  // The most faults that last at one moment; one without a duration counts as a second.
  std::size_t mostAtOnce() const;
};

// The same plan for the same seed and experiment. The scenario is drawn unless it is given.
FaultPlan planFaults(const Experiment& experiment, std::uint64_t seed, std::optional<Scenario> scenario = {});
std::optional<Scenario> scenarioNamed(const std::string& name);
std::vector<std::string> scenarioNames();

}  // namespace indigohill::emulator
