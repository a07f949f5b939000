#pragma once
#include <string>

#include "base/time.hpp"
#include "control/controller.hpp"
#include "tally/replica.hpp"

namespace indigohill::cli {

// What `GET /v1/Status` answers: a controller's place in the group and what it holds, as JSON. docs/operations.md says
// what the fields mean. `tallies`: null where none are kept.
std::string controllerStatus(const control::Controller& core, const tally::Replica* tallies,
                             std::uint64_t droppedMessages, base::TimePoint now);

}  // namespace indigohill::cli
