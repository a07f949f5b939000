#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace indigohill::cli {

// Paths of files, empty where not given.
struct PlanArguments {
  std::string current, changed, update, runners, changedRunners, daemons, changedDaemons;
  std::vector<std::string> rollouts;
  std::string rolloutStage;
  bool json = false;
};

// 0: nothing moves; 1: something moves; 2: the change would be invalid; 3: an input cannot be used.
int runPlan(const PlanArguments& arguments);

}  // namespace indigohill::cli
