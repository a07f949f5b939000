#pragma once
#include <string_view>

#include "kvindex/prompt.hpp"

namespace indigohill::proxy {

// Parts of `Indigohill-Prompt-Prefix`: ID:TOKENS joined by commas, the ID in hex. What cannot be read is left out.
kvindex::PromptParts parsePrompt(std::string_view text);

}  // namespace indigohill::proxy
