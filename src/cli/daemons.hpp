#pragma once
#include <cstdint>
#include <string>

#include "settings/settings.hpp"

namespace indigohill::cli {

// What a daemon is told on its command line.
struct DaemonOptions {
  std::string settingsPath;
  std::uint16_t metricsPort = 0;  // at the machine's address; 0: figures are not told
};

// Each runs its daemon until it is asked to stop, and gives the exit status. Throws what prevents the start.
int runRouter(const settings::Settings& settings, const DaemonOptions& options);
int runController(const settings::Settings& settings, const DaemonOptions& options);

}  // namespace indigohill::cli
