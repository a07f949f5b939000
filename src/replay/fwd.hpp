#pragma once

namespace indigohill::replay {
class Fleet;
struct Comparison;
struct Model;
struct Outcome;
struct Recorded;
struct Trouble;
}  // namespace indigohill::replay
