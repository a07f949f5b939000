#pragma once
#include "duties/agent.hpp"

namespace indigohill::duties {

// What a daemon is told of duties when it starts.
struct Setup {
  Agent::Options options;
  base::Millis usageWindow{5000};
  base::TimePoint startedAt{};
  std::int64_t wallMs = 0;  // the machine's time of day at `startedAt`
};

}  // namespace indigohill::duties
