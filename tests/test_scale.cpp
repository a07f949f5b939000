// The group and the news of a large fleet, on links that lose datagrams. Times are the simulated clock's.
#include <criterion/criterion.h>

#include "fleet.hpp"

using namespace indigohill;
using base::Millis;
using tests::Fleet;

namespace {
// What a machine sent for control in a second, in KB, on average over the fleet.
double controlKBs(Fleet& fleet, Millis span) {
  fleet.counts.clear();
  fleet.run(span);
  std::uint64_t bytes = 0;
  for (const auto& [kind, count] : fleet.counts) bytes += count.bytes;
  return static_cast<double>(bytes) / 1e3 / base::seconds(span) / static_cast<double>(fleet.size());
}
}  // namespace

Test(scale, a_fleet_that_lost_power_is_informed_within_a_second) {
  for (const std::size_t routers : {11, 88}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet({.controllers = routers < 20 ? 3u : 6u, .routers = routers, .runners = routers, .seed = seed});
      cr_assert(fleet.bringUp(), "%zu routers, seed %lu: not up", routers, seed);
      fleet.run(Millis(3000));
      for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
      fleet.run(Millis(1000));
      for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
      const auto half = fleet.until(Millis(1000), [&] { return 2 * fleet.serving() >= routers; });
      cr_assert(half.has_value(), "%zu routers, seed %lu: half cannot serve within a second", routers, seed);
      cr_assert(fleet.until(Millis(1000), [&] { return fleet.serving() == routers; }), "%zu routers, seed %lu", routers,
                seed);
      cr_assert(fleet.until(Millis(2000), [&] { return fleet.informed() == routers && fleet.viewed(fleet.size()); }),
                "%zu routers, seed %lu: no common view", routers, seed);
    }
  }
}

Test(scale, a_zone_that_returns_is_taken_in_with_few_views_and_few_bytes) {
  Fleet fleet({.controllers = 6, .routers = 88, .runners = 88, .seed = 5});
  cr_assert(fleet.bringUp());
  fleet.run(Millis(3000));
  std::size_t lost = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i)
    if (fleet.machine(i).zone == "zone-2") {
      fleet.kill(i);
      ++lost;
    }
  cr_assert(fleet.until(Millis(4000), [&] { return fleet.viewed(fleet.size() - lost); }));
  fleet.run(Millis(1000));
  fleet.counts.clear();
  for (std::size_t i = 0; i < fleet.size(); ++i)
    if (!fleet.machine(i).alive) fleet.start(i);
  cr_assert(fleet.until(Millis(3000), [&] { return fleet.viewed(fleet.size()); }));
  // Each member is told of each extension about once: what is told grows with the members, not with their square.
  cr_assert_lt(fleet.counts["Propose"].messages + fleet.counts["ProposeChanges"].messages, 8 * fleet.size());
  cr_assert_lt(fleet.counts["Propose"].bytes + fleet.counts["ProposeChanges"].bytes + fleet.counts["Commit"].bytes,
               6000 * fleet.size());
}

Test(scale, a_quiet_fleet_keeps_to_the_bytes_set_aside_for_control) {
  for (const std::size_t routers : {11, 200}) {
    Fleet fleet({.controllers = routers < 20 ? 3u : 6u, .routers = routers, .runners = routers, .seed = 9});
    cr_assert(fleet.bringUp());
    fleet.run(Millis(3000));
    const auto rate = controlKBs(fleet, Millis(5000));
    cr_assert_lt(rate, 3.0, "%zu routers: %.2f KB/s a machine", routers, rate);
  }
}

Test(scale, one_runner_that_drains_is_told_as_a_change) {
  Fleet fleet({.controllers = 6, .routers = 88, .runners = 600, .seed = 4});
  cr_assert(fleet.bringUp());
  fleet.run(Millis(3000));
  fleet.counts.clear();
  fleet.platform[7].draining = true;
  cr_assert(fleet.until(Millis(2000), [&] {
    for (std::size_t i = 6; i < fleet.size(); ++i) {
      const auto& known = fleet.source(i).runners();
      if (std::none_of(known.begin(), known.end(), [](const auto& r) { return r.draining; })) return false;
    }
    return true;
  }));
  cr_assert_lt(fleet.counts["News"].bytes, 600 * fleet.size());
}

