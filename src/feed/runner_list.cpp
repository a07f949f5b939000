#include "feed/runner_list.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>

#include "base/hash.hpp"

namespace indigohill::feed {

namespace {

constexpr std::size_t kChangesKept = 32;

bool byId(const schema::RunnerEntry& a, const schema::RunnerEntry& b) { return a.instanceId < b.instanceId; }

std::uint64_t digestOf(const std::vector<schema::RunnerEntry>& runners) {
  std::uint64_t digest = runners.size();
  for (const auto& entry : runners) {
    digest = base::hash(
        fmt::format("{} {} {} {} {} {} {} {} {} {}", entry.instanceId, entry.service, entry.zone, entry.ip, entry.port,
                    entry.slots, entry.draining, entry.warmupLeftMs, entry.revision, entry.models.size()),
        digest);
    for (const auto& model : entry.models) {
      digest = base::hash(fmt::format("{} {} {}", model.name, model.revision, model.adapters.size()), digest);
      for (const auto& adapter : model.adapters) digest = base::hash(adapter, digest);
    }
  }
  return digest;
}

// The ids of the runners that are in one list alone or differ. Both are sorted by id.
std::vector<std::string> differences(const std::vector<schema::RunnerEntry>& before,
                                     const std::vector<schema::RunnerEntry>& after) {
  std::vector<std::string> out;
  auto old = before.begin();
  auto now = after.begin();
  while (old != before.end() || now != after.end()) {
    if (now == after.end() || (old != before.end() && byId(*old, *now))) {
      out.push_back((old++)->instanceId);
    } else if (old == before.end() || byId(*now, *old)) {
      out.push_back((now++)->instanceId);
    } else {
      if (!(*old == *now)) out.push_back(now->instanceId);
      ++old;
      ++now;
    }
  }
  return out;
}

}  // namespace

bool RunnerList::set(const schema::StateVersion& version, std::vector<schema::RunnerEntry> runners,
                     base::TimePoint listedAt) {
  if (known_ && version < version_) return false;
  listedAt_ = std::max(listedAt_, listedAt);
  if (known_ && version == version_) return false;
  // In order of the ids, so that everybody who holds a version holds the same.
  std::sort(runners.begin(), runners.end(), byId);
  if (known_) {
    changes_.push_back({version_, differences(runners_, runners)});
    if (changes_.size() > kChangesKept) changes_.pop_front();
  }
  runners_ = std::move(runners);
  digest_ = digestOf(runners_);
  version_ = version;
  known_ = true;
  completeWanted_ = false;
  return true;
}

bool RunnerList::apply(const schema::Update& update, const schema::UpdateContent& content, base::TimePoint listedAt) {
  if (!content.hasRunners) {
    // The same version, seen again by the platform's reader.
    if (known_ && update.runnersVersion == version_) listedAt_ = std::max(listedAt_, listedAt);
    return false;
  }
  if (known_ && update.runnersVersion <= version_) {
    completeWanted_ = false;  // nobody has more
    return false;
  }
  auto runners = content.runners;
  if (content.runnersBase != schema::StateVersion{}) {
    if (!known_ || content.runnersBase != version_) {
      completeWanted_ = true;
      return false;
    }
    std::set<std::string_view> changed(content.gone.begin(), content.gone.end());
    for (const auto& entry : content.runners) changed.insert(entry.instanceId);
    for (const auto& entry : runners_)
      if (!changed.contains(entry.instanceId)) runners.push_back(entry);
  }
  std::sort(runners.begin(), runners.end(), byId);
  if (digestOf(runners) != content.runnersDigest) {
    completeWanted_ = true;
    return false;
  }
  return set(update.runnersVersion, std::move(runners), listedAt);
}

void RunnerList::addTo(schema::UpdateContent& content, const schema::StateVersion& base) const {
  content.hasRunners = true;
  content.runnersDigest = digest_;
  std::set<std::string_view> changedIds;
  auto change = std::find_if(changes_.begin(), changes_.end(), [&](const auto& known) { return known.from == base; });
  const bool baseKnown = change != changes_.end();
  for (; change != changes_.end(); ++change) changedIds.insert(change->instanceIds.begin(), change->instanceIds.end());
  if (!baseKnown || changedIds.size() >= runners_.size()) {
    content.runners = runners_;
    return;
  }
  content.runnersBase = base;
  for (const auto& entry : runners_)
    if (changedIds.erase(entry.instanceId) > 0) content.runners.push_back(entry);
  content.gone.assign(changedIds.begin(), changedIds.end());
}

}  // namespace indigohill::feed
