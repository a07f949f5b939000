#include "cli/settings_option.hpp"

#include <cstdlib>
#include <iostream>

namespace indigohill::cli {

namespace {

constexpr int kBadSettings = 2;

int fail(const std::string& message) {
  std::cerr << "indigohill: " << message << "\n";
  return kBadSettings;
}

}  // namespace

void addSettingsOption(CLI::App& command, std::string& path) {
  if (const char* named = std::getenv(kSettingsVariable)) path = named;
  command.add_option("--settings", path, "settings file")->capture_default_str();
}

std::variant<settings::Settings, int> loadSettings(const std::string& path, const std::string& role) {
  if (path.empty()) return fail(std::string("no settings file: give --settings or set ") + kSettingsVariable);
  auto read = settings::read(path);
  if (const auto* bad = base::errorIn(read)) return fail("settings: " + bad->message);
  auto loaded = std::get<settings::Settings>(std::move(read));
  if (const auto missing = settings::missingFor(loaded, role); !missing.empty()) return fail("settings: " + missing);
  return loaded;
}

}  // namespace indigohill::cli
