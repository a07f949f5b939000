// Rollouts of weights in the simulated fleet: losses, cuts, bad input, stale state.
#include <fmt/format.h>

#include "documents.hpp"
#include "feed/publisher.hpp"
#include "router/router_core.hpp"
#include "sim/world.hpp"
// These bring in Criterion, whose macros get in the way of Boost's headers, so they come last.
#include <criterion/criterion.h>
#include "rollouts.hpp"

using namespace indigohill;
using base::Millis;
using namespace tests;

namespace {

struct Fleet {
  sim::World world;
  std::map<std::string, bool> mayServe;  // by instance, under the record acknowledged; empty: none is
  base::TimePoint ackedAt{};
  std::uint64_t decided = 0, served = 0;
  std::set<std::size_t> outOfTouch;

  explicit Fleet(std::uint64_t seed, double loss = 0.01)
      : world({.controllers = 3, .routers = 4, .seed = seed, .loss = loss}) {
    world.platform = {runner("good"),
                      runner("fine"),
                      runner("software", "v2"),
                      runner("weights", "v1", 2),
                      runner("adapters", "v1", 1, {}),
                      runner("unknown", "")};
    world.checks.emplace_back([this] { look(); });
    std::uint64_t taken = 0;
    cr_assert(world.runUntil(Millis(5000), [&] { return world.active().has_value(); }));
    world.orderUntilClear(control::OrderKind::Replace, 0, tests::document(1), [&](const auto& a) { taken = a.status; });
    cr_assert(world.runUntil(Millis(9000), [&] { return taken == 200 && allInformed(); }), "seed %lu", seed);
  }
  bool allInformed() {
    for (std::size_t i = world.controllers(); i < world.size(); ++i)
      if (!world.node(i).alive || !world.node(i).router->isInformed()) return false;
    return true;
  }
  // After the bound, no decision of a router that is in touch names a runner that is held back, and each finds one.
  void look() {
    static const control::Configuration configuration = std::get<0>(control::parseConfiguration(tests::document(1)));
    if (mayServe.empty()) return;
    for (std::size_t i = world.controllers(); i < world.size(); ++i) {
      auto& n = world.node(i);
      if (!n.alive || n.frozen || outOfTouch.contains(i) || !n.router->isInformed()) continue;
      routing::RequestProfile request;
      request.route = &configuration.routes[1];
      request.service = "plain";
      request.arrivedAt = world.now();
      request.deadline = world.now() + Millis(1500);
      auto decision = n.table->decide(request, world.now());
      ++decided;
      const auto* to = std::get_if<routing::PassTo>(&decision);
      if (world.now() - ackedAt <= Millis(2000)) continue;
      if (to == nullptr)
        world.breakRule(n.name + " has no runner to pass to");
      else if (!mayServe[to->instanceId])
        world.breakRule(n.name + " passes to " + to->instanceId + ", which is held back");
      else
        ++served;
    }
  }
  // The judgement is the test's own, not the code's.
  void acknowledged() {
    ackedAt = world.now();
    for (const auto& r : world.platform) mayServe[r.instanceId] = r.instanceId == "good" || r.instanceId == "fine";
  }
  void declare(std::function<void()> then = [] {}) {
    world.orderUntilClear(control::OrderKind::DeclareRollout, 0, record(1), [this, then](const control::Answer& a) {
      if (a.status != 200) world.breakRule(fmt::format("declaration answered {} {}", a.status, a.body));
      acknowledged();
      then();
    });
  }
  std::string readBack(control::OrderKind kind = control::OrderKind::DescribeRollouts) {
    std::string out;
    world.orderUntilClear(kind, 0, "", [&](const control::Answer& a) { out = a.body; });
    world.runUntil(Millis(15000), [&] { return !out.empty(); });
    return out;
  }
  void holds() { cr_assert(!world.broken(), "%s", world.broken()->c_str()); }
};

const std::string kReadBack =
    R"({"rollouts":[{"service":"plain","number":1,"stage":"before","record":)" + record(1) + "}]}";

}  // namespace

