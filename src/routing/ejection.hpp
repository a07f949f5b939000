#pragma once
#include <algorithm>
#include <cstdint>

#include "base/time.hpp"

// Outlier ejection of one runner by this router alone, on the results of its own requests.
namespace indigohill::routing {

constexpr std::uint32_t kEjectionDoublings = 3;

// After consecutive failures a runner gets nothing for a while, then one trial request; a failed trial ejects it again
// for twice the time, up to three doublings.
class Ejection {
 public:
  // A request failed there. `first`: the length of the first ejection.
  void failed(base::Millis first, base::TimePoint now) {
    trial_ = false;
    if (++failures_ < kFailuresToEject && until_ == base::TimePoint{}) return;
    const auto doublings = std::min(kEjectionDoublings, failures_ - std::min(failures_, kFailuresToEject));
    until_ = now + first * (1u << doublings);
  }
  // A request ended there without a failure.
  void succeeded() { *this = {}; }
  // A request is sent there: the trial if an ejection has just ended.
  void admitted(base::TimePoint now) {
    if (until_ != base::TimePoint{} && until_ <= now) trial_ = true;
  }
  // A request ended without a result; another trial may be made.
  void ended() { trial_ = false; }
  // Whether the runner gets nothing now.
  bool holds(base::TimePoint now) const { return until_ > now || trial_; }

 private:
  static constexpr std::uint32_t kFailuresToEject = 2;

  std::uint32_t failures_ = 0;
  base::TimePoint until_{};
  bool trial_ = false;
};

}  // namespace indigohill::routing
