#pragma once
#include <algorithm>
#include <cstdint>

#include "base/result.hpp"
#include "kvindex/prompt.hpp"

namespace indigohill::kvindex {

// A pool of blocks that every runner can fetch from. This system has none; where there is one, it is asked beside the
// index, and a fault or an exception leaves the scoring to the index alone.
class SharedPool {
 public:
  virtual ~SharedPool() = default;
  // How many tokens of the prompt, from its first, the pool holds.
  virtual base::Result<std::uint64_t> held(std::uint64_t model, PromptView prompt) = 0;
};

// What the score of one runner is made of. Tokens are prompt tokens; blocks are of `blockTokens` tokens each.
struct Score {
  double overlapWeight = 1;
  double blockTokens = 1;
  double prefillTokens = 0;     // left to read there
  double decodeBlocks = 0;      // what runs there
  double sharedMultiplier = 0;  // how much of a read a fetch from the shared pool saves: 0 nothing, 1 all
  double sharedBeyond = 0;      // blocks in the shared pool beyond those that the runner keeps
};

// The lower, the better. Publisher: "HiCache: Hierarchical KV caching with tier-aware router integration", NVIDIA
// Dynamo, section "Scoring".
inline double logit(const Score& score) {
  const double reduction = score.sharedMultiplier * score.sharedBeyond * score.blockTokens;
  const double prefillTokens = std::max(0.0, score.prefillTokens - reduction);
  return score.overlapWeight * (prefillTokens / score.blockTokens) + score.decodeBlocks;
}

}  // namespace indigohill::kvindex
