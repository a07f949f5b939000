#pragma once
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "base/result.hpp"
#include "control/configuration.hpp"

// The files that the tools beside the daemons read.
namespace indigohill::cli {

// An input that cannot be used; the message names the file and what is wrong in it.
struct BadInput {
  std::string what;
};

// The contents of a file. Throws `BadInput`.
std::string contents(const std::string& path);

// The value of a result. Throws `BadInput` with the path for an error.
template <class Value>
Value need(base::Result<Value> result, const std::string& path) {
  if (const auto* bad = base::errorIn(result)) throw BadInput{path + ": " + bad->message};
  return std::get<Value>(std::move(result));
}

// The configuration in a file. Throws `BadInput`.
std::shared_ptr<const control::Configuration> readConfiguration(const std::string& path);

}  // namespace indigohill::cli
