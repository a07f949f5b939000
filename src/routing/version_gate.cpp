#include "routing/version_gate.hpp"

#include <algorithm>

#include "routing/ejection.hpp"

namespace indigohill::routing {

namespace {
constexpr const char* kMismatched = "its answers are of another version";
}

void VersionGate::listed(const schema::RunnerEntry& entry, const rollout::InForce* now,
                         const rollout::InForce* before) {
  auto snapshot = rollout::snapshotOf(entry);
  const bool otherRollout = now != nullptr && (before == nullptr || before->number != now->number);
  if (snapshot != snapshot_ || otherRollout) {
    mismatched_ = false;
    rejections_ = 0;
    pausedUntil_ = {};
  }
  snapshot_ = std::move(snapshot);
  heldBack_ = now == nullptr ? "" : now->heldBack(snapshot_);
  if (now != nullptr && mismatched_ && heldBack_.empty()) heldBack_ = kMismatched;
}

bool VersionGate::mismatched(std::string_view model, std::optional<std::uint64_t> told) {
  // The list may have caught up while the answer was on its way.
  if (told && snapshot_.version(model) == told) return false;
  mismatched_ = true;
  if (!heldBack_.empty()) return false;
  heldBack_ = kMismatched;
  return true;
}

void VersionGate::rejected(base::Millis first, base::TimePoint now) {
  pausedUntil_ = now + first * (1u << std::min(rejections_++, kEjectionDoublings));
}

bool VersionGate::fits(const std::optional<rollout::Snapshot>& snapshot, std::optional<std::uint64_t> version,
                       std::string_view model, base::TimePoint now) const {
  if (pausedUntil_ > now) return false;
  if (snapshot) return *snapshot == snapshot_;
  return !version || snapshot_.version(model) == version;
}

}  // namespace indigohill::routing
