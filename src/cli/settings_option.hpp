#pragma once
#include <CLI/CLI.hpp>
#include <string>
#include <variant>

#include "settings/settings.hpp"

namespace indigohill::cli {

// The environment variable that names the settings file where --settings does not.
constexpr const char* kSettingsVariable = "INDIGOHILL_NODE_FILE";

// Adds the option --settings; `path` must outlive the parser.
void addSettingsOption(CLI::App& command, std::string& path);

// Settings that a role (`router`, `controller`) can run with, or the exit status after a message on standard error.
std::variant<settings::Settings, int> loadSettings(const std::string& path, const std::string& role);

// The same for a daemon's start, with defaults for numbers and flags that cannot be read. A file that cannot be read at
// all or is not complete is tried again for some seconds: the platform may be writing it just then. The first message
// comes at once. Blocks.
std::variant<settings::TolerantSettings, int> awaitSettings(const std::string& path, const std::string& role);

}  // namespace indigohill::cli
