// How configurations travel from the primary to the daemons that carry traffic: what is confirmed to whom and for how
// long, through freezes, cuts and restarts.
#include <criterion/criterion.h>

#include <random>

#include "operator.hpp"

namespace sim = indigohill::sim;
namespace feed = indigohill::feed;
namespace control = indigohill::control;
namespace schema = indigohill::schema;
namespace net = indigohill::net;
namespace base = indigohill::base;
namespace settings = indigohill::settings;
using base::Millis;
using indigohill::tests::bringUp;
using indigohill::tests::document;
using indigohill::tests::holds;
using indigohill::tests::Operator;

namespace {
constexpr Millis kObserverTick{250};
static_assert(feed::Times{}.worstApply(kObserverTick) <= feed::Times{}.applyTimeout);
static_assert(feed::Times::within(Millis(1700)).worstApply(kObserverTick) <= Millis(1700));

const feed::Publisher& publisherOf(sim::Node& node) {
  return node.isController ? node.controller->publisher() : node.router->publisher();
}

// Changes one configuration after the other and checks after each step what every daemon, also one that stands still,
// holds as confirmed: at that moment nothing newer had been acknowledged.
struct Changes {
  struct Acknowledged {
    base::TimePoint at;
    std::uint64_t revision;
  };
  sim::World& world;
  Operator& op;
  std::vector<Acknowledged> acknowledged{};

  void start(Millis pause) {
    world.checks.emplace_back([this] { check(); });
    step(pause);
  }
  void step(Millis pause) {
    op.change();
    world.after(pause, [this, pause] { step(pause); });
  }
  void check() {
    if (acknowledged.empty() || acknowledged.back().revision < op.newest)
      acknowledged.push_back({world.now(), op.newest});
    for (std::size_t i = 0; i < world.size(); ++i) {
      auto& node = world.node(i);
      if (!node.alive || !publisherOf(node).state()) continue;
      const auto confirmedAt = publisherOf(node).confirmedAt();
      std::uint64_t newest = 0;
      for (const auto& change : acknowledged)
        if (change.at <= confirmedAt) newest = change.revision;
      if (publisherOf(node).state()->revision < newest)
        world.breakRule(fmt::format("{} holds {} as confirmed when {} was acknowledged", node.name,
                                    publisherOf(node).state()->revision, newest));
    }
  }
};

// What a controller answers to a poll that lay in its socket while it stood still, before its first tick.
schema::Update answerAfterFreeze(sim::World& world, std::size_t controller, const schema::StateVersion& held) {
  control::Effects effects;
  world.node(controller)
      .controller->receive(schema::Poll{77, held, feed::kNothingWanted}, {9, 9}, world.now(), effects);
  cr_assert_eq(effects.out.size(), 1u);
  return std::get<schema::Update>(effects.out[0].message);
}
}  // namespace

Test(feed_world, a_controller_that_stood_still_confirms_nothing_before_it_has_asked_anew) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    sim::World world({.controllers = 3, .seed = seed, .observers = 1});
    Operator op{world};
    bringUp(world, op);
    const auto primary = *world.active();
    const auto relay = world.size() - 1;
    world.run(Millis(1000));
    for (const auto i : {primary, relay}) {
      cr_assert(world.node(i).controller->publisher().stateAgeMs(world.now()) < 1400, "seed %lu: %zu", seed, i);
      world.freeze(i);
    }
    world.run(Millis(20'000));
    op.change();
    cr_assert(world.runUntil(Millis(8000), [&] { return op.newest == 2; }));
    for (const auto i : {primary, relay}) {
      const auto update = answerAfterFreeze(world, i, {});
      cr_assert_eq(feed::contentOf(update).states.at(0).revision, 1u);
      cr_assert_not(world.node(i).controller->publisher().confirms(update), "seed %lu: %zu confirms", seed, i);
    }
    holds(world);
  }
}

