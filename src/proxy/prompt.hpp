#pragma once
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace indigohill::proxy {

// Parts of `Indigohill-Prompt-Prefix`: ID:TOKENS joined by commas, the ID in hex. What cannot be read is left out.
std::vector<std::pair<std::uint64_t, std::uint32_t>> parsePrompt(std::string_view text);

}  // namespace indigohill::proxy
