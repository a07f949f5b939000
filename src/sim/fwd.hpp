#pragma once

namespace indigohill::sim {
class World;
struct Node;
}  // namespace indigohill::sim
