#pragma once
#include <spdlog/spdlog.h>

#include <memory>
#include <string>

#include "base/log_event.hpp"

namespace indigohill::base {

// JSON lines on standard output: {"ms":..,"level":..,"node":..,"role":..,"event":..,<fields>}; `ms` is of the steady
// clock. A message that is no event has "msg" in place of these. `level` is one of the settings' words.
void openLog(const std::string& node, const std::string& role, const std::string& level);
// A logger whose lines are JSON objects already, for records of traffic.
std::shared_ptr<spdlog::logger> openRecords();
bool isLogLevel(const std::string& level);
// `level` as for openLog.
void setLogLevel(const std::string& level);

// Whether debug events are written at present: asked before one is put together on the way of a request.
bool isDebugLogged();
void logDebug(const LogEvent& event);
void logInfo(const LogEvent& event);
void logWarning(const LogEvent& event);
void logError(const LogEvent& event);

}  // namespace indigohill::base
