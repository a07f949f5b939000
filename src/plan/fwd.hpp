#pragma once

namespace indigohill::plan {
struct Daemons;
struct Inputs;
struct Plan;
}  // namespace indigohill::plan
