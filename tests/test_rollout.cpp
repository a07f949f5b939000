// Rollouts of weights: records, orders, versions, the list of runners, and the plan of a change.
#include <fmt/format.h>

#include "control/calls.hpp"
#include "documents.hpp"
#include "feed/publisher.hpp"
#include "plan/plan.hpp"
#include "rollout/orders.hpp"
#include "rollout/versions.hpp"
#include "router/router_core.hpp"
#include "runners/list.hpp"
// These bring in Criterion, whose macros get in the way of Boost's headers, so they come last.
#include <criterion/criterion.h>
#include "rollouts.hpp"

using namespace indigohill;
using base::Millis;
using namespace tests;

namespace {

using Rollouts = std::vector<schema::Rollout>;
struct RolloutOrders {
  Rollouts rollouts{};
  std::vector<schema::RunnerEntry> runners{runner("a"), runner("b", "v2", 2)};
  int order(rollout::Change kind, const std::string& body, const std::string& service = "plain",
            std::string* what = nullptr) {
    auto out = rollout::change(kind, service, body, {rollouts, runners, [](const auto& s) { return s == "plain"; }});
    if (const auto* refused = std::get_if<rollout::Refusal>(&out)) {
      if (what != nullptr) *what = refused->what;
      return refused->status;
    }
    rollouts = std::get<0>(std::move(out));
    return 200;
  }
};

}  // namespace

Test(rollout, a_record_that_is_wrong_is_refused_and_the_field_is_named) {
  cr_assert(base::errorIn(rollout::parseRecord(record(1))) == nullptr);
  const std::vector<std::tuple<std::string, std::string, std::string>> cases{
      {R"("number":1)", R"("number":0)", "number: 1 or more"},
      {R"("number":1)", R"("number":"1")", "number: a whole number"},
      {R"("number":1,)", "", "number: missing"},
      {R"("service":"plain")", R"("service":"")", "service: a string"},
      {R"("stages")", R"("steps")", "steps: unknown field"},
      {R"("revision":"v1",)", "", "snapshots.old.revision: missing"},
      {R"("revision":"v1","models":[{"name":"m","revision":1,"adapters":["law"]}])", R"("revision":"v1")",
       "snapshots.old.models: missing"},
      {R"("name":"m","revision":2)", R"("name":"m")", "snapshots.new.models[0].revision: missing"},
      {R"("adapters":["law"]}]},)", R"("adapters":["law","law"]}]},)",
       "snapshots.old.models[0].adapters: 'law' is there twice"},
      {R"("revision":"v2","models":[{"name":"m","revision":2)", R"("revision":"v1","models":[{"name":"m","revision":1)",
       "snapshots.new: is the same as 'old'"},
      {R"("serve":["old"])", R"("serve":[])", "stages[0].serve: at least one"},
      {R"("serve":["old"])", R"("serve":["odd"])", "stages[0].serve: there is no snapshot 'odd'"},
      {R"("name":"both")", R"("name":"before")", "stages[1].name: 'before' is there twice"},
      {R"("serve":["old","new"])", R"("serve":["old"])", "stages[1].serve: contradicts the stages: the same"},
      {R"("serve":["old","new"])", R"("serve":["new"])", "stages[2].serve: contradicts the stages: the same"},
      {R"({"name":"after","serve":["new"]})", R"({"name":"after","serve":["new"]},{"name":"back","serve":["old"]})",
       "stages[3].serve: contradicts the stages: 'old' was left out before and comes back"},
      {R"("stages":)", R"("withinStream":[["old"]],"stages":)", "withinStream[0]: two snapshots"},
      {R"("stages":)", R"("withinStream":[["old","odd"]],"stages":)", "withinStream[0]: there is no snapshot 'odd'"},
      {R"("stages":)", R"("evenWithoutRunners":1,"stages":)", "evenWithoutRunners: true or false"}};
  for (const auto& [from, to, wanted] : cases) {
    const auto parsed = rollout::parseRecord(replaced(record(1), from, to));
    cr_assert(base::errorIn(parsed) != nullptr, "%s is taken", to.c_str());
    cr_assert(base::errorIn(parsed)->message.find(wanted) != std::string::npos, "wanted %s, got %s", wanted.c_str(),
              base::errorIn(parsed)->message.c_str());
  }
  cr_assert(base::errorIn(rollout::parseRecord("{\"service\":")) != nullptr);
  cr_assert(base::errorIn(rollout::parseRecord("[]")) != nullptr);
}

