// Rollouts of weights: the record and the orders, the simulated fleet, and requests over loopback sockets.
#include <fmt/format.h>

#include "cli/rollout.hpp"
#include "control/calls.hpp"
#include "documents.hpp"
#include "plan/plan.hpp"
#include "rollout/orders.hpp"
#include "rollout/versions.hpp"
#include "routing/table.hpp"
#include "runners/list.hpp"
#include "sim/world.hpp"
#include "standins.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using tests::replaced;
namespace asio = http::asio;

namespace {

// Two snapshots, old and new, and the way from one to the other.
std::string record(std::uint64_t number, const std::string& service = "plain") {
  return fmt::format(
      R"({{"service":"{}","number":{},"snapshots":{{"old":{{"revision":"v1","models":[{{"name":"m","revision":1,"adapters":["law"]}}]}},)"
      R"("new":{{"revision":"v2","models":[{{"name":"m","revision":2,"adapters":["law"]}}]}}}},)"
      R"("stages":[{{"name":"before","serve":["old"]}},{{"name":"both","serve":["old","new"]}},{{"name":"after","serve":["new"]}}]}})",
      service, number);
}
std::string to(std::uint64_t number, const std::string& more = "") {
  return fmt::format(R"({{"number":{}{}}})", number, more);
}

schema::RunnerEntry runner(const std::string& id, const std::string& revision = "v1", std::uint64_t weights = 1,
                           std::vector<std::string> adapters = {"law"}, const std::string& service = "plain") {
  return {id, service, "z0", 0x0a000001, 80, 6, false, 0, revision, {{"m", weights, std::move(adapters)}}};
}

rollout::InForce inForce(std::size_t stage = 0, const std::string& document = record(1)) {
  return *rollout::read({"plain", 1, static_cast<std::uint32_t>(stage), document});
}
std::string why(const rollout::InForce& r, const schema::RunnerEntry& entry) {
  return r.heldBack(rollout::snapshotOf(entry));
}

void same(const std::string& is, const std::string& wanted) {
  cr_assert(is == wanted, "is: %s\nwanted: %s", is.c_str(), wanted.c_str());
}

using Rollouts = std::vector<schema::Rollout>;
struct Desk {
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
    cr_assert(base::errorIn(parsed)->what.find(wanted) != std::string::npos, "wanted %s, got %s", wanted.c_str(),
              base::errorIn(parsed)->what.c_str());
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
  Desk desk;
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
  Desk desk{{}, {runner("a"), runner("x", "v1", 1, {"law"}, "engine")}};
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
  Desk draining{{}, {runner("a")}};
  draining.runners[0].draining = true;
  cr_assert_eq(draining.order(Declare, record(1)), 409);
  Desk none{{}, {}};
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
       {"{}", "[{}]", "[{\"name\":\"m\"}]", "[{\"name\":\"m\",\"revision\":\"x\"}]",
        "[{\"name\":\"m\",\"revision\":-1}]", "[3]", "[{\"name\":\"m\",\"revision\":1,\"adapters\":[1]}]",
        "[{\"name\":\"m\",\"revision\":1,\"adapters\":\"law\"}]"}) {
    const auto e = read(std::string(R"(,"revision":"v1","models":)") + bad);
    cr_assert(e.revision.empty() && e.models.empty() && e.instanceId == "a", "%s", bad);
  }
}

