// Recorded traffic replayed against a changed policy.
#include <fmt/format.h>

#include <fstream>

#include "cli/replay_command.hpp"
#include "documents.hpp"
#include "replay/report.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using tests::replaced;

namespace {

const std::string kBooking =
    R"(,{"name":"r-book","hostname":"a.example","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":2000,)"
    R"("targetLatencyMs":500,"priority":1,"targetService":"plain","maxAttempts":2})";

std::shared_ptr<const control::Configuration> configuration(const std::string& text) {
  auto parsed = control::parseConfiguration(text);
  cr_assert(base::errorIn(parsed) == nullptr, "%s",
            base::errorIn(parsed) ? base::errorIn(parsed)->message.c_str() : "");
  return std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
}

std::string record(int atMs, const std::string& path, int id, int totalMs, const std::string& prompt = "",
                   const std::string& tokens = "") {
  return fmt::format(
      R"({{"kind":"request","atMs":{},"host":"a.example","path":"{}","id":"q{}","leftMs":3000,"prompt":"{}","tokens":"{}",)"
      R"("status":200,"tries":1,"firstMs":5,"totalMs":{}}})"
      "\n",
      atMs, path, id, prompt, tokens, totalMs);
}

// A mix of checks, bookings and long texts with shared parts.
std::string mix(int count, int everyMs) {
  std::string out = "{\"ms\":1,\"level\":\"info\",\"msg\":\"a line that is no record\"}\n";
  for (int i = 0; i < count; ++i) {
    const auto at = 1000 + i * everyMs;
    if (i % 4 == 0)
      out += record(at, "/text/1", i, 900, fmt::format("a1:500,{:x}:4000,{:x}:800", 100 + i % 7, 5000 + i), "5300,120");
    else
      out += record(at, i % 4 == 1 ? "/book/1" : "/check/1", i, 40);
  }
  return out;
}

const std::string kFleet = R"({"routers":3,"clientTries":1,"listLagMs":300,"runners":[
  {"service":"engine","zone":"z0","count":2,"slots":64,"promptTokensPerMs":100},
  {"service":"engine","zone":"z1","count":2,"slots":64,"promptTokensPerMs":100},
  {"service":"plain","zone":"z0","slots":6,"queue":24},{"service":"plain","zone":"z1","slots":6,"queue":24}]TROUBLES})";

replay::Model fleet(const std::string& troubles = "") {
  auto parsed = replay::parseModel(replaced(kFleet, "TROUBLES", troubles.empty() ? "" : ",\"troubles\":" + troubles));
  cr_assert(base::errorIn(parsed) == nullptr, "%s",
            base::errorIn(parsed) ? base::errorIn(parsed)->message.c_str() : "");
  return std::get<0>(std::move(parsed));
}
std::vector<replay::Recorded> traffic(const std::string& lines) {
  auto parsed = replay::parseRecording(lines);
  cr_assert(base::errorIn(parsed) == nullptr);
  return std::get<0>(std::move(parsed));
}
settings::Policy policy(const std::string& lines) { return std::get<0>(settings::parsePolicy(lines)); }

std::map<std::string, replay::Counts> counts(const std::vector<replay::Outcome>& outcomes) {
  return replay::compare(outcomes, outcomes).current;
}

}  // namespace

Test(replay, records_and_fleets_that_cannot_be_read_are_named) {
  const auto lineOf = [](const std::string& text) {
    auto r = replay::parseRecording(text);
    return base::errorIn(r) == nullptr ? std::string() : base::errorIn(r)->message;
  };
  cr_assert_eq(lineOf(mix(4, 10)), "");
  cr_assert(lineOf("").starts_with("holds no record"));
  cr_assert(lineOf("x\n{\"kind\":\"request\",").starts_with("line 2:"));
  cr_assert(lineOf(replaced(record(1, "/a/", 1, 1), "\"path\":\"/a/\",", "")).starts_with("line 1: path: missing"));
  cr_assert(lineOf(replaced(record(1, "/a/", 1, 1), "\"atMs\":1", "\"atMs\":\"1\"")).starts_with("line 1: atMs:"));
  const auto fieldOf = [](const std::string& text) {
    auto r = replay::parseModel(text);
    return base::errorIn(r) == nullptr ? std::string() : base::errorIn(r)->message;
  };
  cr_assert(fieldOf("{}").starts_with("runners: missing"));
  cr_assert(fieldOf("nonsense").starts_with("not readable"));
  cr_assert(fieldOf(R"({"runners":[{"zone":"z"}]})").starts_with("runners[0].service: missing"));
  cr_assert(fieldOf(R"({"runners":[{"service":"s","zone":"z","slots":0}]})").starts_with("runners[0].slots:"));
  cr_assert(fieldOf(replaced(kFleet, "TROUBLES", R"(,"troubles":[{"kind":"flood","name":"router/0"}])"))
                .starts_with("troubles[0].kind:"));
  cr_assert(fieldOf(replaced(kFleet, "TROUBLES", R"(,"troubles":[{"kind":"router_kill","name":"router/9"}])"))
                .starts_with("troubles[0].name:"));
  cr_assert(
      base::errorIn(settings::parsePolicy("policy.overlapWeight=many"))->message.starts_with("policy.overlapWeight:"));
}

