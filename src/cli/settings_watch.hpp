#pragma once
#include <filesystem>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "settings/settings.hpp"

namespace indigohill::cli {

constexpr base::Millis kSettingsInterval{1000};  // how often the settings file is looked at

// Logs `setting_unreadable` for each field that could not be read, as settings::TolerantSettings names them.
void logUnreadable(const std::vector<std::string>& fields);

// The settings of a daemon, which are read again at a signal or when the file has changed. Bad ones are logged and the
// old kept: all of them, or that field where it is a number or a flag. Not thread-safe.
class SettingsWatch {
 public:
  SettingsWatch(std::string path, std::string role, settings::Settings current);

  // Reads the file if it has changed, or in any case if `signalled`. True when other settings are in force now.
  bool check(bool signalled);
  const settings::Settings& current() const { return current_; }

 private:
  std::filesystem::file_time_type writtenAt() const;

  std::string path_, role_;
  settings::Settings current_;
  std::filesystem::file_time_type writtenAt_;
};

}  // namespace indigohill::cli
