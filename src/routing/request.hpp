#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/configuration.hpp"
#include "kvindex/index.hpp"
#include "rollout/record.hpp"

// What routing needs to know of a request, and the ranking of runners that is kept with it.
namespace indigohill::routing {

struct RankedRunner {
  kvindex::RunnerId runner = 0;
  std::uint64_t idHash = 0;  // tells whether the number is still that runner's
  double cost = 0;
  std::uint32_t uncachedTokens = 0;  // prompt tokens that are probably not kept there; 0: not estimated
};

// The runners that a request may go to, as they were scored when it came, the cheapest first. Computed once; admission
// and stream recovery take the next one from it.
struct Ranking {
  std::vector<RankedRunner> order;
  bool all = false;  // holds every runner of the service
};

struct RequestProfile {
  const control::Route* route = nullptr;
  std::string service;
  kvindex::PromptParts prompt;
  std::uint64_t model = 0;  // the model's name, hashed
  std::uint32_t promptTokens = 0, outTokens = 0;
  std::uint32_t attempts = 0;
  Ranking ranking;
  std::set<std::string> triedRunners;
  std::string modelName;
  // A stream that goes on: at a runner of the same snapshot alone, or of this version where the snapshot is not known.
  std::optional<rollout::Snapshot> snapshot;
  std::optional<std::uint64_t> version;
  base::TimePoint arrivedAt, deadline;
};

}  // namespace indigohill::routing
