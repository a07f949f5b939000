#pragma once
#include <map>
#include <string>
#include <vector>

#include "replay/fleet.hpp"

namespace indigohill::replay {

struct Counts {
  std::size_t requests = 0, inAim = 0, late = 0, missing = 0, doubled = 0, furtherRuns = 0;
  std::uint64_t tokensReadAgain = 0;  // of shared parts that some runner had read before
  bool operator==(const Counts&) const = default;
};

// What one policy does to each request that the other does otherwise.
struct Change {
  std::string id, route, from, to;
};

struct Comparison {
  std::map<std::string, Counts> current, changed;  // by route
  std::vector<Change> worse, better;
  bool holds() const { return worse.empty(); }
};

// `late`, `missing`, `doubled`, or `in aim`.
std::string standing(const Outcome& outcome);
Comparison compare(const std::vector<Outcome>& current, const std::vector<Outcome>& changed);
std::string asText(const Comparison& comparison, std::size_t most);
std::string asJson(const Comparison& comparison);

}  // namespace indigohill::replay
