#pragma once
#include <criterion/criterion.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "documents.hpp"
#include "sim/world.hpp"

// What the tests of the simulated world share: an operator, and a world that is brought up.
namespace indigohill::tests {

using base::Millis;

inline void holds(sim::World& world) { cr_assert(!world.broken(), "%s", world.broken()->c_str()); }

// An operator that keeps what was acknowledged.
struct Operator {
  sim::World& world;
  std::uint64_t newest = 0;  // acknowledged
  std::uint64_t tried = 0;   // highest revision ever sent
  std::set<std::uint64_t> refused{};
  bool busy = false;  // one change at a time

  void change() {
    if (busy) return;
    busy = true;
    const auto base = newest;
    const auto revision = ++tried;
    world.orderUntilClear(control::OrderKind::Replace, base, document(revision, 1000 + revision),
                          [this, revision](const control::Answer& answer) {
                            busy = false;
                            if (answer.status == 200)
                              newest = std::max(newest, revision);
                            else
                              refused.insert(revision);
                          });
  }
  // Reads back until there is an answer; whether the newest acknowledged version, or one after it, is there.
  bool readBack(Millis limit) {
    bool good = false, answered = false;
    world.orderUntilClear(control::OrderKind::Describe, 0, "", [&](const control::Answer& answer) {
      answered = true;
      if (std::getenv("INDIGOHILL_TRACE")) fmt::print("readBack: {} {}\n", answer.status, answer.body.substr(0, 40));
      auto parsed = control::parseConfiguration(answer.body);
      if (answer.status != 200 || indigohill::base::errorIn(parsed)) return;
      const auto revision = std::get<0>(parsed).revision;
      good = revision >= newest && answer.body == document(revision, 1000 + revision);
    });
    world.runUntil(limit, [&] { return answered; });
    return good;
  }
};

inline bool settled(sim::World& world) {
  if (!world.active()) return false;
  std::optional<std::uint64_t> number;
  for (std::size_t i = 0; i < world.size(); ++i) {
    auto& n = world.node(i);
    if (!n.alive) return false;
    const auto& group = n.isController ? n.controller->group() : n.router->group();
    if (!group.view() || group.view()->members.size() != world.size()) return false;
    if (number && *number != group.view()->number) return false;
    number = group.view()->number;
    if (!n.isController && !n.router->isInformed()) return false;
  }
  return true;
}

inline void bringUp(sim::World& world, Operator& op) {
  cr_assert(world.runUntil(Millis(5000), [&] { return world.active().has_value(); }), "no primary in time");
  op.change();
  cr_assert(world.runUntil(Millis(4000), [&] { return op.newest == 1; }), "the first configuration is not taken");
  cr_assert(world.runUntil(Millis(6000), [&] { return settled(world); }), "the group does not settle");
  holds(world);
}

// Groups without a world: a tick each 100 ms for `span`, every message delivered within its tick, at most `most` a
// tick.
inline void exchange(std::map<settings::Endpoint, std::unique_ptr<membership::Group>>& groups, base::TimePoint start,
                     Millis span, std::size_t most) {
  for (Millis at{0}; at < span; at += Millis(100)) {
    const auto now = start + at;
    std::vector<std::pair<settings::Endpoint, net::Outgoing>> flying;
    const auto collect = [&](const settings::Endpoint& from, net::Outbox& out) {
      for (auto& item : out) flying.emplace_back(from, item);
      out.clear();
    };
    for (auto& [address, group] : groups) {
      net::Outbox out;
      group->tick(now, out);
      collect(address, out);
    }
    for (std::size_t i = 0; i < flying.size() && i < most; ++i) {
      const auto [from, item] = flying[i];
      net::Outbox out;
      if (groups.contains(item.to)) groups[item.to]->receive(item.message, from, now, out);
      collect(item.to, out);
    }
  }
}

}  // namespace indigohill::tests
