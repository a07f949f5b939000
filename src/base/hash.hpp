#pragma once
#include <cstdint>
#include <string_view>

namespace indigohill::base {

// FNV-1a with a final mix: the same on every daemon, which rendezvous hashing needs and std::hash does not promise.
inline std::uint64_t hash(std::string_view text, std::uint64_t seed = 14695981039346656037ULL) {
  for (const unsigned char c : text) seed = (seed ^ c) * 1099511628211ULL;
  seed ^= seed >> 33;
  seed *= 0xff51afd7ed558ccdULL;
  seed ^= seed >> 33;
  return seed;
}

}  // namespace indigohill::base