Test(rollout, whoever_disagrees_or_is_unknown_is_held_back_with_the_reason) {
  const auto r = inForce(0);
  cr_assert(why(r, runner("a")).empty());
  same(why(r, runner("a", "v2", 2)), "it has snapshot 'new', which stage 'before' does not let serve");
  same(why(r, runner("a", "v3")), "it has software v3, wanted v1");
  same(why(r, runner("a", "v1", 2)), "model m has weights 2, wanted 1");
  same(why(r, runner("a", "v1", 1, {"law", "tax"})), "model m has adapters [law, tax], wanted [law]");
  same(why(r, runner("a", "v1", 1, {})), "model m has adapters [], wanted [law]");
  same(why(r, runner("a", "")), "its snapshot is not known");
  auto bare = runner("a");
  bare.models.clear();
  same(why(r, bare), "model m is not known to be there");
  auto more = runner("a");
  more.models.push_back({"n", 1, {}});
  same(why(r, more), "model n is in no snapshot");
  // One model told twice with different weights is no snapshot that may serve.
  more.models.back() = {"m", 2, {"law"}};
  cr_assert(!why(r, more).empty());
  cr_assert(why(inForce(1), runner("a")).empty() && why(inForce(1), runner("a", "v2", 2)).empty());
  cr_assert(!why(inForce(2), runner("a")).empty() && why(inForce(2), runner("a", "v2", 2)).empty());
  // The order of adapters tells nothing.
  const auto two = inForce(0, replaced(record(1), R"("adapters":["law"]}]},)", R"("adapters":["tax","law"]}]},)"));
  cr_assert(why(two, runner("a", "v1", 1, {"law", "tax"})).empty());
  // A record that this program cannot read holds all back.
  const auto later = inForce(0, replaced(record(1), "\"stages\"", "\"phases\""));
  cr_assert(!later.record && why(later, runner("a")).find("cannot be read") != std::string::npos);
}

Test(rollout, orders_rise_in_number_and_go_one_stage_at_a_time) {
  RolloutOrders desk;
  std::string what;
  using enum rollout::Change;
  cr_assert_eq(desk.order(Advance, to(1), "plain", &what), 409);
  same(what, "no rollout is declared for service plain");
  cr_assert_eq(desk.order(Declare, record(3, "odd"), "odd", &what), 400);
  same(what, "service: 'odd' is not in the configuration");
  cr_assert_eq(desk.order(Declare, record(3), "odd"), 400);
  cr_assert_eq(desk.order(Declare, record(3)), 200);
  cr_assert_eq(desk.order(Declare, record(3), "plain", &what), 409);
  same(what, "number: 3 is not above the current one, 3");
  const auto kept = desk.rollouts;
  for (const auto& bad : {to(3), to(2)}) cr_assert_eq(desk.order(Advance, bad), 409);
  cr_assert_eq(desk.order(Advance, "{}", "plain", &what), 400);
  same(what, "number: missing");
  cr_assert_eq(desk.order(Advance, to(4, R"(,"step":1)")), 400);
  cr_assert_eq(desk.order(Advance, to(4, R"(,"stage":"after")"), "plain", &what), 409);
  same(what, "stage: the next one is 'both'");
  cr_assert(desk.rollouts == kept);
  cr_assert_eq(desk.order(Advance, to(4, R"(,"stage":"both")")), 200);
  cr_assert_eq(desk.order(Advance, to(7)), 200);
  cr_assert_eq(desk.order(Advance, to(8), "plain", &what), 409);
  same(what, "'after' is the last stage of service plain");
  cr_assert(desk.rollouts[0].number == 7 && desk.rollouts[0].stage == 2 && desk.rollouts[0].document == record(3));
  cr_assert_eq(desk.order(Withdraw, to(7)), 409);
  cr_assert_eq(desk.order(Withdraw, to(9)), 200);
  // Withdrawn is withdrawn: an old declaration that comes late stays out, and a newer one starts anew.
  cr_assert(!rollout::read(desk.rollouts[0]));
  cr_assert_eq(desk.order(Declare, record(8)), 409);
  cr_assert_eq(desk.order(Withdraw, to(10)), 409);
  cr_assert_eq(desk.order(Declare, record(10)), 200);
  cr_assert_eq(desk.rollouts.size(), 1u);
}

