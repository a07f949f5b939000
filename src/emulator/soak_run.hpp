#pragma once
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "emulator/experiment.hpp"
#include "emulator/fault_plan.hpp"
#include "emulator/judges.hpp"

namespace indigohill::emulator {

// What a run needs besides its experiment.
struct RunOptions {
  std::uint64_t seed = 1;
  std::optional<Scenario> scenario;  // nothing: it is drawn
  std::string program;               // the daemon
  std::filesystem::path folder;      // of the run's own: settings, stores, logs, timeline
};

// A run in figures, and what was found in it.
struct RunResult {
  std::uint64_t seed = 0;
  Scenario scenario = Scenario::Mixed;
  std::size_t faults = 0, faultsAtOnce = 0;
  std::size_t attempts = 0, served = 0, left = 0, arrivals = 0, changes = 0;
  // To tallies; those acknowledged; of these, the ones acknowledged first while there was a cut.
  std::size_t adds = 0, addsAcknowledged = 0, addsInCuts = 0;
  base::Millis took{0}, longestStall{0};
  Violations violations;
};

// Plays one seed: starts the daemons and the stand-ins, lets the troubles happen, waits, reads back, judges. Blocks for
// the whole of it; all processes that it has started have ended when it returns. Throws std::runtime_error when there
// is no free network number, and std::system_error when no process can be started.
RunResult runSeed(const Experiment& experiment, const RunOptions& options);

}  // namespace indigohill::emulator
