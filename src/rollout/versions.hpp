#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

// The versions that answers tell: `Indigohill-Weight-Versions` in a head, and as the first line of an event at which
// the version changes.
namespace indigohill::rollout {

// The one version that a value tells. None when it is empty or cannot be read; so nothing is rejected because a runner
// tells nothing. Several different numbers are a mixture, which equals no version.
struct ReportedVersion {
  std::optional<std::uint64_t> version;
  bool mixed = false;
  bool differsFrom(std::uint64_t expected) const { return mixed || (version && *version != expected); }
};
ReportedVersion parseVersions(std::string_view value);

// The first event at which the version changes to one that `allowed` turns down: where it begins in `events` (whole
// events, one after the other), and what it tells. `version` follows the changes before it; while it is unknown, the
// first one reported is taken.
struct Forbidden {
  std::size_t at = 0;
  ReportedVersion reported;
};
std::optional<Forbidden> forbiddenChange(std::string_view events, std::optional<std::uint64_t>& version,
                                         const std::function<bool(std::uint64_t from, std::uint64_t to)>& allowed);

}  // namespace indigohill::rollout
