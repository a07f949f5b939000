// What must hold in the simulated world, looked at after each step, at each answer and at each message.
#include "sim/world.hpp"

#include <fmt/format.h>
#include <algorithm>
#include <array>
#include <map>

#include "base/lists.hpp"

namespace indigohill::sim {

using base::Millis;

namespace {

constexpr Millis kIsolationSlack{500};
constexpr double kRounding = 1e-9;

// What makes two views the same.
std::string content(const schema::View& view) {
  auto out = fmt::format("e{} l{}", view.epoch, view.discoveryLeader);
  for (const auto& member : view.members) out += fmt::format(" {}:{}:{}", member.id, member.incarnation, member.bootId);
  return out;
}

}  // namespace

// Cut off from all others for longer than a lease, a controller confirms nothing to those that poll it. (One that
// reaches the primary may pass its confirmation on.)
void World::checkIsolated(std::size_t i, const net::Outbox& out) {
  const auto& node = *nodes_[i];
  if (!node.isolatedSince || now_ <= *node.isolatedSince + membership::Times{}.lease + kIsolationSlack) return;
  for (const auto other : controlNodes())
    if (other != i && !cutBetween(other, i)) return;
  for (const auto& item : out)
    if (const auto* update = std::get_if<schema::Update>(&item.message);
        update != nullptr && base::Millis(update->stateAgeMs) < feed::Times{}.confirmationLife)
      breakRule(node.name + " confirms its configuration, cut off for longer than a lease");
}

// Whatever state an answer to a poll brings: at the moment that its age names, nothing newer had been acknowledged.
void World::checkConfirmations(std::size_t i, const net::Outbox& out) {
  for (const auto& item : out) {
    const auto* update = std::get_if<schema::Update>(&item.message);
    if (update == nullptr || update->stateAgeMs >= feed::kUnknownAgeMs) continue;
    const auto confirmedAt = now_ - Millis(update->stateAgeMs);
    const auto newest = std::find_if(acknowledged_.begin(), acknowledged_.end(),
                                     [&](const Acknowledged& entry) { return entry.at < confirmedAt; });
    if (newest != acknowledged_.end() && update->stateVersion < newest->version)
      breakRule(nodes_[i]->name + " confirms an older configuration than one acknowledged before");
  }
}

void World::breakRule(const std::string& what) {
  if (!broken_)
    broken_ = fmt::format("seed {}, after {} ms: {}", shape_.seed,
                          std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count() - 3'600'000, what);
}

// An acknowledgement means: on one disk more than may be lost, under the newest record. What was there once may be
// acknowledged again while one that held it is lost.
void World::checkAck(std::size_t i) {
  const auto& state = nodes_[i]->controller->replica().published();
  if (!state) {
    breakRule("acknowledged by a controller that shows no state");
    return;
  }
  acknowledged_.push_front({now_, state->version});
  if (durable_.contains(state->version)) return;
  const auto copies = copiesOf(state->version);
  if (copies < losses() + 1) breakRule(fmt::format("{} acknowledged with {} copies on disk", nodes_[i]->name, copies));
}

// Notes what is in force and lies on as many disks as it must.
void World::notePublished(std::size_t i) {
  const auto& replica = nodes_[i]->controller->replica();
  newestActiveEpoch_ = std::max(newestActiveEpoch_, replica.record()->epoch);
  const auto version = replica.published()->version;
  if (!durable_.contains(version) && copiesOf(version) > losses()) durable_.insert(version);
}

void World::check() {
  for (std::size_t i = 0; i < shape_.controllers; ++i) {
    const auto& node = *nodes_[i];
    if (node.alive && !node.frozen && node.controller->replica().active(now_)) notePublished(i);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]->alive) continue;
    checkView(*nodes_[i]);
    checkState(i);
  }
  checkVoters();
  if (shape_.warmupChecks) checkWarmupRates();
  checkShares();
  checkDuties();
  for (const auto& extra : checks) extra();
}

