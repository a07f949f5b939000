#pragma once
#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/time.hpp"

namespace indigohill::feed {

// The age of what was never confirmed, or never read.
constexpr std::uint32_t kUnknownAgeMs = 1'000'000;

// How long ago, in milliseconds, from 0 to kUnknownAgeMs.
inline std::uint32_t ageMs(base::TimePoint since, base::TimePoint now) {
  const auto age = std::chrono::duration_cast<base::Millis>(now - since).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, kUnknownAgeMs));
}

}  // namespace indigohill::feed