Test(rollout, a_change_that_would_leave_nobody_is_refused_unless_told_otherwise) {
  RolloutOrders desk{{}, {runner("a"), runner("x", "v1", 1, {"law"}, "engine")}};
  std::string what;
  using enum rollout::Change;
  cr_assert_eq(desk.order(Declare, record(1)), 200);
  cr_assert_eq(desk.order(Advance, to(2)), 200);
  cr_assert_eq(desk.order(Advance, to(3), "plain", &what), 409);
  same(what,
       "service plain would have no runner left at stage 'after'; a: it has snapshot 'old', which stage 'after' does "
       "not let serve");
  cr_assert_eq(desk.order(Advance, to(3, R"(,"evenWithoutRunners":true)")), 200);
  // One that drains is not left either, and neither is one that nobody has heard of.
  RolloutOrders draining{{}, {runner("a")}};
  draining.runners[0].draining = true;
  cr_assert_eq(draining.order(Declare, record(1)), 409);
  RolloutOrders none{{}, {}};
  cr_assert_eq(none.order(Declare, record(1), "plain", &what), 409);
  cr_assert(what.find("none is listed") != std::string::npos);
  cr_assert_eq(none.order(Declare, replaced(record(1), "\"number\":1", "\"number\":1,\"evenWithoutRunners\":true")),
               200);
}

Test(rollout, what_is_shown_is_the_record_as_sent_and_who_is_held_back) {
  const Rollouts list{{"plain", 4, 0, record(3)}, {"engine", 2, 0, ""}};
  same(rollout::describe(list), (R"({"rollouts":[{"service":"plain","number":4,"stage":"before","record":)" +
                                 record(3) + R"(},{"service":"engine","number":2,"withdrawn":true}]})"));
  same(
      rollout::status(list, {runner("a"), runner("b", "v1", 2)}),
      R"([{"service":"plain","number":4,"stage":"before","serving":1,"heldBack":[{"instanceId":"b","zone":"z0","why":"model m has weights 2, wanted 1"}]}])");
}

Test(rollout, the_platforms_list_tells_snapshots_and_a_bad_one_is_not_known) {
  const auto entry = [](const std::string& more) {
    return R"({"instances":[{"targetService":"plain","address":"10.0.0.1:80","zone":"z0","capacitySlots":6,"state":"ready","instanceId":"a")" +
           more + "}]}";
  };
  const auto read = [&](const std::string& more) {
    auto page = runners::parsePage(entry(more));
    cr_assert(base::errorIn(page) == nullptr, "%s", more.c_str());
    return std::get<0>(page).runners.at(0);
  };
  const auto whole = read(R"(,"revision":"v1","models":[{"name":"m","revision":1,"adapters":["law"]}])");
  cr_assert(rollout::snapshotOf(whole) == rollout::snapshotOf(runner("a")));
  cr_assert(read("").revision.empty());
  cr_assert(read(R"(,"revision":"v1")").revision == "v1" && read(R"(,"revision":"v1","models":null)").models.empty());
  for (const auto* bad :
       {"{}", "[{}]", R"([{"name":"m"}])", R"([{"name":"m","revision":"x"}])", R"([{"name":"m","revision":-1}])", "[3]",
        R"([{"name":"m","revision":1,"adapters":[1]}])", R"([{"name":"m","revision":1,"adapters":"law"}])"}) {
    const auto e = read(std::string(R"(,"revision":"v1","models":)") + bad);
    cr_assert(e.revision.empty() && e.models.empty() && e.instanceId == "a", "%s", bad);
  }
}

Test(rollout, versions_told_by_answers_and_events) {
  cr_assert(rollout::parseVersions("3").differsFrom(4) && !rollout::parseVersions(" 3 ").differsFrom(3));
  cr_assert(rollout::parseVersions("3,4").differsFrom(3) && !rollout::parseVersions("3, 3").differsFrom(3));
  // What tells nothing rejects nothing.
  for (const auto* text : {"", "x", "3x", ",", "3,x"})
    cr_assert(!rollout::parseVersions(text).differsFrom(3), "%s", text);
  const auto never = [](auto, auto) { return false; };
  const std::string one = "id: 1\ndata: a\n\n", changes = "indigohill-weight-versions: 2\nid: 2\ndata: b\n\n";
  std::optional<std::uint64_t> version = 1;
  const auto at = [&](const std::string& events, const auto& allowed) {
    const auto found = rollout::forbiddenChange(events, version, allowed);
    return found ? static_cast<int>(found->at) : -1;
  };
  cr_assert_eq(at(one + changes, never), static_cast<int>(one.size()));
  cr_assert_eq(*version, 1u);
  cr_assert_eq(at(one + changes, [](auto a, auto b) { return a == 1 && b == 2; }), -1);
  cr_assert_eq(*version, 2u);
  // In the text of an event, or not on its first line, it is no change.
  cr_assert_eq(at("id: 1\ndata: indigohill-weight-versions: 5\n\n", never), -1);
  cr_assert_eq(at("id: 1\nindigohill-weight-versions: 5\n\n", never), -1);
  cr_assert_eq(at("id: 1\r\n\r\nindigohill-weight-versions:7\r\nid: 2\r\n\r\n", never), 9);
  cr_assert_eq(at("indigohill-weight-versions: 2,3\nid: 2\n\n", [](auto, auto) { return true; }), 0);
  version.reset();
  cr_assert_eq(at(changes, never), -1);
  cr_assert_eq(*version, 2u);
}

