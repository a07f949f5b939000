#pragma once
#include <string>

#include "settings/settings.hpp"

namespace indigohill::cli {

// Each runs its role until it is told to stop and gives back the exit status.
int runRouter(const settings::Settings& settings, const std::string& settingsPath);
int runController(const settings::Settings& settings, const std::string& settingsPath);

}  // namespace indigohill::cli