namespace {

// Groups on a network without delay; the first voter founds alone. Those that are deaf get nothing.
struct Managed {
  base::TimePoint now{std::chrono::hours(1)};
  std::map<settings::Endpoint, std::unique_ptr<membership::Group>> groups;
  std::set<std::uint32_t> deaf;
  std::uint64_t wholes = 0, views = 0;

  void add(std::uint32_t ip, const std::string& voter) {
    const settings::Endpoint at{ip, 1};
    const auto role = voter.empty() ? membership::Role::Router : membership::Role::Controller;
    groups[at] = std::make_unique<membership::Group>(membership::Group::Self{std::to_string(ip), voter, "z", role, at},
                                                     std::vector<settings::Endpoint>{{1, 1}}, membership::Times{}, ip);
    if (!voter.empty()) groups[at]->setVoters(1, {"a"});
  }
  membership::Group& at(std::uint32_t ip) { return *groups[{ip, 1}]; }
  void run(Millis span) {
    for (const auto end = now + span; now < end; now += Millis(100)) {
      std::vector<std::pair<settings::Endpoint, net::Outgoing>> flying;
      const auto collect = [&](const settings::Endpoint& from, net::Outbox& out) {
        for (auto& item : out) flying.emplace_back(from, item);
        out.clear();
      };
      net::Outbox out;
      for (auto& [address, group] : groups) {
        group->tick(now, out);
        collect(address, out);
      }
      for (std::size_t i = 0; i < flying.size(); ++i) {  // NOLINT(modernize-loop-convert): `collect` adds to it
        const auto [from, item] = flying[i];
        wholes += std::holds_alternative<schema::Propose>(item.message);
        if (!groups.contains(item.to) || deaf.contains(item.to.ip)) continue;
        groups[item.to]->receive(item.message, from, now, out);
        collect(item.to, out);
      }
      for (auto& [address, group] : groups) views += group->takeEvents().size();
    }
  }
};

}  // namespace

Test(group, a_joiner_that_does_not_acknowledge_holds_up_nobody_for_long) {
  Managed m;
  m.add(1, "a");
  m.run(Millis(500));
  m.add(2, "");
  m.add(3, "");
  m.deaf = {3};
  m.run(Millis(4000));
  cr_assert(m.at(1).view() && m.at(1).view()->members.size() == 2, "%s", m.at(1).describe(m.now).c_str());
  // Others are taken in meanwhile, and the joiner itself once it hears.
  m.add(4, "");
  m.run(Millis(1000));
  cr_assert_eq(m.at(1).view()->members.size(), 3u);
  m.deaf.clear();
  m.run(Millis(5000));
  cr_assert_eq(m.at(1).view()->members.size(), 4u);
}

Test(group, joiners_that_come_together_are_taken_in_together) {
  Managed m;
  m.add(1, "a");
  m.run(Millis(500));
  m.views = m.wholes = 0;
  for (std::uint32_t ip = 2; ip < 42; ++ip) m.add(ip, "");
  m.run(Millis(1000));
  cr_assert_eq(m.at(41).view()->members.size(), 41u);
  cr_assert_leq(m.views, 2 * 41u);
  cr_assert_leq(m.wholes, 2 * 40u);
}

