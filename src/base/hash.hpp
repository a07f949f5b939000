#pragma once
#include <cstdint>
#include <string_view>

namespace indigohill::base {

// FNV-1a with a final mix: the same on every daemon, which rendezvous hashing needs and std::hash does not promise.
inline std::uint64_t hash(std::string_view text, std::uint64_t seed = 14695981039346656037ULL) {
  for (const unsigned char byte : text) seed = (seed ^ byte) * 1099511628211ULL;
  seed ^= seed >> 33;
  seed *= 0xff51afd7ed558ccdULL;
  seed ^= seed >> 33;
  return seed;
}

// One number into another with all bits stirred; also the same on every daemon.
constexpr std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ value >> 33;
}

}  // namespace indigohill::base
