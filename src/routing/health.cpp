#include "routing/health.hpp"

#include <algorithm>
#include <cmath>

#include "base/hash.hpp"

namespace indigohill::routing {

namespace {
constexpr std::size_t kReportersMost = 64;
constexpr std::uint32_t kDoublings = 3;
constexpr std::uint32_t kInTimeElsewhere = 4;
}  // namespace

std::vector<std::uint64_t> assessorsOf(const Routers& routers, const std::string& instanceId) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
  ranked.reserve(routers.size());
  for (const auto& router : routers)
    ranked.emplace_back(routerRank(instanceId, router.incarnation), router.incarnation);
  const auto most = std::min(kAssessors, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(most), ranked.end());
  std::vector<std::uint64_t> out;
  for (std::size_t i = 0; i < most; ++i) out.push_back(ranked[i].second);
  return out;
}

void Evidence::addReport(const RouterId& reporter, base::TimePoint now) {
  if (reporters_.size() < kReportersMost || reporters_.contains(reporter.incarnation))
    reporters_[reporter.incarnation] = {reporter.zone, now};
}

std::optional<std::uint64_t> Evidence::agreed(const Routers& routers, double expected, const Suspension& before,
                                              base::TimePoint now) {
  std::erase_if(reporters_, [&](const auto& router) { return now - router.second.second >= kEvidenceLife; });
  std::map<std::uint64_t, std::size_t> reports;
  std::uint64_t commonest = kEveryZone;
  std::size_t most = 0;
  for (const auto& [incarnation, r] : reporters_)
    if (const auto n = ++reports[r.first]; n > most) {
      most = n;
      commonest = r.first;
    }
  const auto inZone = static_cast<std::size_t>(
      std::count_if(routers.begin(), routers.end(), [&](const auto& router) { return router.zone == commonest; }));
  // One zone that has left it out by itself says nothing about the others.
  const bool eased = before.probationForAll(now);
  const std::size_t elsewhere = inZone == routers.size() ? 0 : eased ? 1 : 2;
  if (reporters_.size() >= reportsNeeded(expected, eased) && reporters_.size() - most >= elsewhere) return kEveryZone;
  const double ofZone =
      expected * static_cast<double>(inZone) / static_cast<double>(std::max<std::size_t>(1, routers.size()));
  if (most >= reportsNeeded(ofZone, before.probation(now))) return commonest;
  return std::nullopt;
}

void Suspension::begin(base::Millis first, bool byAll, base::TimePoint now) {
  if (holds(now)) return;
  if (!probation(now)) {
    times_ = 0;
    byAll_ = false;
  }
  byAll_ |= byAll;
  const auto length = first * (1u << std::min(times_, kDoublings));
  ++times_;
  until_ = now + length;
  probationUntil_ = until_ + 2 * length + kEvidenceLife;
}

void Lateness::late(const std::string& instanceId) {
  std::erase_if(waiting_, [&](const auto& waiting) { return waiting.first != instanceId; });
  waiting_.emplace(instanceId, 0);
}

std::vector<std::string> Lateness::inTime(const std::string& instanceId) {
  std::vector<std::string> out;
  for (auto& [id, times] : waiting_)
    if (id != instanceId && ++times >= kInTimeElsewhere) out.push_back(id);
  for (const auto& id : out) waiting_.erase(id);
  return out;
}

std::size_t reportsNeeded(double expected, bool probation) {
  const auto sixth = static_cast<std::size_t>(std::ceil(std::max(0.0, expected) / 6));
  return probation ? std::max<std::size_t>(2, sixth / 2) : std::max<std::size_t>(3, sixth);
}

}  // namespace indigohill::routing
