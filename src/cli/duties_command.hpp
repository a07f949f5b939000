#pragma once
#include "cli/status_command.hpp"

namespace indigohill::cli {

// Shows who holds which duty, as one controller knows it. 0: shown; 1: some duty has no holder; 3: an input cannot be
// used; 5: no answer, or from a controller that has lately heard of no primary with a majority.
int showDuties(const StatusArguments& arguments);

}  // namespace indigohill::cli
