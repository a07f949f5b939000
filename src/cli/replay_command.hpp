#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace indigohill::cli {

// Paths of files, empty where not given.
struct ReplayArguments {
  std::vector<std::string> traffic;  // log files with records of requests
  std::string configuration, changedConfiguration, fleet, currentPolicy, changedPolicy;
  std::uint64_t seed = 1;
  std::size_t most = 20;
  bool json = false;
};

// 0: nothing is worse; 1: something is; 2: an input cannot be used.
int runReplay(const ReplayArguments& arguments);

}  // namespace indigohill::cli