Test(rollout, versions_told_by_answers_and_events) {
  cr_assert(rollout::parseVersions("3").otherThan(4) && !rollout::parseVersions(" 3 ").otherThan(3));
  cr_assert(rollout::parseVersions("3,4").otherThan(3) && !rollout::parseVersions("3, 3").otherThan(3));
  // What tells nothing rejects nothing.
  for (const auto* text : {"", "x", "3x", ",", "3,x"})
    cr_assert(!rollout::parseVersions(text).otherThan(3), "%s", text);
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

namespace {
struct Routes {
  routing::RoutingSnapshot picture;
  routing::Table table{"z0", {}, 1, base::TimePoint{std::chrono::hours(1)}};
  base::TimePoint now{std::chrono::hours(2)};
  std::uint64_t sequence = 1;
  routing::RequestProfile asked;

  explicit Routes(std::vector<schema::RunnerEntry> runners) {
    state({});
    list(std::move(runners));
    asked.route = &picture.configuration->routes.at(1);
    asked.service = "plain";
    asked.arrivedAt = now - Millis(5000);
    asked.deadline = now + Millis(5000);
  }
  void state(std::vector<rollout::InForce> rollouts) {
    routing::fold(picture, routing::StateReceived{{1, ++sequence},
                                                  std::make_shared<const control::Configuration>(
                                                      std::get<0>(control::parseConfiguration(tests::document(1)))),
                                                  {},
                                                  std::move(rollouts)});
    set();
  }
  void list(std::vector<schema::RunnerEntry> runners) {
    routing::fold(picture, routing::RunnersReceived{{1, ++sequence}, std::move(runners), now});
    set();
  }
  void set() { table.setSnapshot(std::make_shared<const routing::RoutingSnapshot>(picture), now); }
  // How often each runner is chosen.
  std::map<std::string, int> chosen(int times = 60) {
    std::map<std::string, int> out;
    for (int i = 0; i < times; ++i) {
      auto decision = table.decide(asked, now);
      if (const auto* to = std::get_if<routing::PassTo>(&decision)) ++out[to->instanceId];
    }
    return out;
  }
};
}  // namespace

Test(rollout, a_runner_held_back_is_no_candidate_and_the_others_answer) {
  Routes r({runner("good"), runner("software", "v2"), runner("weights", "v1", 2), runner("adapters", "v1", 1, {}),
            runner("unknown", "")});
  cr_assert_eq(r.chosen().size(), 5u);
  r.state({inForce(0)});
  auto chosen = r.chosen();
  cr_assert(chosen.size() == 1 && chosen["good"] == 60);
  // What a request expects goes with it.
  auto decision = r.table.decide(r.asked, r.now);
  cr_assert_eq(*std::get<routing::PassTo>(decision).expectedVersion, 1u);
  // Weights that change after the first listing.
  r.list({runner("good", "v1", 2), runner("weights", "v1", 1)});
  chosen = r.chosen();
  cr_assert(chosen.size() == 1 && chosen["weights"] == 60);
  r.list({runner("good", "v1", 2)});
  cr_assert(r.chosen().empty());
  decision = r.table.decide(r.asked, r.now);
  same(std::get<routing::Reject>(decision).why, "no runner with a snapshot that may serve");
  r.state({});
  cr_assert_eq(r.chosen()["good"], 60);
  auto plain = r.table.decide(r.asked, r.now);
  cr_assert(!std::get<routing::PassTo>(plain).expectedVersion);
}

Test(rollout, a_runner_whose_answers_contradict_the_list_is_held_back_until_its_entry_changes) {
  Routes r({runner("good"), runner("liar")});
  r.table.versionMismatched("liar", "m", 2);
  cr_assert_eq(r.chosen().size(), 2u);  // nothing is declared
  r.state({inForce(0)});
  r.table.versionMismatched("liar", "m", 1);  // the list has caught up with the answer meanwhile
  cr_assert(r.chosen().size() == 2);
  r.table.versionMismatched("liar", "m", 2);
  cr_assert(r.chosen().size() == 1);
  r.list({runner("good"), runner("liar")});
  cr_assert(r.chosen().size() == 1);
  r.list({runner("good"), runner("liar", "v2", 2)});
  r.state({inForce(1)});
  cr_assert(r.chosen().size() == 2);
  // One that turned a request away is asked again after a while.
  r.table.versionRejected("liar", r.now);
  cr_assert(r.chosen().size() == 1);
  r.now += Millis(1500);
  cr_assert(r.chosen().size() == 2);
}

Test(rollout, a_stream_goes_on_at_the_same_snapshot_alone) {
  Routes r({runner("a"), runner("b", "v2"), runner("c", "v1", 2), runner("d")});
  r.asked.snapshot = rollout::snapshotOf(runner("x"));
  r.asked.tried = {"a"};
  auto chosen = r.chosen();
  cr_assert(chosen.size() == 1 && chosen["d"] == 60);
  // Of a version that the list did not tell: the version counts.
  r.asked.snapshot.reset();
  r.asked.version = 2;
  chosen = r.chosen();
  cr_assert(chosen.size() == 1 && chosen["c"] == 60);
}

Test(rollout, among_many_of_other_weights_the_few_that_fit_are_found) {
  // Far more runners than a ranking holds: chance alone would rarely meet the one that is left.
  std::vector<schema::RunnerEntry> runners;
  for (int i = 0; i < 400; ++i) runners.push_back(runner("other" + std::to_string(i), "v2", 2));
  runners.push_back(runner("like"));
  Routes r(runners);
  for (const bool declared : {false, true}) {
    if (declared) r.state({inForce(1)});
    for (const bool known : {true, false}) {
      r.asked.ranking = {};
      r.asked.version.reset();
      cr_assert(r.chosen(1).begin()->first.starts_with("other"));
      r.asked.snapshot = known ? std::optional(rollout::snapshotOf(runner("x"))) : std::nullopt;
      r.asked.version = 1;
      for (int i = 0; i < 5; ++i) cr_assert_eq(r.chosen(1)["like"], 1);
      r.asked.snapshot.reset();
    }
  }
  // Held back by its own answers between two lists, it is no candidate from then on.
  r.table.versionMismatched("like", "m", 3);
  cr_assert(r.chosen(1).empty());
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
      cr_assert_not(copy.takeRunners(news, bad, now));
    }
    cr_assert(copy.takeRunners(news, content, now));
    cr_assert(copy.runners() == truth.runners());
  }
}

