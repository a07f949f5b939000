#include "cli/replay.hpp"

#include <iostream>

#include "cli/tools.hpp"
#include "control/configuration.hpp"
#include "replay/report.hpp"

namespace indigohill::cli {

namespace {

std::shared_ptr<const control::Configuration> configuration(const std::string& path) {
  return std::make_shared<const control::Configuration>(need(control::parseConfiguration(contents(path)), path));
}

settings::Policy policy(const std::string& path) {
  return path.empty() ? settings::defaultPolicy() : need(settings::parsePolicy(contents(path)), path);
}

}  // namespace

int runReplay(const ReplayArguments& a) {
  try {
    std::string lines;
    for (const auto& path : a.traffic) lines += contents(path) + "\n";
    const auto traffic = need(replay::parseRecording(lines), a.traffic.front());
    const auto model = need(replay::parseModel(contents(a.fleet)), a.fleet);
    const auto current = configuration(a.configuration);
    const auto changed = a.changedConfiguration.empty() ? current : configuration(a.changedConfiguration);
    replay::Fleet one(model, current, current, policy(a.currentPolicy), a.seed);
    replay::Fleet other(model, changed, current, policy(a.changedPolicy), a.seed);
    const auto comparison = replay::compare(one.play(traffic), other.play(traffic));
    std::cout << (a.json ? replay::asJson(comparison) + "\n" : replay::asText(comparison, a.most));
    return comparison.holds() ? 0 : 1;
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: replay: " << bad.what << "\n";
    return 2;
  }
}

}  // namespace indigohill::cli
