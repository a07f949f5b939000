#pragma once

namespace indigohill::kvindex {
class Index;
class SharedPool;
class Tiers;
struct Overlap;
}  // namespace indigohill::kvindex
