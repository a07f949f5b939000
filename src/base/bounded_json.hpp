#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string_view>

#include "base/result.hpp"

namespace indigohill::base {

// What a JSON text may take when it is parsed: a value takes many times as much memory as its text.
struct JsonLimits {
  std::size_t memoryBytes = 24u << 20;
  std::size_t depth = 32;
};

// The value of a JSON text from outside; InvalidInput where it is no JSON or beyond the limits.
Result<boost::json::value> parseJson(std::string_view text, const JsonLimits& limits = {});

}  // namespace indigohill::base
