#pragma once
#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace indigohill::control {

// Whether more than half of the voters are among those that have answered.
inline bool isMajority(const std::set<std::string>& answered, const std::vector<std::string>& voters) {
  const auto count =
      std::count_if(voters.begin(), voters.end(), [&](const auto& voter) { return answered.contains(voter); });
  return 2 * static_cast<std::size_t>(count) > voters.size();
}

}  // namespace indigohill::control
