#include "routing/fleet_size.hpp"

#include <algorithm>

namespace indigohill::routing {

void FleetSize::record(std::size_t routers, base::Millis keep, base::TimePoint now) {
  if (routers > 0 && (changes_.empty() || changes_.back().routers != routers)) changes_.push_back({now, routers});
  while (changes_.size() > 1 && now - changes_[1].at >= keep) changes_.pop_front();
}

std::size_t FleetSize::largest(base::TimePoint now, base::Millis memory) const {
  if (changes_.empty() || joinedWithin(now, memory)) return 0;
  std::size_t most = changes_.back().routers;
  for (std::size_t i = 0; i + 1 < changes_.size(); ++i)
    if (now - changes_[i + 1].at < memory) most = std::max(most, changes_[i].routers);
  return std::max<std::size_t>(1, most);
}

}  // namespace indigohill::routing
