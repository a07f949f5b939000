// Disks of the simulated world: commits as the store makes them, and what lies on them.
#include "sim/world.hpp"

#include <algorithm>

namespace indigohill::sim {

using base::Millis;

namespace {

constexpr Millis kDiskSync{4};
// Stands for the token of a write whose failure was reported already.
constexpr std::uint64_t kToldBefore = ~0ULL;

}  // namespace

void World::startCommit(std::size_t i) {
  auto& node = *nodes_[i];
  if (!node.committing.empty() || node.unsynced.empty()) return;
  node.committing = std::exchange(node.refused, {});
  node.committing.insert(node.committing.end(), std::make_move_iterator(node.unsynced.begin()),
                         std::make_move_iterator(node.unsynced.end()));
  node.unsynced.clear();
  after(kDiskSync + Millis(random_() % 4) + node.diskDelay,
        [this, i, incarnation = node.incarnation] { finishCommit(i, incarnation); });
}

void World::finishCommit(std::size_t i, std::uint64_t incarnation) {
  auto& node = *nodes_[i];
  if (!node.alive || node.incarnation != incarnation) return;
  if (node.diskStalled) {
    after(Millis(50), [this, i, incarnation] { finishCommit(i, incarnation); });
    return;
  }
  const auto outcome = node.diskFull ? control::WriteOutcome::Failed : control::WriteOutcome::Synced;
  const auto writes = std::exchange(node.committing, {});
  for (const auto& write : writes) {
    if (outcome == control::WriteOutcome::Synced)
      node.disk[write.slot] = write.bytes;
    else
      node.refused.push_back({kToldBefore, write.slot, write.bytes});
  }
  for (const auto& write : writes)
    if (write.token != kToldBefore)
      onNode(i, incarnation, Input::Disk, [this, i, token = write.token, outcome] {
        control::Effects effects;
        nodes_[i]->controller->onDiskWrite(token, outcome, now_, effects);
        perform(i, effects);
      });
  if (node.alive && node.incarnation == incarnation) startCommit(i);
}

std::optional<schema::StateVersion> World::versionOnDisk(const Node& node) {
  const auto found = node.disk.find(control::Slot::State);
  if (found == node.disk.end()) return std::nullopt;
  auto kept = net::decodeControlState(found->second);
  if (base::errorIn(kept)) return std::nullopt;
  return std::get<0>(kept).version;
}

// A disk that was lost a moment ago counts as well: what it had acknowledged may just have arrived.
std::size_t World::copiesOf(const schema::StateVersion& version) const {
  constexpr Millis kOnItsWay{1000};
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    const bool justLost = node->lostVersion >= version && now_ - node->diskLostAt < kOnItsWay;
    const auto kept = versionOnDisk(*node);
    return justLost || (kept && *kept >= version);
  }));
}

}  // namespace indigohill::sim