Test(rollout_world, after_the_bound_no_request_goes_to_a_runner_held_back) {
  std::uint64_t decided = 0, served = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(seed);
    fleet.declare();
    fleet.world.run(Millis(6000));
    fleet.holds();
    cr_assert_gt(fleet.served, 0u);
    same(fleet.readBack(), kReadBack);
    same(fleet.readBack(control::OrderKind::Describe), tests::document(1));  // as it was sent
    decided += fleet.decided;
    served += fleet.served;
    // Withdrawn, all serve again.
    fleet.mayServe.clear();
    int status = 0;
    fleet.world.orderUntilClear(control::OrderKind::WithdrawRollout, 0, R"({"service":"plain","number":2})",
                                [&](const auto& a) { status = a.status; });
    fleet.world.run(Millis(3000));
    cr_assert_eq(status, 200);
    for (std::size_t i = fleet.world.controllers(); i < fleet.world.size(); ++i)
      cr_assert(fleet.world.node(i).journal->state()->rollouts.empty());
  }
  fmt::print(stderr, "simulated: {} decisions after the declaration, {} after the bound, none at a mismatched worker\n",
             decided, served);
}

Test(rollout_world, a_primary_lost_during_the_declaration_leaves_it_in_force_or_to_be_sent_again) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    auto& world = fleet.world;
    const auto primary = *world.active();
    bool acked = false;
    fleet.declare([&] { acked = true; });
    // From before the order arrives to after its acknowledgement.
    world.after(Millis(1 + world.random() % 25), [&world, primary] { world.powerOff(primary); });
    cr_assert(world.runUntil(Millis(15000), [&] { return acked; }), "seed %lu", seed);
    world.run(Millis(4000));
    fleet.holds();
    same(fleet.readBack(), kReadBack);
    world.start(primary);
    world.run(Millis(6000));
    fleet.holds();
  }
}

Test(rollout_world, it_survives_a_loss_of_power_everywhere_right_after_the_acknowledgement) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(seed);
    auto& world = fleet.world;
    bool acked = false;
    fleet.declare([&] {
      acked = true;
      for (std::size_t i = 0; i < world.size(); ++i) world.powerOff(i);
    });
    cr_assert(world.runUntil(Millis(8000), [&] { return acked; }));
    for (std::size_t i = 0; i < world.size(); ++i) world.start(i);
    cr_assert(world.runUntil(Millis(15000), [&] { return world.active().has_value() && fleet.allInformed(); }),
              "seed %lu", seed);
    world.run(Millis(3000));
    fleet.holds();
    cr_assert_gt(fleet.served, 0u);
    same(fleet.readBack(), kReadBack);
  }
}

Test(rollout_world, a_router_cut_off_learns_of_it_when_it_is_back) {
  Fleet fleet(3);
  auto& world = fleet.world;
  const auto router = world.controllers();
  std::set<std::size_t> all;
  for (std::size_t i = 0; i < world.size(); ++i) all.insert(i);
  fleet.outOfTouch.insert(router);
  world.cutOff(router, all, true);
  fleet.declare();
  world.run(Millis(5000));
  cr_assert(world.node(router).journal->state()->rollouts.empty());
  world.cutOff(router, all, false);
  cr_assert(world.runUntil(Millis(4000), [&] { return world.node(router).journal->state()->rollouts.size() == 1; }));
  fleet.outOfTouch.clear();
  world.run(Millis(3000));
  fleet.holds();
}

Test(rollout_world, bad_input_is_refused_and_the_record_in_force_stays) {
  Fleet fleet(5);
  auto& world = fleet.world;
  fleet.declare();
  world.run(Millis(3000));
  using control::OrderKind;
  const std::vector<std::tuple<OrderKind, std::string, int, std::string>> cases{
      {OrderKind::DeclareRollout, "{", 400, "JSON"},
      {OrderKind::DeclareRollout, replaced(record(2), "\"stages\"", "\"steps\""), 400, "steps: unknown field"},
      {OrderKind::DeclareRollout, record(2, "odd"), 400, "service: 'odd' is not in the configuration"},
      {OrderKind::DeclareRollout, replaced(record(1), "\"v2\"", "\"v4\""), 409, "number: 1 is not above"},
      {OrderKind::DeclareRollout, replaced(replaced(record(2), "\"v1\"", "\"v8\""), "\"v2\"", "\"v9\""), 409,
       "no runner left"},
      {OrderKind::AdvanceRollout, R"({"service":"plain"})", 400, "number: missing"},
      {OrderKind::WithdrawRollout, R"({"service":"engine","number":2})", 409, "no rollout is declared"}};
  for (const auto& [kind, body, status, what] : cases) {
    control::Answer got;
    world.orderUntilClear(kind, 0, body, [&](const auto& a) { got = a; });
    world.run(Millis(1500));
    cr_assert(got.status == status && got.body.find(what) != std::string::npos, "%s: %d %s", body.c_str(), got.status,
              got.body.c_str());
  }
  same(fleet.readBack(), kReadBack);
  // An exact resend of the last order is acknowledged; one that was overtaken gets no clear answer, neither an
  // acknowledgement nor a refusal; another order under its number is refused.
  const auto send = [&](OrderKind kind, const std::string& body) {
    int status = 0;
    world.orderUntilClear(kind, 0, body, [&](const auto& a) { status = a.status; });
    world.run(Millis(1500));
    return status;
  };
  cr_assert_eq(send(OrderKind::DeclareRollout, record(1)), 200);
  fleet.mayServe.clear();
  cr_assert_eq(send(OrderKind::WithdrawRollout, R"({"service":"plain","number":2})"), 200);
  cr_assert_eq(send(OrderKind::WithdrawRollout, R"({"service":"plain","number":2})"), 200);
  cr_assert_eq(send(OrderKind::DeclareRollout, record(1)), 0);
  cr_assert_eq(send(OrderKind::DeclareRollout, replaced(record(1), "\"v2\"", "\"v4\"")), 409);
  same(fleet.readBack(), R"({"rollouts":[{"service":"plain","number":2,"withdrawn":true}]})");
  fleet.holds();
}