Test(replay, a_calm_mix_is_served_in_aim_and_the_same_twice) {
  const auto requests = traffic(mix(400, 20));
  const auto rules = configuration(tests::document(1, 3000, kBooking));
  replay::Fleet one(fleet(), rules, rules, settings::defaultPolicy(), 7);
  replay::Fleet two(fleet(), rules, rules, settings::defaultPolicy(), 7);
  const auto first = one.play(requests), second = two.play(requests);
  const auto comparison = replay::compare(first, second);
  cr_assert(comparison.holds() && comparison.better.empty());
  cr_assert(comparison.current == comparison.changed);
  for (const auto& [route, c] : comparison.current)
    cr_assert(c.inAim == c.requests && c.missing == 0 && c.doubled == 0, "%s: %zu of %zu", route.c_str(), c.inAim,
              c.requests);
  cr_assert_eq(comparison.current.size(), 3u);
}

Test(replay, a_policy_that_sends_away_too_early_shows_as_missing) {
  const auto requests = traffic(mix(600, 4));
  const auto rules = configuration(tests::document(1, 3000, kBooking));
  replay::Fleet current(fleet(), rules, rules, settings::defaultPolicy(), 7);
  replay::Fleet changed(fleet(), rules, rules, policy("policy.plainFill=0.2\npolicy.waitShare=0\n"), 7);
  const auto comparison = replay::compare(current.play(requests), changed.play(requests));
  cr_assert_not(comparison.holds());
  cr_assert(comparison.changed.at("r-check").missing > comparison.current.at("r-check").missing);
  const auto text = replay::asText(comparison, 5);
  cr_assert(text.find("-> missing") != std::string::npos && text.find("more") != std::string::npos, "%s", text.c_str());
  cr_assert(replay::asJson(comparison).find("\"holds\":false") != std::string::npos);
}

Test(replay, a_policy_without_affinity_shows_as_late) {
  // Engines that read slowly: whoever reads shared parts again is late.
  auto model = fleet();
  for (auto& g : model.groups)
    if (g.service == "engine") g.promptTokensPerMs = 6;
  const auto requests = traffic(mix(400, 30));
  const auto rules = configuration(tests::document(1, 3000, kBooking));
  replay::Fleet current(model, rules, rules, settings::defaultPolicy(), 7);
  replay::Fleet changed(model, rules, rules,
                        policy("policy.overlapWeight=0\npolicy.blockTokens=1000000\npolicy.lateWeight=0\n"), 7);
  const auto comparison = replay::compare(current.play(requests), changed.play(requests));
  cr_assert(comparison.changed.at("r-text").late > comparison.current.at("r-text").late + 3, "%zu, %zu",
            comparison.changed.at("r-text").late, comparison.current.at("r-text").late);
}

Test(replay, a_runner_that_crashes_doubles_no_booking) {
  const auto requests = traffic(mix(800, 5));
  const auto rules = configuration(tests::document(1, 3000, kBooking));
  const auto crash = fleet(R"([{"kind":"runner_crash","name":"plain/z0/0","atMs":1500,"forMs":1000},
                               {"kind":"router_kill","name":"router/1","atMs":2500,"forMs":500}])");
  replay::Fleet current(crash, rules, rules, settings::defaultPolicy(), 7);
  const auto before = current.play(requests);
  const auto kept = counts(before);
  cr_assert_eq(kept.at("r-book").doubled, 0u);
  cr_assert_gt(kept.at("r-book").missing, 0u, "a booking in the crashed runner's hands cannot be had back");
  cr_assert_gt(kept.at("r-check").furtherRuns, 0u, "checks may run again, and do");
  // A configuration that calls bookings repeatable saves some, at the price of running them twice: shown as such,
  // since what may repeat is judged by the configuration in force.
  const auto loose =
      configuration(replaced(tests::document(1, 3000, kBooking), "\"non_idempotent\"", "\"idempotent\""));
  replay::Fleet changed(crash, loose, rules, settings::defaultPolicy(), 7);
  const auto comparison = replay::compare(before, changed.play(requests));
  cr_assert_gt(comparison.changed.at("r-book").doubled, 0u);
  cr_assert_not(comparison.holds());
}

Test(replay, a_drained_runner_loses_nothing) {
  const auto requests = traffic(mix(400, 10));
  const auto rules = configuration(tests::document(1, 3000, kBooking));
  replay::Fleet drained(fleet(R"([{"kind":"runner_drain","name":"plain/z1/0","atMs":1000}])"), rules, rules,
                        settings::defaultPolicy(), 7);
  for (const auto& [route, c] : counts(drained.play(requests)))
    cr_assert(c.missing == 0 && c.doubled == 0, "%s", route.c_str());
}

Test(replay, the_command_says_by_its_exit_status_what_it_found) {
  const std::string folder = "/tmp/indigohill-replay-" + std::to_string(getpid()) + "-";
  const auto file = [&](const char* name, const std::string& text) {
    std::ofstream(folder + name) << text;
    return folder + name;
  };
  cli::ReplayArguments a;
  a.traffic = {file("traffic", mix(300, 4))};
  a.configuration = file("configuration", tests::document(1, 3000, kBooking));
  a.fleet = file("fleet", replaced(kFleet, "TROUBLES", ""));
  a.json = true;
  cr_assert_eq(cli::runReplay(a), 0);
  a.changedPolicy = file("policy", "policy.plainFill=0.2\npolicy.waitShare=0\n");
  cr_assert_eq(cli::runReplay(a), 1);
  a.changedPolicy = file("bad", "policy.plainFill=no\n");
  cr_assert_eq(cli::runReplay(a), 2);
  a.changedPolicy.clear();
  a.configuration = folder + "none";
  cr_assert_eq(cli::runReplay(a), 2);
  for (const auto* name : {"traffic", "configuration", "fleet", "policy", "bad"}) std::remove((folder + name).c_str());
}
