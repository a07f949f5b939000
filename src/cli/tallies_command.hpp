#pragma once
#include "cli/status_command.hpp"

namespace indigohill::cli {

// Shows how a controller's replica of the tallies stands. 0: it is whole; 1: it is cut off from others, or has adds
// that others lack, or has not caught up; 3: an input cannot be used, or that controller has no tallies; 5: no answer.
int showTallies(const StatusArguments& arguments);

}  // namespace indigohill::cli