Test(rollout_world, a_daemon_that_holds_something_else_under_the_version_is_not_ready_and_fetches_it_whole) {
  const settings::Endpoint source{1, 1};
  const auto now = base::TimePoint{std::chrono::hours(1)};
  feed::Publisher truth{feed::Times{}};
  schema::ControlState state{{1, 5}, 1, tests::document(1), {}, {}, {{"plain", 1, 0, record(1)}}};
  truth.setState(state);
  truth.setRunners({1, 1}, {runner("good")}, now);
  router::RouterCore follower({"r", "z0", {2, 2}}, {source}, membership::Times{}, feed::Times{}, Millis(3000), 1, now);
  routing::RoutingSnapshot snapshot;
  // Carries asks to the source and its answers back, as `spoil` leaves them.
  auto at = now;
  const auto round = [&](const std::function<void(schema::Update&)>& spoil) {
    router::RouterEffects effects;
    at += Millis(800);
    follower.tick(at, effects);
    for (const auto& item : effects.out)
      if (const auto* ask = std::get_if<schema::Poll>(&item.message)) {
        net::Outbox out;
        truth.confirmAt(at);
        truth.receive(*ask, {2, 2}, at, out);
        truth.tick(at + Millis(700), out);
        for (auto& answer : out) {
          auto news = std::get<schema::Update>(answer.message);
          spoil(news);
          router::RouterEffects after;
          follower.receive(news, source, at, after);
          for (const auto& event : after.events) routing::fold(snapshot, event);
        }
      }
  };
  const auto plainly = [](schema::Update&) {};
  const auto other = [](schema::Update& news) {
    auto content = feed::contentOf(news);
    cr_assert_eq(content.states.size(), 1u);
    content.states[0].rollouts[0].number = 7;
    news.content = net::encodeUpdateContent(content);
  };
  round(plainly);
  cr_assert(follower.isInformed() && snapshot.rollouts.at("plain").number == 1);
  for (int i = 0; i < 3; ++i) round(plainly);
  cr_assert(follower.isInformed());
  // A new one arrives as something else.
  state.version.sequence = 6;
  state.rollouts[0].number = 2;
  truth.setState(state);
  round(other);
  cr_assert(!follower.isInformed() && snapshot.rollouts.at("plain").number == 7);
  for (int i = 0; i < 5; ++i) round(plainly);
  cr_assert(follower.isInformed() && snapshot.rollouts.at("plain").number == 2);
  // A record of a later program: held back and not ready until one comes that it can read.
  state.version.sequence = 7;
  state.rollouts[0].document = replaced(record(3), "\"stages\"", "\"phases\"");
  truth.setState(state);
  for (int i = 0; i < 6; ++i) {
    round(plainly);
    cr_assert(!follower.isInformed());
  }
  cr_assert(!snapshot.rollouts.at("plain").record);
  state.version.sequence = 8;
  state.rollouts[0].document = record(4);
  truth.setState(state);
  for (int i = 0; i < 4; ++i) round(plainly);
  cr_assert(follower.isInformed() && snapshot.rollouts.at("plain").record);
}
