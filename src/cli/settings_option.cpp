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

// What is wrong with a file that was read, for the role; empty if it is good.
template <class Read>
std::string errorFor(const base::Result<Read>& read, const settings::Settings* settings, const std::string& role) {
  const auto* bad = base::errorIn(read);
  const auto wrong = bad != nullptr ? bad->message : settings::missingFor(*settings, role);
  return wrong.empty() ? wrong : "settings: " + wrong;
}

const std::string kNoPath = std::string("no settings file: give --settings or set ") + kSettingsVariable;

}  // namespace

void addSettingsOption(CLI::App& command, std::string& path) {
  if (const char* named = std::getenv(kSettingsVariable)) path = named;
  command.add_option("--settings", path, "settings file")->capture_default_str();
}

std::variant<settings::Settings, int> loadSettings(const std::string& path, const std::string& role) {
  if (path.empty()) return fail(kNoPath);
  auto loaded = settings::read(path);
  if (const auto wrong = errorFor(loaded, std::get_if<0>(&loaded), role); !wrong.empty()) return fail(wrong);
  return std::get<0>(std::move(loaded));
}

std::variant<settings::TolerantSettings, int> awaitSettings(const std::string& path, const std::string& role) {
  if (path.empty()) return fail(kNoPath);
  const auto until = base::Clock::now() + kWrittenWithin;
  bool told = false;
  for (;;) {
    auto loaded = settings::readTolerantly(path, settings::defaultSettings());
    const auto* good = std::get_if<0>(&loaded);
    const auto wrong = errorFor(loaded, good != nullptr ? &good->settings : nullptr, role);
    if (wrong.empty()) return std::get<0>(std::move(loaded));
    if (base::Clock::now() >= until) return fail(wrong);
    if (!std::exchange(told, true)) fail(wrong + "; trying again in case it is being written");
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace indigohill::cli
