#pragma once
#include <cstdint>
#include <span>
#include <vector>

// Prompts as routing sees them: the ids and lengths of their parts.
namespace indigohill::kvindex {

struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
  bool operator==(const PromptPart&) const = default;
};
using PromptParts = std::vector<PromptPart>;  // in their order
using PromptView = std::span<const PromptPart>;

}  // namespace indigohill::kvindex
