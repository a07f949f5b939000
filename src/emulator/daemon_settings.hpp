#pragma once
#include <string>

#include "emulator/experiment.hpp"
#include "emulator/network.hpp"

namespace indigohill::emulator {

const char* nameOf(Role role);

// What the settings file of one process depends on.
struct DaemonSettings {
  Role role = Role::Router;
  std::size_t machine = 0;
  bool bootstrap = false;     // the very first start of the whole system
  std::string dataFolder;     // of a controller
  std::size_t firstSeed = 0;  // the seed that is named first
};

// The settings file of a process, as `a.b=value` lines.
std::string settingsText(const Experiment& experiment, const Network& network, const DaemonSettings& settings);

}  // namespace indigohill::emulator