// Over sockets: slot checks (a service without an engine) and streams against stand-in runners.

namespace {

using tests::Traffic;
using tests::Weighted;

struct Count {
  int good = 0, promised = 0, other = 0;
  std::string otherwise;  // the first answer that was neither
};
// Slot checks one after the other, and how they were answered.
Count slotChecks(Traffic& router, int times, const std::string& more = "") {
  Count out;
  for (int i = 0; i < times; ++i) {
    const auto answer = router.get("/check/1", more);
    ++(answer.starts_with("HTTP/1.1 200") ? out.good : answer.starts_with("HTTP/1.1 503") ? out.promised : out.other);
    if (!answer.starts_with("HTTP/1.1 200") && out.otherwise.empty()) out.otherwise = fmt::format("{}: {}", i, answer);
  }
  return out;
}
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
const std::string kEnd = "0\r\n\r\n";
std::string event(int id, const std::string& first = "") {
  return first + fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}
const std::string kNowTwo = "indigohill-weight-versions: 2\n";
rollout::InForce ofEngine(std::size_t stage, const std::string& document = record(1, "engine")) {
  return *rollout::read({"engine", 1, static_cast<std::uint32_t>(stage), document});
}

}  // namespace

Test(rollout_pass, mismatched_workers_serve_no_slot_check_and_the_others_answer_all) {
  Weighted good(runner("good")), fine(runner("fine")), software(runner("software", "v2")),
      weights(runner("weights", "v1", 2)), adapters(runner("adapters", "v1", 1, {"law", "tax"})),
      unknown(runner("unknown", ""));
  weights.weights = 2;
  Traffic router({&good, &fine, &software, &weights, &adapters, &unknown});
  const auto all = slotChecks(router, 60);
  cr_assert_eq(all.good, 60, "%s", all.otherwise.c_str());
  const auto mismatched = [&] { return software.ran + weights.ran + adapters.ran + unknown.ran; };
  const int before = mismatched();
  cr_assert_gt(before, 0);  // with nothing declared, all serve
  router.declare({inForce(0)});
  const auto count = slotChecks(router, 200);
  fmt::print(stderr, "slot checks after the declaration: {} answered, {} at mismatched workers, {} at the others\n",
             count.good, mismatched() - before, good.ran + fine.ran - (60 - before));
  cr_assert_eq(count.good, 200, "%s", count.otherwise.c_str());
  cr_assert_eq(mismatched(), before);
}

Test(rollout_pass, weights_that_change_after_listing_turn_away_and_the_request_goes_elsewhere) {
  Weighted good(runner("good")), changes(runner("changes"));
  Traffic router({&good, &changes});
  router.declare({inForce(0)});
  changes.weights = 2;  // the router's list is stale
  const auto count = slotChecks(router, 100);
  fmt::print(stderr,
             "slot checks with a stale list: {} answered, {} run and {} turned away by the runner that changed\n",
             count.good, changes.ran.load(), changes.turnedAway.load());
  cr_assert_eq(count.good, 100);
  cr_assert_eq(changes.ran.load(), 0);
  cr_assert_gt(changes.turnedAway.load(), 0);
}

