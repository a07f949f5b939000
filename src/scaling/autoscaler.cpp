#include "scaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace indigohill::scaling {

namespace {

constexpr double kLevelTimeConstantS = 2, kSlopeTimeConstantS = 8;  // of the smoothing

// The weight of a measurement that comes `elapsedS` after the one before it.
double weightAfter(double elapsedS, double timeConstantS) { return 1 - std::exp(-elapsedS / timeConstantS); }

std::uint32_t sum(const std::map<std::string, std::uint32_t>& runners) {
  std::uint32_t out = 0;
  for (const auto& [zone, count] : runners) out += count;
  return out;
}

}  // namespace

void Trend::add(double value, base::TimePoint now) {
  if (!known_) {
    known_ = true;
    level_ = value;
    at_ = now;
    return;
  }
  const double elapsed = base::seconds(now - at_);
  if (elapsed <= 0) return;
  at_ = now;
  const double expected = level_ + slope_ * elapsed;
  const double before = level_;
  level_ = expected + weightAfter(elapsed, kLevelTimeConstantS) * (value - expected);
  const double slope = (level_ - before) / elapsed;
  slope_ += weightAfter(elapsed, kSlopeTimeConstantS) * (slope - slope_);
}

double Trend::predict(base::Clock::duration ahead) const {
  return std::max(0.0, level_ + slope_ * base::seconds(ahead));
}

// A zone may be lost: what is left must carry the demand.
double Autoscaler::demandedRunners(const ServiceState& state, std::uint32_t present, base::TimePoint now) {
  requests_.add(state.requests, now);
  const auto zones = static_cast<double>(state.runners.size());
  const double spread = zones > 1 ? zones / (zones - 1) : 1;
  const double demand = std::max(requests_.predict(state.leadTime), requests_.predict({}));
  const double perRunner = options_.targetUtilization * std::max<std::uint32_t>(1, state.slots);
  double wanted = demand / perRunner * spread;
  const bool withinTolerance = std::abs(wanted - present) <= options_.tolerance * present;
  if (withinTolerance) wanted = present;
  if (!state.overloaded) overloadedSince_.reset();
  if (state.overloaded && !overloadedSince_) overloadedSince_ = now;
  if (overloadedSince_ && now - *overloadedSince_ >= options_.sustained)
    wanted = std::max(wanted, present * (1 + options_.overloadGrowth));
  return wanted;
}

// More runners at once, fewer only when the whole window wanted fewer.
std::uint32_t Autoscaler::stabilized(std::uint32_t wanted, std::uint32_t present, base::TimePoint now) {
  recent_.emplace_back(now, wanted);
  while (now - recent_.front().first > options_.stabilization) recent_.pop_front();
  if (!plannedSince_) plannedSince_ = now;
  if (wanted >= present) return wanted;
  if (now - *plannedSince_ < options_.stabilization) return present;
  std::uint32_t most = 0;
  for (const auto& [at, then] : recent_) most = std::max(most, then);
  return std::min(most, present);
}

std::map<std::string, std::uint32_t> Autoscaler::plan(const ServiceState& state, base::TimePoint now) {
  const auto present = sum(state.runners);
  const auto zones = static_cast<std::uint32_t>(state.runners.size());
  if (zones == 0) return {};
  const auto least = state.minInstances * zones;
  const auto most = std::max(least, state.maxInstances * zones);
  const auto demanded = std::ceil(std::min(demandedRunners(state, present, now), 1e6));
  const auto wanted = std::clamp(static_cast<std::uint32_t>(demanded), least, most);
  const auto total = stabilized(wanted, present, now);
  std::map<std::string, std::uint32_t> out;
  std::uint32_t rest = total % zones;
  for (const auto& [zone, count] : state.runners) {
    const auto share = total / zones + (rest > 0 ? 1 : 0);
    if (rest > 0) --rest;
    out[zone] = std::clamp(share, state.minInstances, std::max(state.minInstances, state.maxInstances));
  }
  return out;
}

}  // namespace indigohill::scaling
