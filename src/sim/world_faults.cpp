// What befalls machines and links of the simulated world.
#include "sim/world.hpp"

#include <algorithm>

namespace indigohill::sim {

using base::Millis;

// By cuts alone: machines that are down do not isolate the others.
void World::noteIsolation() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& node = *nodes_[i];
    if (!node.isController) continue;
    // A lease takes an echo, so both directions. As many as may be lost at once are never a majority of the voters.
    std::size_t reached = 0;
    for (std::size_t c = 0; c < shape_.controllers; ++c) reached += c == i || (!cutBetween(i, c) && !cutBetween(c, i));
    const bool isolated = reached <= losses() && shape_.controllers > 1;
    if (!isolated)
      node.isolatedSince.reset();
    else if (!node.isolatedSince)
      node.isolatedSince = now_;
  }
}

void World::kill(std::size_t i) { stop(i, false); }

// The store writes one transaction after the other, each synced before the next: what a sync has covered is there, of
// the rest nothing, or the one that was under way. Some losses of power take that too.
void World::powerOff(std::size_t i) { stop(i, true); }

void World::stop(std::size_t i, bool power) {
  auto& node = *nodes_[i];
  if (!node.alive) {
    ++node.incarnation;  // one that waits for its disk ends as well
    return;
  }
  node.alive = false;
  node.powered = !power;
  node.frozen = false;
  node.deferredInputs.clear();
  // The transaction under way is whole or absent; those after it have not begun.
  if (!node.diskStalled && !node.diskFull && random_() % (power ? 4 : 2) == 0)
    for (const auto& write : node.committing) node.disk[write.slot] = write.bytes;
  node.committing.clear();
  node.refused.clear();
  node.unsynced.clear();
  node.calls.clear();
  node.counted.clear();
  node.controller.reset();
  node.router.reset();
  node.table.reset();
  node.journal.reset();
}

void World::wipe(std::size_t i) {
  stop(i, true);
  auto& node = *nodes_[i];
  if (const auto kept = versionOnDisk(node)) {
    node.lostVersion = *kept;
    node.diskLostAt = now_;
  }
  node.disk.clear();
}

// What lies in the sockets may be read before the first timer fires.
void World::thaw(std::size_t i, WakeOrder order) {
  constexpr Millis kTimersLate{20};
  auto& node = *nodes_[i];
  node.frozen = false;
  auto held = std::exchange(node.deferredInputs, {});
  if (order == WakeOrder::OrdersFirst)
    std::stable_partition(held.begin(), held.end(), [](const auto& h) { return h.input == Input::Order; });
  for (auto& [input, handle] : held) {
    const bool late = order != WakeOrder::AsArrived && input == Input::Timer;
    after(late ? kTimersLate : Millis(0), std::move(handle));
  }
}

void World::setSeeds(std::size_t i, std::vector<settings::Endpoint> seeds) {
  auto& node = *nodes_[i];
  node.seeds = std::move(seeds);
  if (!node.alive) return;
  if (node.isController)
    node.controller->setSeeds(node.seeds);
  else
    node.router->setSeeds(node.seeds);
}

std::vector<settings::Endpoint> World::drawSeeds() {
  auto pool = controlNodes();
  std::shuffle(pool.begin(), pool.end(), random_);
  if (pool.size() > kSeeds) pool.resize(kSeeds);
  std::vector<settings::Endpoint> out;
  out.reserve(pool.size());
  for (const auto i : pool) out.push_back(nodes_[i]->peerAddress);
  return out;
}

void World::term(std::size_t i) {
  auto& node = *nodes_[i];
  if (!node.alive) return;
  if (node.isController) {
    control::Effects effects;
    node.controller->shutDown(now_, effects);
    perform(i, effects);
  } else {
    router::RouterEffects effects;
    node.router->leave(effects);
    perform(i, effects);
    after(Millis(3000), [this, i, incarnation = node.incarnation] {
      if (nodes_[i]->incarnation == incarnation) kill(i);
    });
  }
}

void World::replace(std::size_t i) {
  wipe(i);
  auto& node = *nodes_[i];
  node.peerAddress.ip += 0x100;
  node.control.ip = node.peerAddress.ip;
  node.name += "-new";
}

void World::cut(std::size_t a, std::size_t b, bool is, bool bothWays) {
  const auto one = [&](std::size_t from, std::size_t to) {
    if (is)
      cuts_.emplace(from, to);
    else
      cuts_.erase({from, to});
  };
  one(a, b);
  if (bothWays) one(b, a);
  noteIsolation();
}

void World::cutOff(std::size_t i, const std::set<std::size_t>& from, bool is) {
  for (const auto other : from)
    if (other != i) cut(i, other, is);
}

}  // namespace indigohill::sim