Test(rollout_pass, a_runner_that_lies_in_the_list_is_found_out_by_its_answers) {
  Weighted good(runner("good")), liar(runner("liar"));
  liar.weights = 2;
  liar.heedsExpected = false;  // it runs whatever it gets
  Traffic router({&good, &liar});
  router.declare({inForce(0)});
  std::string all;
  int answered = 0;
  for (int i = 0; i < 100; ++i) {
    const auto out = router.get("/check/1");
    answered += out.starts_with("HTTP/1.1 200");
    all += out;
  }
  fmt::print(stderr, "slot checks beside a liar: {} answered, {} run by the liar, none of its answers passed on\n",
             answered, liar.ran.load());
  cr_assert_eq(answered, 100);
  cr_assert(!has(all, "s.liar") && !has(all, "Weight-Versions: 2"));
  cr_assert_eq(liar.ran.load(), 1);
  // Where nobody else is left, its answer is still no success: it has run, so nothing is promised either.
  Weighted alone(runner("alone"));
  alone.weights = 2;
  alone.heedsExpected = false;
  Traffic other({&alone});
  other.declare({inForce(0)});
  cr_assert(other.get("/check/1").starts_with("HTTP/1.1 502"));
  cr_assert(other.get("/check/1").starts_with("HTTP/1.1 503"));
  cr_assert_eq(alone.ran.load(), 1);
}

Test(rollout_pass, a_router_with_stale_news_gets_no_run_at_a_runner_that_has_moved_on) {
  // The stage has moved on and the runners with it; this router knows neither.
  Weighted one(runner("one")), two(runner("two"));
  one.weights = two.weights = 2;
  Traffic router({&one, &two});
  router.declare({inForce(0)});
  const auto count = slotChecks(router, 20);
  cr_assert_eq(count.good, 0);
  cr_assert_eq(count.promised, 20);
  cr_assert_eq(one.ran + two.ran, 0);
  // The news come.
  one.entry = [&] {
    auto e = runner("one", "v2", 2);
    e.ip = one.entry.ip;
    e.port = one.entry.port;
    return e;
  }();
  router.list({&one, &two});
  router.declare({inForce(2)});
  cr_assert_eq(slotChecks(router, 20).good, 20);
  cr_assert_eq(two.ran.load(), 0);
}

Test(rollout_pass, a_runner_that_tells_no_version_is_not_rejected) {
  Weighted silent(runner("silent"));
  silent.weights = 0;
  silent.heedsExpected = false;
  Traffic router({&silent});
  router.declare({inForce(0)});
  cr_assert_eq(slotChecks(router, 10).good, 10);
}

Test(rollout_pass, what_a_client_expects_holds_nobody_back) {
  Weighted good(runner("good"));
  Traffic router({&good});
  router.declare({inForce(0)});
  cr_assert_eq(slotChecks(router, 5, "Indigohill-Expected-Version: 9\r\n").promised, 5);
  cr_assert_eq(slotChecks(router, 5).good, 5);
}

Test(rollout_pass, a_change_in_the_middle_of_a_stream_ends_it_visibly) {
  Weighted only(runner("only", "v1", 1, {"law"}, "engine"));
  only.stream = {event(1), event(2) + event(3, kNowTwo), event(4)};
  for (const bool declared : {false, true}) {
    Traffic router({&only});
    if (declared) router.declare({ofEngine(0)});
    const auto out = router.get("/text/1");
    cr_assert(has(out, "piece 1") && has(out, "piece 2") && !has(out, "piece 3") && !has(out, "piece 4"), "%s",
              out.c_str());
    cr_assert(!out.ends_with(kEnd));
  }
  // The record may allow that pair.
  Traffic router({&only});
  router.declare(
      {ofEngine(1, replaced(record(1, "engine"), "\"stages\":", R"("withinStream":[["old","new"]],"stages":)"))});
  const auto out = router.get("/text/1");
  cr_assert(has(out, "piece 3") && has(out, "piece 4") && out.ends_with(kEnd), "%s", out.c_str());
  // The other way round it is not allowed.
  Traffic back({&only});
  back.declare(
      {ofEngine(1, replaced(record(1, "engine"), "\"stages\":", R"("withinStream":[["new","old"]],"stages":)"))});
  cr_assert(!back.get("/text/1").ends_with(kEnd));
}

