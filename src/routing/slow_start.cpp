#include "routing/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.hpp"
#include "membership/group.hpp"
#include "routing/bounds.hpp"

namespace indigohill::routing {

namespace {
constexpr std::size_t kPlacesMost = 4096;

// What all may send in one second, with something kept back for what is on its way.
double mostPerS(const control::Service& service, const Bounds& bounds) {
  return 0.9 * (service.warmupPerS * bounds.warmupOvershoot + bounds.warmupSlack);
}
}  // namespace

std::uint64_t routerRank(const std::string& instanceId, std::uint64_t incarnation) {
  return base::hash({reinterpret_cast<const char*>(&incarnation), sizeof incarnation}, base::hash(instanceId) + 1);
}

Routers routersOf(const schema::View& view) {
  Routers out;
  for (const auto& member : view.members)
    if (member.role == static_cast<std::uint8_t>(membership::Role::Router))
      out.push_back({member.incarnation, base::hash(member.zone)});
  return out;
}

std::size_t slowStartRouters(const control::Service& service, const Bounds& bounds, std::size_t routers) {
  const double spare = mostPerS(service, bounds) - service.warmupPerS;
  return std::min(routers, static_cast<std::size_t>(std::max(1.0, std::floor(spare))));
}

double slowStartRate(const control::Service& service, const Bounds& bounds, std::size_t routers) {
  if (routers == 0) return 0;
  const auto n = static_cast<double>(slowStartRouters(service, bounds, routers));
  return std::max(0.0, std::min(service.warmupPerS, mostPerS(service, bounds) - n) / n);
}

void SlowStartShares::add(const Routers& routers) {
  for (const auto& group : groups_)
    if (group.overSince == base::TimePoint::max() && group.routers == routers) return;
  groups_.push_back({routers, base::TimePoint::max()});
  ++generation_;
}

void SlowStartShares::delivered(const Routers& routers, std::uint64_t self, base::TimePoint now) {
  for (auto& group : groups_) group.overSince = std::min(group.overSince, now);
  if (self != self_) ++generation_;
  self_ = self;
  add(routers);
}

// An extension counts from the moment it is acknowledged: it may be committed elsewhere. It goes on counting when
// another takes its place, until a view tells which of them it was.
void SlowStartShares::proposed(const Routers& routers) { add(routers); }

std::size_t SlowStartShares::placeOf(const std::string& instanceId, std::string_view zone) {
  if (places_.size() > kPlacesMost) places_.clear();
  auto& place = places_[instanceId];
  if (place.generation == generation_) return place.before;
  place = {generation_, 0};
  const auto zoneHash = base::hash(zone);
  for (const auto& group : groups_) {
    const auto self = std::find_if(group.routers.begin(), group.routers.end(),
                                   [&](const auto& router) { return router.incarnation == self_; });
    // Without a place in one of them there is no part.
    if (self == group.routers.end()) return place.before = std::numeric_limits<std::size_t>::max();
    const auto key = [&](const RouterId& router) {
      return std::tuple(router.zone != zoneHash, routerRank(instanceId, router.incarnation), router.incarnation);
    };
    const auto own = key(*self);
    place.before = std::max(
        place.before, static_cast<std::size_t>(std::count_if(group.routers.begin(), group.routers.end(),
                                                             [&](const auto& router) { return key(router) < own; })));
  }
  return place.before;
}

double SlowStartShares::rate(const std::string& instanceId, std::string_view zone, const control::Service& service,
                             const Bounds& bounds, base::Millis memory, base::TimePoint now) {
  if (std::erase_if(groups_, [&](const auto& group) {
        return group.overSince != base::TimePoint::max() && now - group.overSince >= memory;
      }) > 0)
    ++generation_;
  if (groups_.empty()) return 0;
  // The largest group gives the number of holders and so the smallest rate.
  std::size_t most = 0, least = std::numeric_limits<std::size_t>::max();
  for (const auto& group : groups_) {
    most = std::max(most, group.routers.size());
    least = std::min(least, group.routers.size());
  }
  if (placeOf(instanceId, zone) >= slowStartRouters(service, bounds, least)) return 0;
  return slowStartRate(service, bounds, most);
}

}  // namespace indigohill::routing
