#pragma once
#include <cstdint>
#include <deque>

#include "base/time.hpp"

// How many further attempts a router may make for a service: a ratio of its own requests in a sliding window, plus a
// share of a fleet-wide slack.
namespace indigohill::routing {

struct Bounds;

// One router's share of the attempts beyond the ratio in each window, for a number of routers; 0 for 0 routers.
double slackShare(const Bounds& bounds, std::size_t routers);

// Counts events over the last `window`, in buckets of a quarter of a second.
class SlidingCount {
 public:
  void add(base::TimePoint now, base::Millis window);
  void expire(base::TimePoint now, base::Millis window);
  std::uint64_t sum() const { return sum_; }

 private:
  struct Bucket {
    base::TimePoint since;
    std::uint32_t count = 0;
  };
  std::deque<Bucket> buckets_;
  std::uint64_t sum_ = 0;
};

class RetryBudget {
 public:
  void countRequest(base::TimePoint now, base::Millis window) { requests_.add(now, window); }
  // Whether one further attempt is within the budget; it is counted if so. `slack`: see slackShare().
  bool admitRetry(const Bounds& bounds, double slack, base::TimePoint now);
  // Requests in the window, as of the last call that expired it.
  std::uint64_t requests() const { return requests_.sum(); }

 private:
  SlidingCount requests_, retries_;
};

}  // namespace indigohill::routing