Test(rollout_pass, a_change_within_a_stream_is_taken_up_at_a_runner_of_the_version_it_had) {
  Weighted changes(runner("changes", "v1", 1, {"law"}, "engine")), same(runner("same", "v1", 1, {"law"}, "engine"));
  changes.stream = {event(1), event(2, kNowTwo), event(3)};
  same.stream = {event(2), event(3)};
  Traffic router({&changes, &same});
  // Until the one that changes had it first.
  for (int i = 0; i < 50 && same.resumed == 0; ++i) {
    const auto out = router.get("/text/1");
    if (same.resumed == 0) continue;
    cr_assert(out.ends_with(kEnd) && has(out, "piece 1") && has(out, "piece 2") && has(out, "piece 3"), "%s",
              out.c_str());
    cr_assert(has(out, "s.changes") && !has(out, kNowTwo) && !has(out, "s.same"));
  }
  cr_assert_gt(same.resumed.load(), 0);
  cr_assert_eq(same.resumedFrom.load(), 1);  // the last event that was passed on, not the last that came
}

Test(rollout_pass, mismatched_workers_serve_no_stream_and_a_liar_none_that_is_passed_on) {
  const auto engine = [](const std::string& id, const std::string& revision = "v1", std::uint64_t weights = 1,
                         std::vector<std::string> adapters = {"law"}) {
    return runner(id, revision, weights, std::move(adapters), "engine");
  };
  Weighted good(engine("good")), software(engine("software", "v2")), weights(engine("weights", "v1", 2)),
      adapters(engine("adapters", "v1", 1, {})), changed(engine("changed")), liar(engine("liar"));
  for (auto* r : {&good, &software, &weights, &adapters, &changed, &liar}) r->stream = {event(1), event(2)};
  weights.weights = changed.weights = liar.weights = 2;
  liar.heedsExpected = false;
  Traffic router({&good, &software, &weights, &adapters, &changed, &liar});
  router.declare({ofEngine(0)});
  int whole = 0;
  std::string all;
  for (int i = 0; i < 100; ++i) {
    const auto out = router.get("/text/1");
    whole += out.starts_with("HTTP/1.1 200") && out.ends_with(kEnd);
    all += out;
  }
  fmt::print(stderr, "streams after the declaration: {} whole, {} run by mismatched workers, {} by the liar\n", whole,
             software.ran + weights.ran + adapters.ran + changed.ran, liar.ran.load());
  cr_assert_eq(whole, 100);
  cr_assert_eq(software.ran + weights.ran + adapters.ran + changed.ran, 0);
  cr_assert_leq(liar.ran.load(), 1);
  cr_assert(!has(all, "s.liar"));
}

Test(rollout_pass, a_broken_stream_goes_on_at_the_same_snapshot_alone) {
  // Nothing is declared: the list tells who is alike.
  Weighted breaks(runner("breaks", "v1", 1, {"law"}, "engine")),
      software(runner("software", "v2", 1, {"law"}, "engine")), weights(runner("weights", "v1", 2, {"law"}, "engine")),
      adapters(runner("adapters", "v1", 1, {}, "engine"));
  weights.weights = 2;
  breaks.breaks = true;
  breaks.stream = {event(1)};
  for (auto* r : {&software, &weights, &adapters}) r->stream = {event(2)};
  Traffic router({&breaks, &software, &weights, &adapters});
  int cut = 0;
  for (int i = 0; i < 80; ++i) {
    const auto out = router.get("/text/1");
    cut += has(out, "piece 1");
    cr_assert(!has(out, "piece 1") || (!has(out, "piece 2") && !out.ends_with(kEnd)), "%s", out.c_str());
  }
  cr_assert_gt(cut, 0);
  cr_assert_eq(software.resumed + weights.resumed + adapters.resumed, 0);
  // One of the same snapshot whose weights have changed since it was listed says so, and has not run.
  Weighted alike(runner("alike", "v1", 1, {"law"}, "engine"));
  alike.weights = 2;
  alike.stream = {event(2)};
  Traffic other({&breaks, &alike});
  for (int i = 0; i < 40; ++i) other.get("/text/1");
  cr_assert_eq(alike.resumed.load(), 0);
  cr_assert_gt(alike.turnedAway.load(), 0);
}

