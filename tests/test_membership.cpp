// Discovery, quorums and leases of the group of daemons, in the simulated world and on bare group cores.
// docs/control/membership.md states what these tests show.
#include <algorithm>
#include <array>
#include <set>

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
  return {.controllers = kStorage, .routers = kRouters, .seed = seed, .observers = kRelays};
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

// The same seeds are lost for good while everything else runs on. Who starts again knows nobody else, and is told by
// those that had it in their view.
Test(discovery, a_daemon_whose_seeds_are_all_gone_is_told_where_the_group_is, .timeout = 600) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    sim::World world(withRelays(seed));
    Operator op{world};
    bringUp(world, op);
    world.seedNodes = relayNodes();
    for (const auto i : relayNodes()) world.powerOff(i);
    for (const auto i : routerNodes()) world.kill(i);
    world.run(Millis(200 + 1000 * (seed % 4)));
    start(world, routerNodes());
    const auto informed = [&] {
      return std::ranges::all_of(routerNodes(), [&](auto i) {
        const auto& router = *world.node(i).router;
        return router.isInformed() && router.group().leaseHeld(world.now());
      });
    };
    cr_assert(world.runUntil(Millis(8000), informed), "seed %lu%s", seed, world.describe().c_str());
    holds(world);
  }
}

// A member is cut off while every daemon that it watches is exchanged for one at another address: what it shows its old
// view to is gone. It is a router in one half of the worlds and a relay in the other.
Test(discovery, a_member_that_was_cut_off_while_all_it_watched_moved_is_found, .timeout = 600) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    sim::World world(withRelays(seed));
    Operator op{world};
    bringUp(world, op);
    const auto lonely = seed % 2 == 0 ? routerNodes().front() : relayNodes().front();
    std::set<std::size_t> all;
    for (std::size_t i = 0; i < world.size(); ++i) all.insert(i);
    world.cutOff(lonely, all, true);
    // The lonely one keeps the settings that it started with.
    for (std::size_t i = 0; i < world.size(); ++i) {
      if (i == lonely) continue;
      if (i < world.controllers()) {
        world.replace(i);
        world.run(Millis(300));
        world.start(i);
        world.run(Millis(9000));
      }
    }
    world.cutOff(lonely, all, false);
    comesTogether(world, Millis(9000), seed, "after the cut");
  }
}

// Records exchange voters; right afterwards, at any message between the record and the view that takes them over, as
// many machines are lost again as may be. The view must go on under the new voters alone.
Test(handover, a_second_loss_between_a_record_and_its_view_stops_nothing, .timeout = 3000) {
  static const sim::Shape shapes[] = {
      {.controllers = 4, .routers = 3, .faultTolerance = 1},
      {.controllers = 5, .routers = 3, .faultTolerance = 1},
      {.controllers = 7, .routers = 2, .faultTolerance = 2},
  };
  std::size_t cases = 0;
  for (std::uint64_t seed = 1; seed <= 3 * 40; ++seed) {
    auto shape = shapes[seed % std::size(shapes)];
    shape.seed = seed;
    sim::World world(shape);
    Operator op{world};
    bringUp(world, op);
    cr_assert(world.runUntil(Millis(8000), [&] {
      const auto leader = world.active();
      return leader && world.node(*leader).controller->replica().isFullyReplicated();
    }));
    const auto record = [&](std::size_t i) { return *world.node(i).controller->replica().record(); };
    const auto voters = record(*world.active()).voters;  // a copy, as the primary may be gone later
    const auto epoch = record(*world.active()).epoch;
    const auto isVoter = [&](std::size_t i, const std::vector<std::string>& among) {
      return world.node(i).alive && indigohill::base::contains(among, world.node(i).controller->replica().voterId());
    };
    // The first losses: voters other than the primary, so that the exchange is a single record.
    std::set<std::string> lost;
    for (std::size_t i = 0; i < world.controllers() && lost.size() < world.losses(); ++i)
      if (isVoter(i, voters) && world.active() != i) {
        lost.insert(world.node(i).controller->replica().voterId());
        world.powerOff(i);
      }
    // Voters that go together may be exchanged by two records: one after the other is known to be gone.
    const auto exchangedAll = [&](const indigohill::schema::EpochRecord& now) {
      return now.epoch > epoch && std::none_of(now.voters.begin(), now.voters.end(),
                                               [&](const auto& voter) { return lost.contains(voter); });
    };
    std::optional<std::size_t> decided;
    world.runUntil(Millis(12000), [&] {
      for (std::size_t i = 0; i < world.controllers(); ++i)
        if (world.node(i).alive && world.node(i).controller->replica().record() && exchangedAll(record(i))) decided = i;
      return decided || world.broken();
    });
    holds(world);
    cr_assert(decided.has_value(), "seed %lu: no exchange", seed);
    const auto next = record(*decided).voters;
    // Some steps later, each seed another number, a second lot of voters goes, those of both sets first.
    const auto steps = world.steps() + seed / 3;
    world.runUntil(Millis(2000), [&] { return world.steps() >= steps; });
    std::size_t again = 0;
    const bool spareDecider = seed % 2 == 0;
    for (const bool ofBoth : {true, false})
      for (std::size_t i = 0; i < world.controllers() && again < world.losses(); ++i)
        if (isVoter(i, next) && isVoter(i, voters) == ofBoth && !(spareDecider && i == *decided)) {
          world.powerOff(i);
          ++again;
        }
    ++cases;
    cr_assert(world.runUntil(Millis(9000), [&] { return world.active() || world.broken(); }),
              "seed %lu: stands still after the second loss%s", seed, world.describe().c_str());
    holds(world);
    cr_assert(op.readBack(Millis(20000)), "seed %lu: lost", seed);
    const auto before = op.newest;
    op.change();
    cr_assert(world.runUntil(Millis(20000), [&] { return op.newest > before || world.broken(); }),
              "seed %lu: no order is taken%s", seed, world.describe().c_str());
    holds(world);
  }
  cr_assert_eq(cases, 120u);
}