Test(feed_world, what_is_confirmed_was_the_newest_then_through_freezes_cuts_and_restarts) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    sim::World world(
        {.controllers = 3 + 2 * (seed % 2), .seed = seed, .loss = seed % 3 == 0 ? 0.05 : 0.01, .observers = 2});
    Operator op{world};
    Changes changes{world, op};
    bringUp(world, op);
    changes.start(Millis(80));
    for (int round = 0; round < 6; ++round) {
      const auto who = world.random() % world.size();
      const auto span = Millis(500 + world.random() % 6000);
      std::set<std::size_t> others;
      for (std::size_t i = 0; i < world.size(); ++i)
        if (i != who && world.random() % 2 == 0) others.insert(i);
      switch (world.random() % 4) {
        case 0:
          world.freeze(who);
          world.run(span);
          world.thaw(who);
          break;
        case 1:
          world.cutOff(who, others, true);
          world.run(span);
          world.cutOff(who, others, false);
          break;
        case 2:  // one way
          for (const auto other : others) world.cut(who, other, true, false);
          world.run(span);
          for (const auto other : others) world.cut(who, other, false, false);
          break;
        default:
          world.kill(who);
          world.run(span / 4);
          world.start(who);
      }
      world.run(Millis(3000));
    }
    holds(world);
    cr_assert(world.runUntil(Millis(8000), [&] { return world.active().has_value(); }), "seed %lu", seed);
  }
}

// A relay that no longer hears the primary, one way or both, must not hold its zone's routers back.
Test(feed_world, routers_in_touch_have_a_change_in_time_though_their_relay_lost_the_primary) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    sim::World world({.controllers = 3, .routers = 6, .seed = seed, .loss = 0, .observers = 3});
    Operator op{world};
    bringUp(world, op);
    world.run(Millis(2000));
    const auto primary = *world.active();
    for (std::size_t relay = 9; relay < 12; ++relay) world.cut(primary, relay, true, seed % 2 == 0);
    world.run(Millis(seed * 40));
    op.change();
    cr_assert(world.runUntil(Millis(3000), [&] { return op.newest == 2; }), "seed %lu", seed);
    world.run(feed::Times{}.applyTimeout);
    for (std::size_t i = 3; i < 9; ++i)
      cr_assert_eq(world.node(i).router->publisher().state()->revision, 2u, "seed %lu, router %zu", seed, i);
    holds(world);
  }
}

// Parts: a publisher and its askers, without a world.

namespace {
const settings::Endpoint kAsker{1, 1};
constexpr feed::Times kTimes;
const base::TimePoint kStart{std::chrono::hours(1)};

feed::Publisher confirmedPublisher() {
  feed::Publisher publisher(kTimes);
  publisher.setState({{1, 1}, 1, "{}", {}, {}});
  publisher.confirmAt(kStart);
  return publisher;
}
schema::Update update(net::Outbox& out) {
  cr_assert_eq(out.size(), 1u);
  return std::get<schema::Update>(std::exchange(out, {})[0].message);
}
}  // namespace

Test(feed, an_asker_learns_at_once_that_nothing_is_confirmed_any_more_and_that_it_is_again) {
  auto publisher = confirmedPublisher();
  net::Outbox out;
  publisher.receive(schema::Poll{1, {1, 1}, {}}, kAsker, kStart + kTimes.confirmationLife - Millis(100), out);
  cr_assert(out.empty(), "nothing new: it waits");
  auto now = kStart + kTimes.confirmationLife;
  publisher.tick(now, out);
  cr_assert_not(publisher.confirms(update(out)));
  // Asked again soon, it makes the asker wait: else both would talk without a pause.
  publisher.receive(schema::Poll{2, {1, 1}, {}}, kAsker, now, out);
  cr_assert(out.empty());
  publisher.confirmAt(now);
  publisher.tick(now, out);
  cr_assert(publisher.confirms(update(out)));
}

