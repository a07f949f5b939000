#pragma once
#include <spdlog/spdlog.h>

#include <string>

namespace indigohill::base {

// JSON lines on standard output: {"ms":steady,"level":..,"node":..,"msg":..}. `level` is one of the settings' words.
void openLog(const std::string& node, const std::string& role, const std::string& level);
// A logger whose lines are JSON objects already, for records of traffic.
std::shared_ptr<spdlog::logger> openRecords();
bool knownLevel(const std::string& level);

// Text safe to stand inside a JSON string.
std::string quoted(std::string_view text);

}  // namespace indigohill::base
