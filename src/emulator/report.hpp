#pragma once
#include <string>
#include <vector>

#include "emulator/soak_run.hpp"

namespace indigohill::emulator {

// A run as one JSON line.
std::string jsonLine(const RunResult& result);
// The runs as a table in Markdown, one row a seed, and a row of totals.
std::string table(const std::vector<RunResult>& results);

}  // namespace indigohill::emulator