Test(group, a_member_without_the_base_asks_for_the_whole) {
  Managed m;
  m.add(1, "a");
  m.add(2, "");
  m.run(Millis(1000));
  const auto base = *m.at(1).view();
  auto next = base;
  next.number += 3;
  next.members.push_back({"9", "", "z", 1, 9, 1, 9, next.number - 1});
  schema::ProposeChanges changes{base.number,
                                 1,
                                 77,
                                 base.members[0].incarnation,
                                 false,
                                 {{{}, {next.members.back()}}},
                                 next.number,
                                 next.epoch,
                                 next.discoveryLeader,
                                 next.unilateralEpoch,
                                 next.voters,
                                 2};
  net::Outbox out;
  // The digests are others': neither acknowledged nor delivered, but asked for whole.
  m.at(2).receive(changes, {1, 1}, m.now, out);
  cr_assert(out.size() == 1 && std::get<schema::ViewRequest>(out[0].message).proposalId == 77);
  out.clear();
  m.at(2).receive(schema::CommitChanges{next.number, 2, {}, 0}, {1, 1}, m.now, out);
  cr_assert(out.size() == 1 && std::get<schema::ViewRequest>(out[0].message).number == next.number);
  cr_assert_eq(m.at(2).view()->number, base.number);
  out.clear();
  m.at(2).receive(schema::Propose{base.number, 77, base.members[0].incarnation, false, false, changes.steps, next},
                  {1, 1}, m.now, out);
  cr_assert(out.size() == 1 && std::holds_alternative<schema::Ack>(out[0].message));
  out.clear();
  // Acknowledged, it needs no more than the number; under another digest it would be another view.
  m.at(2).receive(schema::CommitChanges{next.number, 2, {}, 0}, {1, 1}, m.now, out);
  cr_assert_eq(m.at(2).view()->number, base.number);
  m.at(2).receive(schema::Commit{next, {}, 0}, {1, 1}, m.now, out);
  cr_assert_eq(m.at(2).view()->number, next.number);
}

// A manager leaves while its successor holds an extension of an older view: the changes are made to the present one,
// and who joined and failed within the extension does not come back to life.
Test(group, a_joiner_that_failed_within_an_extension_is_not_revived_by_a_new_manager) {
  base::TimePoint now{std::chrono::hours(1)};
  membership::Group group({"b", "v2", "z", membership::Role::Controller, {1, 1}}, {{9, 9}}, {}, 7);
  net::Outbox out;
  group.tick(now, out);
  auto me = std::get<schema::Join>(out.at(0).message).member;
  me.incarnation = 51;
  schema::View view{
      100, 1, 50, 0, {"v1", "v2", "v3"}, {{"a", "v1", "z", 2, 2, 1, 5, 50}, me, {"c", "v3", "z", 2, 3, 1, 6, 52}}};
  group.receive(schema::Commit{view, {}, 0}, {2, 1}, now, out);
  const schema::Member ghost{"8", "", "z", 1, 8, 1, 8, 101}, joiner{"9", "", "z", 1, 9, 1, 9, 102};
  auto result = view;
  result.number = 110;
  result.members.push_back(joiner);
  group.receive(schema::Propose{100, 5, 50, false, false, {{{}, {ghost, joiner}}, {{101}, {}}}, result}, {2, 1}, now,
                out);
  view.number = 105;
  group.receive(schema::Commit{view, {}, 0}, {2, 1}, now, out);
  cr_assert(group.view()->number == 105 && group.pending().has_value());
  out.clear();
  group.receive(schema::Leave{50, 0}, {2, 1}, now, out);
  const schema::Propose* proposal = nullptr;
  const schema::ProposeChanges* changes = nullptr;
  for (const auto& item : out) {
    if (const auto* found = std::get_if<schema::Propose>(&item.message)) proposal = found;
    if (const auto* found = std::get_if<schema::ProposeChanges>(&item.message)) changes = found;
  }
  cr_assert(proposal != nullptr && changes != nullptr, "one whole for the joiner, changes for the other member");
  std::string ids;
  for (const auto& m : proposal->result.members) ids += m.id;
  cr_assert_str_eq(ids.c_str(), "bc9");
  cr_assert_eq(changes->base, 105u);
  cr_assert_gt(proposal->result.members.back().incarnation, 110u, "granted anew");
}