Test(rollout_pass, with_nothing_declared_a_request_carries_nothing_more) {
  const http::Request in = [] {
    http::Request r(http::wire::verb::get, "/check/1", 11);
    r.set("Indigohill-Model", "m");
    return r;
  }();
  cr_assert_eq(proxy::forRunner(in, "r", Millis(100), "").count("Indigohill-Expected-Version"), 0u);
  cr_assert(proxy::forRunner(in, "r", Millis(100), "", 3)["Indigohill-Expected-Version"] == "3");
}

// The simulated fleet.

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
    world.checks.push_back([this] { look(); });
    std::uint64_t taken = 0;
    cr_assert(world.runUntil(Millis(5000), [&] { return world.active().has_value(); }));
    world.orderUntilClear(control::OrderKind::Replace, 0, tests::document(1), [&](const auto& a) { taken = a.status; });
    cr_assert(world.runUntil(Millis(9000), [&] { return taken == 200 && allInformed(); }), "seed %lu", seed);
  }
  bool allInformed() {
    for (std::size_t i = world.controllers(); i < world.size(); ++i)
      if (!world.node(i).alive || !world.node(i).follower->informed()) return false;
    return true;
  }
  // After the bound, no decision of a router that is in touch names a runner that is held back, and each finds one.
  void look() {
    static const control::Configuration configuration = std::get<0>(control::parseConfiguration(tests::document(1)));
    if (mayServe.empty()) return;
    for (std::size_t i = world.controllers(); i < world.size(); ++i) {
      auto& n = world.node(i);
      if (!n.alive || n.frozen || outOfTouch.contains(i) || !n.follower->informed()) continue;
      routing::RequestProfile asked;
      asked.route = &configuration.routes[1];
      asked.service = "plain";
      asked.arrivedAt = world.now();
      asked.deadline = world.now() + Millis(1500);
      auto decision = n.table->decide(asked, world.now());
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

Test(rollout_world, a_daemon_that_holds_something_else_under_the_stamp_is_not_ready_and_fetches_it_whole) {
  const settings::Endpoint source{1, 1};
  const auto now = base::TimePoint{std::chrono::hours(1)};
  feed::Publisher truth{feed::Times{}};
  schema::ControlState state{{1, 5}, 1, tests::document(1), {}, {}, {{"plain", 1, 0, record(1)}}};
  truth.setState(state);
  truth.setRunners({1, 1}, {runner("good")}, now);
  truth.setConfirmed(true);
  feed::Follower follower({"r", "z0", {2, 2}}, {source}, membership::Times{}, feed::Times{}, Millis(3000), 1, now);
  routing::RoutingSnapshot picture;
  // Carries asks to the source and its answers back, as `spoil` leaves them.
  auto at = now;
  const auto round = [&](const std::function<void(schema::Update&)>& spoil) {
    feed::FollowerEffects effects;
    at += Millis(800);
    follower.tick(at, effects);
    for (const auto& item : effects.out)
      if (const auto* ask = std::get_if<schema::Poll>(&item.message)) {
        net::Outbox out;
        truth.receive(*ask, {2, 2}, at, out);
        truth.tick(at + Millis(700), out);
        for (auto& answer : out) {
          auto news = std::get<schema::Update>(answer.message);
          spoil(news);
          feed::FollowerEffects after;
          follower.receive(news, source, at, after);
          for (const auto& event : after.events) routing::fold(picture, event);
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
  cr_assert(follower.informed() && picture.rollouts.at("plain").number == 1);
  for (int i = 0; i < 3; ++i) round(plainly);
  cr_assert(follower.informed());
  // A new one arrives as something else.
  state.version.sequence = 6;
  state.rollouts[0].number = 2;
  truth.setState(state);
  round(other);
  cr_assert(!follower.informed() && picture.rollouts.at("plain").number == 7);
  for (int i = 0; i < 5; ++i) round(plainly);
  cr_assert(follower.informed() && picture.rollouts.at("plain").number == 2);
  // A record of a later program: held back and not ready until one comes that it can read.
  state.version.sequence = 7;
  state.rollouts[0].document = replaced(record(3), "\"stages\"", "\"phases\"");
  truth.setState(state);
  for (int i = 0; i < 6; ++i) {
    round(plainly);
    cr_assert(!follower.informed());
  }
  cr_assert(!picture.rollouts.at("plain").record);
  state.version.sequence = 8;
  state.rollouts[0].document = record(4);
  truth.setState(state);
  for (int i = 0; i < 4; ++i) round(plainly);
  cr_assert(follower.informed() && picture.rollouts.at("plain").record);
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

// The command line against stand-in controllers.

namespace {
struct Desks {
  asio::io_context io;
  std::vector<std::string> seen;  // METHOD target body
  std::vector<std::unique_ptr<http::Server>> servers;
  std::thread thread;
  using Answers = std::function<std::pair<int, std::string>(const std::string& target)>;

  // Each answers by its function; a 307 names the next one.
  explicit Desks(std::vector<Answers> answers) {
    for (std::size_t i = 0; i < answers.size(); ++i) {
      const auto probe = http::listen(io.get_executor(), {0x7f000001, 0}, "probe");
      ports.push_back(probe.local_endpoint().port());
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
      servers.push_back(std::make_unique<http::Server>(
          io.get_executor(), settings::Endpoint{0x7f000001, ports[i]}, http::Server::Limits{},
          [this, i, answer = answers[i]](http::Request r, settings::Endpoint) -> asio::awaitable<http::Response> {
            const std::string target(r.target());
            seen.push_back(fmt::format("{} {} {}", i, target, r.body()));
            const auto [status, body] = answer(target);
            auto out = http::answer(r, status, body);
            if (status == 307)
              out.set("Location", fmt::format("http://127.0.0.1:{}{}", ports[(i + 1) % ports.size()], target));
            co_return out;
          }));
      servers.back()->start();
    }
    thread = std::thread([this] { io.run(); });
  }
  ~Desks() {
    io.stop();
    thread.join();
  }
  cli::RolloutArguments arguments() {
    cli::RolloutArguments a;
    for (const auto port : ports) a.control.push_back(fmt::format("127.0.0.1:{}", port));
    a.service = "plain";
    a.waitS = 1;
    return a;
  }
  std::vector<std::uint16_t> ports;
};
std::string described(std::uint64_t number) {
  return fmt::format(R"({{"rollouts":[{{"service":"plain","number":{},"stage":"before","record":{}}}]}})", number,
                     record(number));
}
}  // namespace

Test(rollout_cli, redirections_are_followed_and_what_settles_nothing_is_sent_again) {
  int refused = 0;
  Desks desks({[](const auto&) {
                 return std::pair{307, std::string()};
               },
               [&](const auto& target) {
                 if (target == "/v1/Rollouts.Describe") return std::pair{200, described(4)};
                 return ++refused < 3 ? std::pair{503, std::string("no primary")} : std::pair{200, std::string("{}")};
               }});
  auto a = desks.arguments();
  a.waitS = 20;
  cr_assert_eq(cli::runRollout(cli::RolloutVerb::Advance, a), 0);
  cr_assert_gt(refused, 2);
  for (const auto& line : desks.seen)
    if (has(line, "Advance"))
      cr_assert(has(line, R"(/v1/Rollouts.Advance/plain {"service":"plain","number":5})"), "%s", line.c_str());
}

Test(rollout_cli, exit_statuses_tell_what_happened) {
  int status = 200;
  std::string held = "[]";
  Desks desks({[&](const auto& target) {
    if (target == "/v1/Rollouts.Describe") return std::pair{200, described(1)};
    if (target == "/v1/Status")
      return std::pair{200, R"({"rollouts":[{"service":"plain","serving":1,"heldBack":)" + held + "}]}"};
    return std::pair{status, std::string("why")};
  }});
  auto a = desks.arguments();
  using enum cli::RolloutVerb;
  cr_assert_eq(cli::runRollout(Status, a), 0);
  held = R"([{"instanceId":"b","zone":"z","why":"unknown"}])";
  cr_assert_eq(cli::runRollout(Status, a), 1);
  for (const auto& [answered, exit] : std::map<int, int>{{200, 0}, {400, 2}, {409, 4}, {503, 5}}) {
    status = answered;
    cr_assert_eq(cli::runRollout(Withdraw, a), exit, "%d", answered);
  }
  a.file = "/nowhere/record.json";
  cr_assert_eq(cli::runRollout(Declare, a), 3);
  a.control = {"nowhere"};
  cr_assert_eq(cli::runRollout(Status, a), 3);
}
