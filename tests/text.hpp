#pragma once
#include <string>

// Small helpers on texts that several tests need.
namespace indigohill::tests {

inline bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}  // namespace indigohill::tests
