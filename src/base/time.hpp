#pragma once
#include <chrono>
#include <cstdint>

namespace indigohill::base {

// The steady clock alone: the time of day steps on some machines, so nothing here reads it.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

inline std::int64_t toMs(TimePoint at) { return std::chrono::duration_cast<Millis>(at.time_since_epoch()).count(); }
inline std::int64_t toMs(Clock::duration span) { return std::chrono::duration_cast<Millis>(span).count(); }
inline double seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace indigohill::base