Test(rollout, the_control_address_finds_its_calls) {
  using control::OrderKind;
  const std::vector<std::tuple<std::string, std::string, OrderKind>> calls{
      {"POST", "/v1/Rollouts.Declare/plain", OrderKind::DeclareRollout},
      {"POST", "/v1/Rollouts.Advance/plain", OrderKind::AdvanceRollout},
      {"POST", "/v1/Rollouts.Withdraw/plain", OrderKind::WithdrawRollout},
      {"GET", "/v1/Rollouts.Describe", OrderKind::DescribeRollouts}};
  for (const auto& [method, target, kind] : calls) {
    const auto found = control::findCall(method, target);
    cr_assert(found && found->order == kind, "%s", target.c_str());
  }
  cr_assert(!control::findCall("POST", "/v1/Rollouts.Declare/") && !control::findCall("POST", "/v1/Rollouts.Declare"));
}

Test(rollout, other_weights_are_a_change_of_the_list_and_count_in_its_digest) {
  const base::TimePoint now{std::chrono::hours(1)};
  feed::Publisher truth{feed::Times{}}, copy{feed::Times{}};
  for (auto* source : {&truth, &copy}) source->setRunners({1, 1}, {runner("a"), runner("b"), runner("c")}, now);
  std::uint64_t sequence = 1;
  const std::vector<schema::RunnerEntry> others{runner("b", "v1", 2), runner("b", "v2", 2), runner("b", "v2", 2, {}),
                                                runner("b", "v2", 2, {"tax"})};
  for (const auto& other : others) {
    const schema::StateVersion before{1, sequence};
    truth.setRunners({1, ++sequence}, {runner("a"), other, runner("c")}, now);
    net::Outbox out;
    truth.receive({1, {}, before}, {2, 2}, now, out);
    cr_assert_eq(out.size(), 1u);
    const auto& news = std::get<schema::Update>(out[0].message);
    const auto content = feed::contentOf(news);
    cr_assert(content.runnersBase == before && content.runners == std::vector{other} && content.gone.empty());
    // Of other weights on its way, it is not the list that it should be.
    for (const auto& spoilt : {runner("b", "v7", 2), runner("b", "v2", 7), runner("b", "v2", 2, {"else"})}) {
      auto bad = content;
      bad.runners = {spoilt};
      cr_assert_not(copy.applyRunners(news, bad, now));
    }
    cr_assert(copy.applyRunners(news, content, now));
    cr_assert(copy.runners() == truth.runners());
  }
}

Test(rollout, the_plan_shows_who_would_be_held_back) {
  plan::Side from;
  from.configuration =
      std::make_shared<const control::Configuration>(std::get<0>(control::parseConfiguration(tests::document(1))));
  from.runners = {runner("a"), runner("b", "v1", 2), runner("e", "v1", 1, {}, "engine")};
  auto to = from;
  cr_assert(!plan::make(from, to, 50).moves());
  to.rollouts = {inForce(0)};
  const auto shown = plan::make(from, to, 50);
  cr_assert(shown.moves() && shown.invalid.empty() && shown.heldBack.size() == 1 &&
            shown.heldBack[0].instanceId == "b");
  cr_assert(has(plan::asText(shown), "runner b of plain: held back, model m has weights 2, wanted 1") &&
            has(plan::asText(shown), "service plain: 2 -> 1 runners"));
  cr_assert(has(plan::asJson(shown), R"("heldBack":[{"service":"plain","instanceId":"b")"));
  to.rollouts = {inForce(2)};
  cr_assert(has(plan::asText(plan::make(from, to, 50)), "invalid: services 'plain': no runner is left for it"));
}
