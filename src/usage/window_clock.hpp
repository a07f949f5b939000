#pragma once
#include <atomic>
#include <cstdint>

#include "base/time.hpp"

// The time of day by which usage windows are counted. It runs with the steady clock. The machine's time of day, which
// may step, is only followed slowly, and a daemon whose time differs from what the fleet agrees on is set right at
// once.
namespace indigohill::usage {

class WindowClock {
 public:
  WindowClock(base::Millis window, base::TimePoint now, std::int64_t wallMs);

  // Thread-safe, as are all reads.
  std::int64_t unixMs(base::TimePoint at) const { return base::toMs(at) + offsetMs_.load(std::memory_order_relaxed); }
  // Number of the window that `at` lies in: window k begins k window lengths after the start of 1970.
  std::uint64_t windowAt(base::TimePoint at) const;
  // When the window ends.
  base::TimePoint endOf(std::uint64_t window) const;
  base::Millis window() const { return window_; }

  // The machine's time of day is `wallMs`: the clock is slewed towards it.
  void observe(base::TimePoint now, std::int64_t wallMs);
  // The fleet's time of day is `unixMs`. A difference that the way of a message explains changes nothing.
  void correct(base::TimePoint now, std::int64_t unixMs);

 private:
  base::Millis window_;
  std::atomic<std::int64_t> offsetMs_;  // of the time of day from the steady clock
  base::TimePoint observedAt_;
};

}  // namespace indigohill::usage
