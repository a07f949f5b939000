#include "routing/retry_budget.hpp"

#include "routing/bounds.hpp"

namespace indigohill::routing {

namespace {
constexpr base::Millis kBucket{250};
constexpr double kRatioUsed = 0.9;  // of the allowed ratio
constexpr double kSlackUsed = 0.8;  // the rest covers what routers that were killed had used
}  // namespace

double slackShare(const Bounds& bounds, std::size_t routers) {
  return routers == 0 ? 0 : kSlackUsed * bounds.retrySlack / static_cast<double>(routers);
}

void SlidingCount::expire(base::TimePoint now, base::Millis window) {
  while (!buckets_.empty() && now - buckets_.front().since >= window) {
    sum_ -= buckets_.front().count;
    buckets_.pop_front();
  }
}

void SlidingCount::add(base::TimePoint now, base::Millis window) {
  expire(now, window);
  if (buckets_.empty() || now - buckets_.back().since >= kBucket) buckets_.push_back({now, 0});
  ++buckets_.back().count;
  ++sum_;
}

bool RetryBudget::admitRetry(const Bounds& bounds, double slack, base::TimePoint now) {
  requests_.expire(now, bounds.retryWindow);
  retries_.expire(now, bounds.retryWindow);
  // The ratio counts this router's own requests, which adds up over routers by itself.
  const double allowed = kRatioUsed * bounds.retryRatio * static_cast<double>(requests_.sum()) + slack;
  if (static_cast<double>(retries_.sum()) + 1 > allowed) return false;
  retries_.add(now, bounds.retryWindow);
  return true;
}

}  // namespace indigohill::routing
