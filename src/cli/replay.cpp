#include "cli/replay.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include "control/configuration.hpp"
#include "replay/report.hpp"

namespace indigohill::cli {

namespace {

struct BadInput {
  std::string what;
};

std::string contents(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw BadInput{path + ": cannot be read"};
  std::ostringstream all;
  all << in.rdbuf();
  return std::move(all).str();
}

template <class T>
T need(base::Result<T> result, const std::string& path) {
  if (const auto* bad = base::fault(result)) throw BadInput{path + ": " + bad->what};
  return std::get<T>(std::move(result));
}

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