Test(feed, ages_count_from_when_the_poll_was_sent_not_from_when_the_answer_is_handled) {
  feed::Subscriber subscriber(kTimes, 0, feed::Subscriber::Rotate::WhenUnconfirmed);
  net::Outbox out;
  subscriber.tick(kStart, {kAsker}, {}, {}, out);
  schema::Update answer;
  answer.token = std::get<schema::Poll>(out.at(0).message).token;
  answer.heldMs = 300;
  // The answer lay in the socket of a process that stood still.
  const auto handledAt = kStart + Millis(1900);
  cr_assert(subscriber.receive(answer, handledAt) == std::optional(kStart + Millis(300)));
  answer.heldMs = 60'000;  // from a clock that runs away: never from the future
  cr_assert(subscriber.receive(answer, handledAt) == std::optional(handledAt));
  cr_assert(subscriber.receive(answer, kStart + Millis(20'000)) == std::nullopt);
}

Test(feed, a_controllers_poll_is_answered_again_and_again_so_that_a_lost_message_costs_no_confirmation) {
  auto publisher = confirmedPublisher();
  net::Outbox out;
  publisher.receive(schema::Poll{5, {1, 1}, feed::kNothingWanted}, kAsker, kStart, out);
  for (int round = 1; round <= 3; ++round) {
    const auto now = kStart + round * kTimes.observerPollInterval;
    publisher.confirmAt(now);
    publisher.tick(now, out);
    const auto answer = update(out);
    cr_assert(answer.token == 5 && answer.stateAgeMs == 0);
    cr_assert_eq(Millis(answer.heldMs), round * kTimes.observerPollInterval);
  }
}

// Two controllers that take each other for the primary must not confirm each other's state for ever.
Test(feed, an_age_that_is_passed_on_in_a_circle_only_grows) {
  auto one = confirmedPublisher(), other = confirmedPublisher();
  feed::Subscriber askOne(kTimes, 1, feed::Subscriber::Rotate::WhenSilent);
  feed::Subscriber askOther(kTimes, 2, feed::Subscriber::Rotate::WhenSilent);
  const auto follow = [](feed::Subscriber& subscriber, feed::Publisher& asked, feed::Publisher& asker,
                         base::TimePoint now) {
    net::Outbox polls, answers;
    subscriber.tick(now, {kAsker}, {1, 1}, feed::kNothingWanted, polls);
    for (const auto& poll : polls) asked.receive(std::get<schema::Poll>(poll.message), kAsker, now, answers);
    asked.tick(now, answers);
    for (const auto& answer : answers) {
      const auto& update = std::get<schema::Update>(answer.message);
      if (const auto answeredAt = subscriber.receive(update, now))
        asker.confirmAt(*answeredAt - Millis(update.stateAgeMs));
    }
  };
  auto now = kStart;
  for (; now < kStart + Millis(10'000); now += Millis(50)) {
    follow(askOne, one, other, now);
    follow(askOther, other, one, now);
  }
  cr_assert_eq(Millis(one.stateAgeMs(now)), Millis(10'000));
  cr_assert_eq(Millis(other.stateAgeMs(now)), Millis(10'000));
}

Test(feed, a_slow_asker_has_one_version_under_way_and_gets_the_newest_next) {
  auto publisher = confirmedPublisher();
  std::string large(200'000, ' ');  // deflates to some half of this
  std::mt19937 random(1);
  for (auto& c : large) c = static_cast<char>('a' + random() % 16);
  net::Outbox out;
  publisher.receive(schema::Poll{1, {1, 1}, {}}, kAsker, kStart, out);
  cr_assert(out.empty());
  auto now = kStart;
  std::size_t sent = 0;
  for (std::uint64_t sequence = 2; sequence < 22; ++sequence, now += Millis(10)) {
    publisher.setState({{1, sequence}, sequence, large, {}, {}});
    publisher.publish(now, out);
    sent += std::exchange(out, {}).size();
  }
  cr_assert_eq(sent, 1u, "%zu whole states under way to one asker", sent);
  // It shows that it has the first of them: the newest comes next.
  publisher.receive(schema::Poll{2, {1, 2}, {}}, kAsker, now, out);
  cr_assert_eq(feed::contentOf(update(out)).states.at(0).revision, 21u);
}

// A router in a cut-off part: one that restarts there, and one that goes on.
Test(feed_world, a_router_that_starts_cut_off_is_ready_only_with_a_confirmed_configuration) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    bool restartedReady = false, otherUnready = false;
    sim::World world({.controllers = 3, .routers = 4, .seed = seed, .loss = 0});
    Operator op{world};
    bringUp(world, op);
    world.run(Millis(1000));
    constexpr std::size_t kRestarted = 3, kOther = 4;
    const std::set<std::size_t> part{(*world.active() + 1) % 3, kRestarted, kOther};
    std::set<std::size_t> rest;
    for (std::size_t i = 0; i < world.size(); ++i)
      if (!part.contains(i)) rest.insert(i);
    for (const auto i : part) world.cutOff(i, rest, true);
    world.run(Millis(3000));
    op.change();
    cr_assert(world.runUntil(Millis(8000), [&] { return op.newest == 2; }), "seed %lu", seed);
    world.kill(kRestarted);
    world.start(kRestarted);
    const auto& restarted = world.node(kRestarted).router;
    const auto& other = world.node(kOther).router;
    world.checks.emplace_back([&] {
      restartedReady |= restarted->isInformed();
      otherUnready |= !other->isInformed();
    });
    world.run(Millis(10'000));
    cr_assert_not(restartedReady, "seed %lu: ready with what nobody confirms", seed);
    cr_assert_not(otherUnready, "seed %lu: no longer ready", seed);
    cr_assert(restarted->publisher().state() && restarted->publisher().state()->revision == 1, "seed %lu", seed);
    cr_assert(other->unconfirmedFor(world.now()).has_value());
    for (const auto i : part) world.cutOff(i, rest, false);
    cr_assert(world.runUntil(feed::Times{}.applyTimeout,
                             [&] {
                               return restarted->isInformed() && restarted->publisher().state()->revision == 2 &&
                                      other->publisher().state()->revision == 2;
                             }),
              "seed %lu: not there in time", seed);
    cr_assert_not(otherUnready, "seed %lu: no longer ready", seed);
    holds(world);
  }
}

// One member sleeps through hundreds of changes and several epochs; then the two that went on are lost as well, and the
// one that slept comes back first.
Test(feed_world, members_restarted_after_hundreds_of_changes_catch_up_and_do_not_lead_with_old_state) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    sim::World world({.controllers = 3, .routers = 3, .seed = seed});
    Operator op{world};
    Changes changes{world, op};
    bringUp(world, op);
    changes.start(Millis(80));
    const auto sleeper = (*world.active() + 1 + seed % 2) % 3;
    world.kill(sleeper);
    while (op.newest < 400) {
      const auto before = op.newest;
      cr_assert(world.runUntil(Millis(20'000), [&] { return op.newest >= before + 100; }),
                "seed %lu: stuck after %lu: %s", seed, before, world.describe().c_str());
      if (op.newest >= 400) break;
      // Another epoch: the primary restarts.
      const auto primary = *world.active();
      world.kill(primary);
      world.run(Millis(200));
      world.start(primary);
    }
    // Both that hold the newest are lost at once; the sleeper alone must not lead.
    const auto newest = op.newest;
    const auto one = (sleeper + 1) % 3, other = (sleeper + 2) % 3;
    world.powerOff(one);
    world.powerOff(other);
    world.start(sleeper);
    world.run(Millis(8000));
    cr_assert(!world.active(), "seed %lu: leads with what it held before", seed);
    world.start(seed <= 2 ? one : other);
    world.run(Millis(8000));
    world.start(seed <= 2 ? other : one);
    cr_assert(world.runUntil(Millis(15'000), [&] { return op.newest > newest + 10; }), "seed %lu: %s", seed,
              world.describe().c_str());
    for (std::size_t i = 0; i < world.size(); ++i)
      cr_assert(world.runUntil(Millis(3000),
                               [&] {
                                 const auto& state = publisherOf(world.node(i)).state();
                                 return state && state->revision + 2 >= op.newest;
                               }),
                "seed %lu: %zu does not catch up", seed, i);
    holds(world);
  }
}
