#include "cli/settings_watch.hpp"

#include <system_error>

#include "base/log.hpp"

namespace indigohill::cli {

namespace {

void logRejected(const std::string& why) { base::logError(base::LogEvent("settings_rejected").with("error", why)); }

bool needsRestart(const settings::Settings& before, const settings::Settings& after) {
  return after.frontend != before.frontend || after.controlPlane != before.controlPlane ||
         after.readiness != before.readiness || after.dataDirectory != before.dataDirectory ||
         after.internalPortRange != before.internalPortRange;
}

}  // namespace

void logUnreadable(const std::vector<std::string>& fields) {
  for (const auto& field : fields) base::logError(base::LogEvent("setting_unreadable").with("error", field));
}

SettingsWatch::SettingsWatch(std::string path, std::string role, settings::Settings current)
    : path_(std::move(path)), role_(std::move(role)), current_(std::move(current)), writtenAt_(writtenAt()) {}

bool SettingsWatch::check(bool signalled) {
  const auto writtenAt = this->writtenAt();
  if (!signalled && writtenAt == writtenAt_) return false;
  writtenAt_ = writtenAt;
  auto read = settings::readTolerantly(path_, current_);
  if (const auto* bad = base::errorIn(read)) {
    logRejected(bad->message);
    return false;
  }
  auto [next, unreadable] = std::get<settings::TolerantSettings>(std::move(read));
  if (const auto missing = settings::missingFor(next, role_); !missing.empty()) {
    logRejected(missing);
    return false;
  }
  // Addresses, ports and the data directory take effect with the next start.
  if (needsRestart(current_, next)) base::logWarning(base::LogEvent("settings_need_restart"));
  base::setLogLevel(next.logLevel);
  current_ = std::move(next);
  base::logInfo(base::LogEvent("settings_applied"));
  logUnreadable(unreadable);
  return true;
}

std::filesystem::file_time_type SettingsWatch::writtenAt() const {
  std::error_code ignored;
  return std::filesystem::last_write_time(path_, ignored);
}

}  // namespace indigohill::cli
