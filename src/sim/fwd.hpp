#pragma once

namespace indigohill::sim {
class World;
struct Node;
class Operators;
class WorstDay;
}  // namespace indigohill::sim
