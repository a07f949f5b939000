#include "emulator/experiment.hpp"

#include <yaml-cpp/yaml.h>

#include <stdexcept>

namespace indigohill::emulator {

namespace {

template <class Value>
Value valueOf(const YAML::Node& node) {
  return node.as<Value>();
}
template <>
base::Millis valueOf<base::Millis>(const YAML::Node& node) {
  return base::Millis(node.as<std::int64_t>());
}

template <class Value>
void readField(const YAML::Node& root, const char* name, Value& value, Value least, Value most) {
  const auto node = root[name];
  if (!node) return;
  value = valueOf<Value>(node);
  if (value < least || value > most) throw std::invalid_argument(std::string(name) + ": out of range");
}

void checkNames(const YAML::Node& root) {
  for (const auto& field : root) {
    const auto name = field.first.as<std::string>();
#define INDIGOHILL_FIELD(type, known, fallback, least, most) \
  if (name == #known) continue;
    INDIGOHILL_EXPERIMENT(INDIGOHILL_FIELD)
#undef INDIGOHILL_FIELD
    throw std::invalid_argument(name + ": not known");
  }
}

}  // namespace

base::Result<Experiment> readExperiment(const std::string& path) {
  try {
    const auto root = YAML::LoadFile(path);
    checkNames(root);
    Experiment out;
#define INDIGOHILL_FIELD(type, name, fallback, least, most) readField(root, #name, out.name, type(least), type(most));
    INDIGOHILL_EXPERIMENT(INDIGOHILL_FIELD)
#undef INDIGOHILL_FIELD
    if (out.controllers > out.routers) throw std::invalid_argument("controllers: more than routers");
    if (out.patienceLeast > out.patienceMost) throw std::invalid_argument("patienceLeast: over patienceMost");
    return out;
  } catch (const std::exception& error) {
    return base::Error{base::ErrorCode::InvalidInput, path + ": " + error.what()};
  }
}

}  // namespace indigohill::emulator
