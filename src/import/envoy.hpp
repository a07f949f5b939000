#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.hpp"

// Reads a subset of Envoy's static configuration (YAML or JSON, by yaml-cpp) and makes our configuration of it.
// docs/import.md says which fields are carried over. What is not is listed, never dropped in silence.
namespace indigohill::import {

struct Imported {
  std::string document;            // our configuration, JSON
  std::vector<std::string> notes;  // what could not be carried over as it stands, each with its line
};

base::Result<Imported> fromEnvoy(const std::string& text, std::uint64_t revision);

}  // namespace indigohill::import
