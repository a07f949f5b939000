#include "cli/settings_option.hpp"

#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

#include "base/time.hpp"

namespace indigohill::cli {

namespace {

constexpr int kBadSettings = 2;

constexpr base::Millis kWrittenWithin{5000};  // how long a file that is not complete may be one that is being written
constexpr base::Millis kPause{50};

int fail(const std::string& message) {
  std::cerr << "indigohill: " << message << std::endl;
  return kBadSettings;
}

base::Result<settings::Settings> readFor(const std::string& path, const std::string& role) {
  const auto wrong = [](const std::string& why) {
    return base::Error{base::ErrorCode::InvalidInput, "settings: " + why};
  };
  auto read = settings::read(path);
  if (const auto* bad = base::errorIn(read)) return wrong(bad->message);
  if (const auto missing = settings::missingFor(std::get<0>(read), role); !missing.empty()) return wrong(missing);
  return read;
}

const std::string kNoPath = std::string("no settings file: give --settings or set ") + kSettingsVariable;

}  // namespace

void addSettingsOption(CLI::App& command, std::string& path) {
  if (const char* named = std::getenv(kSettingsVariable)) path = named;
  command.add_option("--settings", path, "settings file")->capture_default_str();
}

std::variant<settings::Settings, int> loadSettings(const std::string& path, const std::string& role) {
  if (path.empty()) return fail(kNoPath);
  auto loaded = readFor(path, role);
  if (const auto* bad = base::errorIn(loaded)) return fail(bad->message);
  return std::get<0>(std::move(loaded));
}

std::variant<settings::Settings, int> awaitSettings(const std::string& path, const std::string& role) {
  if (path.empty()) return fail(kNoPath);
  const auto until = base::Clock::now() + kWrittenWithin;
  bool told = false;
  for (;;) {
    auto loaded = readFor(path, role);
    const auto* bad = base::errorIn(loaded);
    if (bad == nullptr) return std::get<0>(std::move(loaded));
    if (base::Clock::now() >= until) return fail(bad->message);
    if (!std::exchange(told, true)) fail(bad->message + "; trying again in case it is being written");
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace indigohill::cli
