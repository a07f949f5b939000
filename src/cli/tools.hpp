#pragma once
#include <string>
#include <variant>
#include <vector>

#include "base/result.hpp"

// The tools beside the daemons: replay, plan, import.
namespace indigohill::cli {

// An input that cannot be used; the message names the file and what is wrong in it.
struct BadInput {
  std::string what;
};

std::string contents(const std::string& path);

template <class T>
T need(base::Result<T> result, const std::string& path) {
  if (const auto* bad = base::errorIn(result)) throw BadInput{path + ": " + bad->what};
  return std::get<T>(std::move(result));
}

struct PlanArguments {
  std::string current, changed, update, runners, changedRunners, daemons, changedDaemons;
  std::vector<std::string> rollouts;
  std::string rolloutStage;
  bool json = false;
};
// 0: nothing moves; 1: something moves; 2: the change would be invalid; 3: an input cannot be used.
int runPlan(const PlanArguments& arguments);

struct ImportArguments {
  std::string file, output;
  std::uint64_t revision = 1;
};
// 0: all of it was carried over; 1: some was not, and is listed; 3: the file cannot be used.
int runImport(const ImportArguments& arguments);

}  // namespace indigohill::cli
