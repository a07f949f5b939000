#pragma once
#include <chrono>
#include <cstdint>

namespace indigohill::base {

// The machine's time of day in milliseconds since 1970. It may step; usage::WindowClock makes a time of it that does
// not.
inline std::int64_t wallTimeMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace indigohill::base