// Views only rise at a node, are the same everywhere, and give each incarnation once.
void World::checkView(Node& node) {
  const auto& installed = (node.isController ? node.controller->group() : node.router->group()).view();
  if (!installed) {
    node.lastView = 0;
    return;
  }
  const auto& view = *installed;
  if (view.number == node.lastView) return;
  if (view.number < node.lastView) breakRule(node.name + " goes back to an older view");
  node.lastView = view.number;
  const auto [known, isNew] = views_.emplace(view.number, content(view));
  // Two views of one number exist only where their quorums do, one after the other; both at once never.
  if (!isNew && known->second != content(view))
    breakRule(fmt::format("view {} differs: {} / {}", view.number, known->second, content(view)));
  for (const auto& member : view.members) {
    const auto who = fmt::format("{}/{}", member.id, member.bootId);
    const auto [holder, isFirst] = incarnations_.emplace(member.incarnation, who);
    if (!isFirst && holder->second != who)
      breakRule(fmt::format("incarnation {} given twice: {} and {}", member.incarnation, holder->second, who));
  }
}

// The control state only rises at a node.
void World::checkState(std::size_t i) {
  auto& node = *nodes_[i];
  const auto& state = (node.isController ? node.controller->publisher() : node.router->publisher()).state();
  if (!state) return;
  if (state->version < node.lastVersion || state->revision < node.lastRevision)
    breakRule(node.name + " goes back to an older configuration");
  if (onState && node.lastVersion != state->version) onState(i, *state);
  node.lastVersion = state->version;
  node.lastRevision = state->revision;
}

// No zone has so many voters that its loss stops the core, once there are as many voters as there should be.
void World::checkVoters() {
  for (std::size_t i = 0; i < shape_.controllers; ++i) {
    const auto& node = *nodes_[i];
    if (!node.alive || !node.controller->replica().active(now_) || !node.controller->replica().isFullyReplicated())
      continue;
    const auto& voters = node.controller->replica().record()->voters;
    if (voters.size() != 2 * shape_.faultTolerance + 1) breakRule(fmt::format("{} voters", voters.size()));
    if (!node.controller->group().view()) continue;
    std::map<std::string, std::size_t> votersOfZone;
    for (const auto& member : node.controller->group().view()->members)
      if (base::contains(voters, member.voterId) && ++votersOfZone[member.zone] > shape_.faultTolerance &&
          shape_.zones != 1)
        breakRule(fmt::format("{} voters in {}", votersOfZone[member.zone], member.zone));
  }
}

bool World::isRouterWithLease(const Node& node) const {
  return node.alive && !node.isController && !node.frozen && node.router->group().leaseHeld(now_);
}

// What the routers that hold a lease may send to a cold runner in one second: their rates and what each has in hand.
void World::checkWarmupRates() {
  constexpr std::array kCold{"cold-a", "cold-b", "cold-c"};
  control::Service service;
  service.warmupPerS = 2;
  const double most = service.warmupPerS * shape_.warmupOvershoot + shape_.warmupSlack;
  for (std::size_t cold = 0; cold < kCold.size(); ++cold) {
    const auto zone = fmt::format("zone-{}", cold % shape_.controllers);
    double sum = 0;
    for (const auto& node : nodes_) {
      if (!isRouterWithLease(*node)) continue;
      const double rate = node->table->slowStartShare(kCold[cold], zone, service, now_);
      if (rate > 0) sum += 1 + rate;
    }
    if (sum > most + kRounding)
      breakRule(fmt::format("{} may get {} requests in one second, {} are allowed", kCold[cold], sum, most));
  }
}

// The routers that hold a lease share the retry budget: their shares sum to no more than the whole.
void World::checkShares() {
  constexpr Millis kMemory = membership::Times{}.lease + Millis(1000);
  double sum = 0;
  for (const auto& node : nodes_) {
    if (!isRouterWithLease(*node)) continue;
    const auto routers = node->table->routers(now_, kMemory);
    if (routers > 0) sum += 1.0 / static_cast<double>(routers);
  }
  if (sum <= 1.0 + kRounding) return;
  std::string who;
  for (const auto& node : nodes_) {
    if (!node->alive || node->isController) continue;
    const auto& group = node->router->group();
    who += fmt::format(" {}{}:{}/{}", node->name, node->frozen ? "(frozen)" : "",
                       group.leaseHeld(now_) ? node->table->routers(now_, kMemory) : 0,
                       group.view() ? group.view()->number : 0);
  }
  breakRule(fmt::format("the shares of the routers sum to {}:{}", sum, who));
}

}  // namespace indigohill::sim
