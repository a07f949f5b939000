#pragma once
#include <cstddef>
#include <deque>

#include "base/time.hpp"

// How many routers may share a limit at present.
namespace indigohill::routing {

// The largest number of routers in any view of the recent past. A router's share thus shrinks at once when the group
// grows, and grows only after every router that was left out has lost its lease.
class FleetSize {
 public:
  // The first view since this router had none.
  void joined(base::TimePoint now) { viewSince_ = now; }
  // A view or a proposal has so many routers (0: nothing known). What is older than `keep` is dropped.
  void record(std::size_t routers, base::Millis keep, base::TimePoint now);
  // 0 for a router that has just joined: it does not know how large the group was before, and has no share until every
  // lease of that time has lapsed.
  std::size_t largest(base::TimePoint now, base::Millis memory) const;
  bool joinedWithin(base::TimePoint now, base::Millis memory) const { return now - viewSince_ < memory; }

 private:
  struct Change {
    base::TimePoint at;
    std::size_t routers;
  };
  std::deque<Change> changes_;
  base::TimePoint viewSince_{};
};

}  // namespace indigohill::routing
