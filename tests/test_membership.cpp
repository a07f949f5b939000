// Discovery, quorums and leases of the group of daemons, in the simulated world and on bare group cores.
// docs/control/membership.md states what these tests show.
#include <algorithm>
#include <array>

#include "operator.hpp"

namespace sim = indigohill::sim;
namespace control = indigohill::control;
using indigohill::base::Millis;
using indigohill::tests::bringUp;
using indigohill::tests::holds;
using indigohill::tests::Operator;
using indigohill::tests::settled;

namespace {

constexpr std::size_t kStorage = 3, kRouters = 4, kRelays = 3;

sim::Shape withRelays(std::uint64_t seed) {
  return {.controllers = kStorage, .routers = kRouters, .seed = seed, .relays = kRelays};
}

// The nodes of one kind, in the order in which sim::World numbers them.
std::vector<std::size_t> range(std::size_t first, std::size_t count) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(first + i);
  return out;
}
std::vector<std::size_t> storageNodes() { return range(0, kStorage); }
std::vector<std::size_t> routerNodes() { return range(kStorage, kRouters); }
std::vector<std::size_t> relayNodes() { return range(kStorage + kRouters, kRelays); }

void powerOffAll(sim::World& world) {
  for (std::size_t i = 0; i < world.size(); ++i) world.powerOff(i);
  world.run(Millis(3000));
}

void start(sim::World& world, const std::vector<std::size_t>& nodes) {
  for (const auto i : nodes) world.start(i);
}

void comesTogether(sim::World& world, Millis limit, std::uint64_t seed, const char* when) {
  cr_assert(world.runUntil(limit, [&] { return settled(world) || world.broken(); }), "seed %lu, %s: no common view%s",
            seed, when, world.describe().c_str());
  holds(world);
}

}  // namespace

// Found on a played day: the operator had exchanged the seeds for machines without a disk. The voters found each other
// by their records, founded a view before a seed had started, and never spoke to the seeds again.
Test(discovery, seeds_without_a_vote_are_found_after_a_loss_of_all_power, .timeout = 600) {
  std::array<std::vector<std::size_t>, 3> kinds{storageNodes(), routerNodes(), relayNodes()};
  std::array<std::size_t, 3> order{0, 1, 2};
  std::uint64_t seed = 0;
  do {
    for (const auto gap : {Millis(0), Millis(150), Millis(2500)}) {
      ++seed;
      sim::World world(withRelays(seed));
      Operator op{world};
      bringUp(world, op);
      world.seedNodes = relayNodes();
      powerOffAll(world);
      for (const auto kind : order) {
        start(world, kinds.at(kind));
        world.run(gap);
      }
      comesTogether(world, Millis(5000), seed, "after the power has returned");
      cr_assert(op.readBack(Millis(4000)), "seed %lu", seed);
    }
  } while (std::next_permutation(order.begin(), order.end()));
}
