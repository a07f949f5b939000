#include "routing/warming_requests.hpp"

#include <algorithm>
#include <cmath>

#include "base/invariant.hpp"

namespace indigohill::routing {

namespace {
constexpr base::Millis kSecond{1000};
constexpr double kRoundingError = 1e-6;

base::Invariant warmingWithinShare(
    "warming_within_share",
    "Within any second a router admits no more requests to a warming runner than its own "
    "share of that second, and one in hand.");
}  // namespace

std::uint64_t slowStartAllowance(double sharePerS) {
  return sharePerS <= 0 ? 0 : static_cast<std::uint64_t>(std::floor(sharePerS + 1 + kRoundingError));
}

WarmingRequests::Record& WarmingRequests::recordOf(const std::string& instanceId) {
  const auto found = records_.find(instanceId);
  if (found != records_.end()) return found->second;
  if (records_.size() >= kMaxRunners)
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [](const auto& a, const auto& b) { return a.second.askedAt < b.second.askedAt; }));
  auto& record = records_[instanceId];
  record.figures.instanceId = instanceId;
  return record;
}

// A share may change within the second: the largest one counts.
double WarmingRequests::largestShare(Record& record, double sharePerS, base::TimePoint now) {
  auto& shares = record.shares;
  if (shares.empty() || shares.back().perS != sharePerS) shares.push_back({now, sharePerS});
  while (shares.size() > 1 && now - shares[1].since >= kSecond) shares.pop_front();
  return std::max_element(shares.begin(), shares.end(), [](const Share& a, const Share& b) { return a.perS < b.perS; })
      ->perS;
}

void WarmingRequests::onAsked(const std::string& instanceId, double sharePerS, bool admitted, base::TimePoint now) {
  auto& record = recordOf(instanceId);
  auto& figures = record.figures;
  record.askedAt = now;
  figures.sharePerS = sharePerS;
  const auto allowance = slowStartAllowance(largestShare(record, sharePerS, now));
  if (!admitted) {
    ++refused_;
    return;
  }
  ++admitted_;
  ++figures.admitted;
  auto& times = record.admittedAt;
  while (!times.empty() && now - times.front() >= kSecond) times.pop_front();
  times.push_back(now);
  if (times.size() > figures.mostInSecond) {
    figures.mostInSecond = times.size();
    figures.allowance = allowance;
  }
  warmingWithinShare.check(times.size() <= allowance, [&](base::LogEvent event) {
    return std::move(event)
        .with("runner", instanceId)
        .with("admitted", times.size())
        .with("allowance", allowance)
        .with("sharePerS", sharePerS);
  });
}

std::vector<WarmingRequests::Figures> WarmingRequests::figures() const {
  std::vector<Figures> out;
  out.reserve(records_.size());
  for (const auto& [id, record] : records_) out.push_back(record.figures);
  return out;
}

}  // namespace indigohill::routing
