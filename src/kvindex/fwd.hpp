#pragma once

namespace indigohill::kvindex {
class Index;
class SharedPool;
class Tiers;
struct Overlap;
struct PromptPart;
}  // namespace indigohill::kvindex
