#pragma once
#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include "base/hash.hpp"
#include "kvindex/logit.hpp"

// Where every router expects the shared parts of a prompt to be kept, without a message between them.
namespace indigohill::routing {

// The last part of a prompt is the request's own: what may be kept somewhere is named by the parts before it.
inline kvindex::PromptView sharedParts(kvindex::PromptView prompt) {
  return prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
}

// A number for the shared parts of a prompt, in their order; 0: there are none.
inline std::uint64_t sharedKey(kvindex::PromptView prompt) {
  std::uint64_t key = 0;
  for (const auto& [part, tokens] : sharedParts(prompt)) key = base::mix((key + 1) ^ base::mix(part)) | 1;
  return key;
}

// Rendezvous hashing: the first places for a key, the best first, as positions in `runners` (hashes of their ids).
// Every router has the same list and so the same order, and a runner that comes or goes moves only what it has.
inline std::vector<std::uint32_t> places(std::uint64_t key, std::span<const std::uint64_t> runners, std::size_t most) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> best;
  best.reserve(most + 1);
  for (std::uint32_t i = 0; i < runners.size(); ++i) {
    const auto rank = base::mix(runners[i] ^ key);
    if (best.size() == most) {
      if (rank <= best.back().first) continue;
      best.pop_back();
    }
    best.insert(std::find_if(best.begin(), best.end(), [&](const auto& b) { return b.first < rank; }), {rank, i});
  }
  std::vector<std::uint32_t> out;
  out.reserve(best.size());
  for (const auto& [rank, i] : best) out.push_back(i);
  return out;
}

}  // namespace indigohill::routing
