#include "proxy/prompt.hpp"

#include <charconv>

namespace indigohill::proxy {

kvindex::PromptParts parsePrompt(std::string_view text) {
  kvindex::PromptParts out;
  while (!text.empty() && out.size() < 64) {
    const auto comma = text.find(',');
    auto part = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    while (part.starts_with(' ')) part.remove_prefix(1);
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) continue;
    const auto hex = part.substr(0, colon), count = part.substr(colon + 1);
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    const auto [at, error] = std::from_chars(hex.data(), hex.data() + hex.size(), id, 16);
    if (error != std::errc{} || at != hex.data() + hex.size()) continue;
    std::from_chars(count.data(), count.data() + count.size(), tokens);
    out.push_back({id, tokens});
  }
  return out;
}

}  // namespace indigohill::proxy
