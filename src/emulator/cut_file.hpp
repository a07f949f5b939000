#pragma once
#include <set>
#include <string>
#include <utility>

#include "settings/settings.hpp"

// The file in which the soak tells its daemons who is cut off from whom: a line "FROM TO" for each direction, with the
// addresses that daemons have among each other.
namespace indigohill::emulator {

constexpr const char* kCutFileVariable = "INDIGOHILL_CUT_FILE";

using Cut = std::pair<settings::Endpoint, settings::Endpoint>;  // from, to
using Cuts = std::set<Cut>;

// Nothing is cut where the file cannot be read. Lines that are no pair of addresses are left out.
Cuts readCutFile(const std::string& path);
// Takes the place of the file before as a whole.
void writeCutFile(const std::string& path, const Cuts& cuts);

}  // namespace indigohill::emulator
