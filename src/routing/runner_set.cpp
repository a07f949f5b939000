#include "routing/runner_set.hpp"

#include <algorithm>

#include "base/hash.hpp"

namespace indigohill::routing {

std::vector<kvindex::RunnerId> RunnerSet::update(std::shared_ptr<const RoutingSnapshot> snapshot, base::TimePoint now) {
  const auto before = std::exchange(snapshot_, std::move(snapshot));
  for (auto& [id, runner] : runners_) runner.listed = false;
  for (const auto& entry : snapshot_->runners) list(entry, *before, now);
  std::vector<kvindex::RunnerId> gone;
  std::erase_if(runners_, [&](const auto& item) {
    const auto& runner = item.second;
    // One in slow start that is not listed for a moment must not come back with a full bucket.
    if (runner.listed || runner.load.ownRequests() > 0 || runner.warmupUntil > now) return false;
    byNumber_[runner.number] = nullptr;
    gone.push_back(runner.number);
    return true;
  });
  collectCandidates();
  return gone;
}

void RunnerSet::list(const schema::RunnerEntry& entry, const RoutingSnapshot& before, base::TimePoint now) {
  const auto [found, added] = runners_.try_emplace(entry.instanceId);
  auto& runner = found->second;
  runner.entry = entry;
  if (added) number(runner);
  runner.listed = true;
  runner.version.listed(entry, snapshot_->rolloutOf(entry.service), before.rolloutOf(entry.service));
  // The list was read before it came here and lags by itself; what is left is counted from its arrival, on the safe
  // side. Nothing here asks whether the list is another than before, so none can be mistaken for the one that is held.
  if (entry.warmupLeftMs > 0)
    runner.warmupUntil = std::max(runner.warmupUntil, snapshot_->runnersReceivedAt + base::Millis(entry.warmupLeftMs));
  // Taken back from an evacuation, runners may have turned cold.
  const bool takenBack = before.evacuated.contains(entry.zone) && !snapshot_->evacuated.contains(entry.zone);
  if (!takenBack) return;
  if (const auto* service = snapshot_->service(entry.service))
    runner.warmupUntil = std::max(runner.warmupUntil, now + service->warmup);
}

void RunnerSet::collectCandidates() {
  candidates_.clear();
  for (auto& [id, runner] : runners_) {
    if (!usable(runner, runner.entry.service)) continue;
    auto& candidates = candidates_[runner.entry.service];
    candidates.runners.push_back(&runner);
    candidates.hashes.push_back(runner.idHash);
  }
}

void RunnerSet::number(Runner& runner) {
  runner.idHash = base::hash(runner.entry.instanceId);
  const auto free = std::find(byNumber_.begin(), byNumber_.end(), nullptr);
  runner.number = static_cast<kvindex::RunnerId>(free - byNumber_.begin());
  if (free == byNumber_.end())
    byNumber_.push_back(&runner);
  else
    *free = &runner;
}

Runner* RunnerSet::find(const std::string& instanceId) {
  const auto found = runners_.find(instanceId);
  return found == runners_.end() ? nullptr : &found->second;
}

const Runner* RunnerSet::find(const std::string& instanceId) const {
  const auto found = runners_.find(instanceId);
  return found == runners_.end() ? nullptr : &found->second;
}

const RunnerSet::Candidates* RunnerSet::candidatesOf(const std::string& service) const {
  const auto found = candidates_.find(service);
  return found == candidates_.end() ? nullptr : &found->second;
}

}  // namespace indigohill::routing
