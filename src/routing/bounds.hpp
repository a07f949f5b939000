#pragma once
#include <cstddef>

#include "base/time.hpp"
#include "settings/settings.hpp"

// The limits that routing keeps to, as taken from the settings.
namespace indigohill::routing {

struct Bounds {
  double retryRatio = 0.2, retrySlack = 0, warmupOvershoot = 1.5, warmupSlack = 5;
  base::Millis retryWindow{10000}, lease{1500};
  settings::Policy policy = settings::defaultPolicy();
  std::size_t indexBytes = 8u << 20;  // what the index of kept prompt parts may take
};

}  // namespace indigohill::routing
