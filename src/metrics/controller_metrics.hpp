#pragma once
#include <string>

#include "base/time.hpp"
#include "control/controller.hpp"
#include "tally/replica.hpp"

namespace indigohill::metrics {

// What a controller tells: its group, the control state, its place in the epoch, its tallies (null: none are kept). On
// the thread of the core.
std::string controllerMetrics(const control::Controller& core, const tally::Replica* tallies,
                              std::uint64_t droppedMessages, base::TimePoint now);

}  // namespace indigohill::metrics
