// `indigohill replay`: recorded traffic against a changed routing policy or configuration.
#include "cli/replay_command.hpp"

#include <iostream>
#include <memory>
#include <vector>

#include "cli/command.hpp"
#include "cli/input_files.hpp"
#include "control/configuration.hpp"
#include "replay/report.hpp"

namespace indigohill::cli {

namespace {

constexpr int kNothingWorse = 0, kSomethingWorse = 1, kBadInput = 2;

settings::Policy readPolicy(const std::string& path) {
  return path.empty() ? settings::defaultPolicy() : need(settings::parsePolicy(contents(path)), path);
}

}  // namespace

int runReplay(const ReplayArguments& arguments) {
  try {
    std::string lines;
    for (const auto& path : arguments.traffic) lines += contents(path) + "\n";
    const auto traffic = need(replay::parseRecording(lines), arguments.traffic.front());
    const auto model = need(replay::parseModel(contents(arguments.fleet)), arguments.fleet);
    const auto current = readConfiguration(arguments.configuration);
    const auto changed =
        arguments.changedConfiguration.empty() ? current : readConfiguration(arguments.changedConfiguration);
    replay::Fleet currentFleet(model, current, current, readPolicy(arguments.currentPolicy), arguments.seed);
    replay::Fleet changedFleet(model, changed, current, readPolicy(arguments.changedPolicy), arguments.seed);
    const auto comparison = replay::compare(currentFleet.play(traffic), changedFleet.play(traffic));
    std::cout << (arguments.json ? replay::asJson(comparison) + "\n" : replay::asText(comparison, arguments.most));
    return comparison.holds() ? kNothingWorse : kSomethingWorse;
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: replay: " << bad.what << "\n";
    return kBadInput;
  }
}

Command addReplayCommand(CLI::App& app) {
  const auto arguments = std::make_shared<ReplayArguments>();
  auto* replay = app.add_subcommand("replay", "play recorded traffic against a changed routing policy and compare");
  replay->add_option("--traffic", arguments->traffic, "logs of routers with trafficLog=true")->required();
  replay->add_option("--configuration", arguments->configuration, "configuration in force (JSON)")->required();
  replay->add_option("--fleet", arguments->fleet, "runners, routers and troubles to play (JSON)")->required();
  replay->add_option("--current", arguments->currentPolicy,
                     "policy in force (policy.* lines); default: the built-in one");
  replay->add_option("--changed", arguments->changedPolicy, "policy to compare with it");
  replay->add_option("--changed-configuration", arguments->changedConfiguration, "configuration to compare with");
  replay->add_option("--seed", arguments->seed, "seed of everything drawn by lot")->capture_default_str();
  replay->add_option("--most", arguments->most, "changed requests to list")->capture_default_str();
  replay->add_flag("--json", arguments->json, "the result as JSON");
  replay->footer("Exit status: 0 nothing is worse, 1 something is, 2 an input cannot be used.");
  return {replay, [arguments] { return runReplay(*arguments); }};
}

}  // namespace indigohill::cli
