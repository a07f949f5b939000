#include "rollout/versions.hpp"

#include <charconv>

namespace indigohill::rollout {

namespace {
constexpr std::string_view kLine = "indigohill-weight-versions:";

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) text.remove_suffix(1);
  return text;
}

// Whether a line that begins here is the first of its event.
bool opensEvent(std::string_view events, std::size_t at) {
  if (at == 0) return true;
  const auto before = events.substr(0, at);
  return before.ends_with("\n\n") || before.ends_with("\n\r\n");
}
}  // namespace

ReportedVersion parseVersions(std::string_view value) {
  ReportedVersion out;
  while (!value.empty()) {
    const auto comma = value.find(',');
    const auto part = trimmed(value.substr(0, comma));
    value = comma == std::string_view::npos ? std::string_view{} : value.substr(comma + 1);
    std::uint64_t number = 0;
    const auto [at, error] = std::from_chars(part.data(), part.data() + part.size(), number);
    if (error != std::errc{} || at != part.data() + part.size()) return {};
    if (out.version && *out.version != number) out.mixed = true;
    out.version = number;
  }
  return out;
}

std::optional<Forbidden> forbiddenChange(std::string_view events, std::optional<std::uint64_t>& version,
                                         const std::function<bool(std::uint64_t, std::uint64_t)>& allowed) {
  for (auto at = events.find(kLine); at != std::string_view::npos; at = events.find(kLine, at + 1)) {
    if (!opensEvent(events, at)) continue;
    auto rest = events.substr(at + kLine.size());
    const auto reported = parseVersions(trimmed(rest.substr(0, rest.find('\n'))));
    if (reported.mixed) return Forbidden{at, reported};
    if (!reported.version) continue;
    if (version && *reported.version != *version && !allowed(*version, *reported.version))
      return Forbidden{at, reported};
    version = reported.version;
  }
  return std::nullopt;
}

}  // namespace indigohill::rollout
