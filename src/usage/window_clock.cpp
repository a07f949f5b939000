#include "usage/window_clock.hpp"

#include <algorithm>
#include <cstdlib>

namespace indigohill::usage {

namespace {

constexpr double kMaxSlew = 0.0005;                // of the time that passes: more than a quartz clock drifts
constexpr std::int64_t kExplainedByDelayMs = 300;  // a difference up to this may be the way of a message

}  // namespace

WindowClock::WindowClock(base::Millis window, base::TimePoint now, std::int64_t wallMs)
    : window_(std::max(window, base::Millis(100))), offsetMs_(wallMs - base::toMs(now)), observedAt_(now) {}

std::uint64_t WindowClock::windowAt(base::TimePoint at) const {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, unixMs(at)) / window_.count());
}

base::TimePoint WindowClock::endOf(std::uint64_t window) const {
  const auto endMs = static_cast<std::int64_t>(window + 1) * window_.count();
  return base::TimePoint(base::Millis(endMs - offsetMs_.load(std::memory_order_relaxed)));
}

void WindowClock::observe(base::TimePoint now, std::int64_t wallMs) {
  const auto allowed = static_cast<std::int64_t>(
      kMaxSlew * static_cast<double>(std::chrono::duration_cast<base::Millis>(now - observedAt_).count()));
  if (allowed < 1) return;
  observedAt_ = now;
  const auto difference = wallMs - unixMs(now);
  offsetMs_.fetch_add(std::clamp(difference, -allowed, allowed), std::memory_order_relaxed);
}

void WindowClock::correct(base::TimePoint now, std::int64_t fleetUnixMs) {
  const auto difference = fleetUnixMs - unixMs(now);
  if (std::abs(difference) > kExplainedByDelayMs) offsetMs_.fetch_add(difference, std::memory_order_relaxed);
}

}  // namespace indigohill::usage
