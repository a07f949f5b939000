// indigohill-soak: real daemons over loopback sockets, under faults that are drawn from a seed (docs/soak.md).
#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <iostream>

#include "emulator/report.hpp"

namespace emulator = indigohill::emulator;

namespace {

constexpr std::size_t kMaxCount = 1000;

// The daemon that was built beside this program: for cuts between daemons the one that can be cut off.
std::string programBeside(std::optional<emulator::Scenario> scenario) {
  const auto* name = scenario == emulator::Scenario::Apart ? "indigohill-cuttable" : "indigohill";
  return std::filesystem::read_symlink("/proc/self/exe").replace_filename(name).string();
}

void printPlan(const emulator::Experiment& experiment, std::uint64_t seed, std::optional<emulator::Scenario> scenario) {
  const auto plan = emulator::planFaults(experiment, seed, scenario);
  std::cout << "seed " << seed << ": " << emulator::nameOf(plan.scenario) << "\n";
  for (const auto& fault : plan.faults)
    std::cout << "  " << fault.at.count() << " ms  " << emulator::nameOf(fault.kind) << " " << fault.target << ", "
              << fault.duration.count() << " ms, " << fault.strength << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"indigohill-soak: real daemons over loopback sockets under faults drawn from a seed"};
  std::vector<std::uint64_t> seeds{1};
  std::size_t count = 1;
  std::string experimentPath, folder = "soak-runs", program, scenarioName;
  bool planOnly = false;
  app.add_option("--seed", seeds, "seeds, one after the other")->capture_default_str();
  app.add_option("--count", count, "how many seeds from each of these on")
      ->capture_default_str()
      ->check(CLI::Range(std::size_t{1}, kMaxCount));
  app.add_option("--experiment", experimentPath, "YAML file; what it leaves out has its default")
      ->check(CLI::ExistingFile);
  app.add_option("--folder", folder, "each run gets a folder here, which is emptied first")->capture_default_str();
  app.add_option("--program", program, "the daemon; default: the one beside this program")->check(CLI::ExistingFile);
  app.add_option("--scenario", scenarioName, "for every seed; default: drawn")
      ->check(CLI::IsMember(emulator::scenarioNames()));
  app.add_flag("--plan", planOnly, "print the faults of the seeds and end");
  app.footer("JSON lines, one a run, then a table. Exit status 1 if any run shows a violation.");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);

  emulator::Experiment experiment;
  if (!experimentPath.empty()) {
    const auto read = emulator::readExperiment(experimentPath);
    if (const auto* bad = indigohill::base::errorIn(read)) {
      std::cerr << "indigohill-soak: " << bad->message << "\n";
      return 2;
    }
    experiment = std::get<0>(read);
  }
  const auto scenario = emulator::scenarioNamed(scenarioName);
  if (program.empty()) program = programBeside(scenario);
  std::vector<emulator::RunResult> results;
  for (const auto first : seeds)
    for (auto seed = first; seed < first + count; ++seed) {
      if (planOnly) {
        printPlan(experiment, seed, scenario);
        continue;
      }
      const auto runFolder = std::filesystem::absolute(folder) / ("seed-" + std::to_string(seed));
      results.push_back(emulator::runSeed(experiment, {seed, scenario, program, runFolder}));
      std::cout << emulator::jsonLine(results.back()) << std::endl;
    }
  if (!planOnly) std::cout << "\n" << emulator::table(results);
  const bool clean =
      std::all_of(results.begin(), results.end(), [](const auto& run) { return run.violations.empty(); });
  return clean ? 0 : 1;
}
