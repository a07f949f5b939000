#pragma once
#include <algorithm>
#include <optional>

#include "base/time.hpp"

// A rate limit with a bounded burst.
namespace indigohill::routing {

class TokenBucket {
 public:
  // Holds one token; the first refill sets the time from which tokens accrue.
  TokenBucket() = default;
  // Holds one token; tokens accrue from `since` on.
  explicit TokenBucket(base::TimePoint since) : refilledAt_(since) {}

  void refill(double ratePerS, double burst, base::TimePoint now) {
    tokens_ = std::min(burst, tokens_ + ratePerS * base::seconds(now - refilledAt_.value_or(now)));
    refilledAt_ = now;
  }
  // Takes one token if there is a whole one.
  bool take() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 1;
  std::optional<base::TimePoint> refilledAt_;
};

}  // namespace indigohill::routing
