#include "usage/ledger.hpp"

#include <algorithm>

namespace indigohill::usage {

namespace {

constexpr base::Millis kFresh{2000};       // a router that was heard this lately counts for time and load
constexpr base::Millis kForgotten{60000};  // one that was silent for so long is forgotten

}  // namespace

void Ledger::merge(const schema::UsageCounts& counts, base::TimePoint now) {
  auto& router = routers_[counts.daemon];
  router.heardAt = now;
  router.completeThrough = std::max(router.completeThrough, counts.completeThrough);
  router.address = {counts.origin.ip, counts.origin.port};
  if (counts.sequence > router.sequence) {
    router.sequence = counts.sequence;
    router.offsetMs = counts.unixMs - base::toMs(now);
    router.loads = counts.loads;
    for (const auto& load : counts.loads) rejections_[load.service] += load.rejected;
  }
  for (const auto& entry : counts.entries) {
    if (entry.windowId <= delivered_) continue;
    auto& known = windows_[entry.windowId][counts.daemon][entry.tenant];
    known = std::max(known, entry.requests);
  }
  std::erase_if(routers_, [&](const auto& known) { return now - known.second.heardAt > kForgotten; });
}

void Ledger::forget(std::uint64_t through) {
  delivered_ = std::max(delivered_, through);
  windows_.erase(windows_.begin(), windows_.upper_bound(delivered_));
}

schema::UsageReport Ledger::report(std::uint64_t window, const std::vector<std::string>& tenants) const {
  Counts sums;
  for (const auto& tenant : tenants) sums[tenant] = 0;
  if (const auto found = windows_.find(window); found != windows_.end())
    for (const auto& [daemon, counts] : found->second)
      for (const auto& [tenant, count] : counts) sums[tenant] += count;
  schema::UsageReport out;
  out.windowId = window;
  out.counts.reserve(sums.size());
  for (const auto& [tenant, count] : sums) out.counts.push_back({tenant, count});
  return out;
}

bool Ledger::isComplete(std::uint64_t window, const std::set<settings::Endpoint>& routers,
                        base::TimePoint since) const {
  std::set<settings::Endpoint> complete;
  for (const auto& [daemon, router] : routers_)
    if (router.completeThrough >= window) complete.insert(router.address);
  const auto isIn = [&](const settings::Endpoint& address) { return complete.contains(address); };
  const bool othersComplete = std::all_of(routers_.begin(), routers_.end(), [&](const auto& entry) {
    return entry.second.heardAt < since || isIn(entry.second.address);
  });
  return othersComplete && std::all_of(routers.begin(), routers.end(), isIn);
}

std::optional<std::int64_t> Ledger::unixMs(base::TimePoint now) const {
  std::vector<std::int64_t> offsets;
  for (const auto& [daemon, router] : routers_)
    if (now - router.heardAt <= kFresh) offsets.push_back(router.offsetMs);
  if (offsets.empty()) return std::nullopt;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle + base::toMs(now);
}

std::map<std::string, schema::ServiceLoad> Ledger::loads(base::TimePoint now) const {
  std::map<std::string, schema::ServiceLoad> out;
  for (const auto& [daemon, router] : routers_) {
    if (now - router.heardAt > kFresh) continue;
    for (const auto& load : router.loads) {
      auto& sum = out[load.service];
      sum.service = load.service;
      sum.inProgress += load.inProgress;
      sum.queued += load.queued;
    }
  }
  return out;
}

std::map<std::string, std::uint64_t> Ledger::takeRejections() { return std::exchange(rejections_, {}); }

}  // namespace indigohill::usage
