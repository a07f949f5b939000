#pragma once
#include <cstddef>
#include <string_view>

namespace indigohill::base {

// Whether two texts are equal. The time that it takes depends on their lengths alone, so that it tells nothing of a
// secret that one of them is.
inline bool equalInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i)
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  return difference == 0;
}

}  // namespace indigohill::base
