#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "rollout/record.hpp"

// Which weights one runner has, and whether a rollout lets it serve.
namespace indigohill::routing {

class VersionGate {
 public:
  // The list's entry, and the rollout of its service now and before (null: none). What responses reported against the
  // entry counts until the entry or the rollout is another one.
  void listed(const schema::RunnerEntry& entry, const rollout::InForce* now, const rollout::InForce* before);
  // A response reported another version of the model than the list (none: a mixture). Whether the runner is held back
  // now and was not before.
  bool mismatched(std::string_view model, std::optional<std::uint64_t> told);
  // The runner rejected a request for the listed version. It may just be changing, so it gets requests again, ever less
  // often: each time costs a further attempt.
  void rejected(base::Millis first, base::TimePoint now);

  // Why the rollout of its service keeps the runner from serving; empty: it does not.
  const std::string& heldBack() const { return heldBack_; }
  const rollout::Snapshot& snapshot() const { return snapshot_; }
  // Whether a request that is bound to a snapshot, or to a version of the model, may go there now.
  bool fits(const std::optional<rollout::Snapshot>& snapshot, std::optional<std::uint64_t> version,
            std::string_view model, base::TimePoint now) const {
    if (pausedUntil_ > now) return false;
    if (snapshot) return *snapshot == snapshot_;
    return !version || snapshot_.version(model) == version;
  }

 private:
  rollout::Snapshot snapshot_;
  std::string heldBack_;
  bool mismatched_ = false;
  std::uint32_t rejections_ = 0;
  base::TimePoint pausedUntil_{};
};

}  // namespace indigohill::routing
