#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "control/configuration.hpp"
#include "schema/messages.hpp"

// Slow start: which routers may send to a runner that is still warming up, and how much. Together they keep under one
// bound (rule FAILBACK).
namespace indigohill::routing {

struct Bounds;

// A router of a group, as far as shares rest on it.
struct RouterId {
  std::uint64_t incarnation = 0, zone = 0;  // the zone's hash
  auto operator<=>(const RouterId&) const = default;
};
using Routers = std::vector<RouterId>;
Routers routersOf(const schema::View& view);
// Rendezvous order of routers for a runner: the same at every router.
std::uint64_t routerRank(const std::string& instanceId, std::uint64_t incarnation);

// How many routers have a share of a warming runner's rate, of `routers` there are: as many as may each have one
// request in hand besides the whole of the rate.
std::size_t slowStartRouters(const control::Service& service, const Bounds& bounds, std::size_t routers);
// Requests a second that each holder may send there.
double slowStartRate(const control::Service& service, const Bounds& bounds, std::size_t routers);

// The groups that this router may still share a warming runner's rate with: the views and the extensions it has
// acknowledged. A group stops counting when a later view has been delivered and every lease of its time has lapsed.
// The holders of a runner are the first in rendezvous order, of its own zone before the others. A router is one only if
// it is one in every group that counts; since those who hold a lease always have one such group in common, there are
// never more than that group names.
class SlowStartShares {
 public:
  void delivered(const Routers& routers, std::uint64_t self, base::TimePoint now);
  void proposed(const Routers& routers);
  // Requests a second to that runner; 0 for one that is no holder. `memory`: how long a group counts after the next
  // view, the lease and a margin.
  double rate(const std::string& instanceId, std::string_view zone, const control::Service& service,
              const Bounds& bounds, base::Millis memory, base::TimePoint now);

 private:
  struct Group {
    Routers routers;
    base::TimePoint overSince = base::TimePoint::max();  // when a later view came
  };
  struct Place {
    std::uint64_t generation = 0;
    std::size_t before = 0;  // the most routers that come before this one, over the groups that count
  };
  std::size_t placeOf(const std::string& instanceId, std::string_view zone);
  void add(const Routers& routers);

  std::vector<Group> groups_;
  std::uint64_t self_ = 0, generation_ = 1;
  std::map<std::string, Place, std::less<>> places_;
};

}  // namespace indigohill::routing
