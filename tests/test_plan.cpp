// What a change would move, compared with what then moves; and the import of another proxy's file.
#include <fmt/format.h>

#include <cmath>
#include <fstream>

#include "base/hash.hpp"
#include "cli/plan_command.hpp"
#include "documents.hpp"
#include "import/envoy.hpp"
#include "plan/plan.hpp"
#include "sim/world.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using tests::replaced;

namespace {

plan::Side side(const std::string& document, std::size_t engines) {
  plan::Side out;
  auto parsed = control::parseConfiguration(document);
  cr_assert(base::errorIn(parsed) == nullptr);
  out.configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
  for (std::uint32_t i = 0; i < engines; ++i)
    out.runners.push_back(
        {fmt::format("e-{}", i), "engine", fmt::format("zone-{}", i % 3), 0x0a010000 + i, 80, 128, false, 0});
  out.runners.push_back({"p-0", "plain", "zone-0", 0x0a020000, 80, 6, false, 0});
  out.daemons.routers = 5;
  out.daemons.controllers = 3;
  out.daemons.bounds.retrySlack = 60;
  return out;
}

kvindex::PromptParts prompt(std::size_t i) { return {{base::hash(std::to_string(i)), 1}, {0, 1}}; }

const plan::ServiceChange* of(const plan::Plan& p, const std::string& name) {
  for (const auto& s : p.services)
    if (s.name == name) return &s;
  return nullptr;
}

// Where each router of a simulated fleet sends the first of each prompt.
std::map<std::string, std::vector<std::string>> sent(sim::World& world, std::size_t samples) {
  std::map<std::string, std::vector<std::string>> out;
  for (std::size_t r = world.controllers(); r < world.size(); ++r) {
    auto& n = world.node(r);
    const auto picture = n.table->snapshot();
    for (std::size_t i = 0; i < samples; ++i) {
      routing::RequestProfile asked;
      asked.route = picture->route("a.example", "/text/1");
      asked.service = "engine";
      asked.prompt = prompt(i);
      asked.prompt[0].tokens = 50000;  // long enough for its place to matter more than the draw of the demand
      asked.arrivedAt = world.now();
      asked.deadline = world.now() + Millis(1000);
      auto decision = n.table->decide(asked, world.now());
      cr_assert(std::holds_alternative<routing::PassTo>(decision));
      out[n.name].push_back(std::get<routing::PassTo>(decision).instanceId);
    }
  }
  return out;
}

}  // namespace

Test(plan, nothing_moves_when_nothing_changes) {
  const auto now = side(tests::document(1), 4);
  const auto p = plan::make(now, now);
  cr_assert(!p.moves() && p.invalid.empty());
  cr_assert_eq(plan::asText(p), "nothing moves\n");
}

Test(plan, what_moves_is_what_the_simulated_fleet_then_moves) {
  const std::size_t samples = 1500;
  const auto before = side(tests::document(1, 1001), 4), after = side(tests::document(1, 1001), 5);
  const auto p = plan::make(before, after, samples);
  cr_assert_not_null(of(p, "engine"));
  const auto expected = of(p, "engine")->prefixesMoved;
  // A fifth runner takes about a fifth of the prefixes and nothing else moves.
  cr_assert(std::abs(expected - 0.2) < 0.05, "%f", expected);

  sim::World world({.controllers = 3, .routers = 3, .loss = 0});
  world.platform = before.runners;
  int status = 0;
  cr_assert(world.runUntil(Millis(5000), [&] { return world.active().has_value(); }));
  world.orderUntilClear(control::OrderKind::Replace, 0, tests::document(1, 1001),
                        [&](const auto& a) { status = a.status; });
  const auto listed = [&](std::size_t count) {
    return world.runUntil(Millis(8000), [&] {
      for (std::size_t r = world.controllers(); r < world.size(); ++r) {
        const auto picture = world.node(r).table->snapshot();
        if (!picture->configuration || picture->runners.size() != count) return false;
      }
      return status == 200;
    });
  };
  cr_assert(listed(5));
  const auto first = sent(world, samples);
  world.platform = after.runners;
  cr_assert(listed(6));
  const auto second = sent(world, samples);
  for (const auto& [router, where] : first) {
    std::size_t moved = 0;
    for (std::size_t i = 0; i < samples; ++i) moved += where[i] != second.at(router)[i];
    cr_assert_float_eq(static_cast<double>(moved) / samples, expected, 1e-9, "%s", router.c_str());
  }
  cr_assert(!world.broken());
}

Test(plan, routes_are_named_with_what_becomes_of_them) {
  const auto before = side(tests::document(1), 4);
  auto document = tests::document(
      2, 2500,
      R"(,{"name":"r-new","hostname":"a.example","pathPrefix":"/new/","routeType":"idempotent","timeoutMs":5,"targetService":"plain"})");
  document = replaced(
      document, R"("targetService":"plain","maxAttempts":2)",
      R"("trafficSplit":[{"targetService":"plain","weight":75},{"targetService":"engine","weight":25}],"maxAttempts":2)");
  const auto after = side(document, 4);
  const auto p = plan::make(before, after);
  std::map<std::string, plan::RouteChange> changes;
  for (const auto& r : p.routes) changes[fmt::format("{} {}", r.name, plan::name(r.kind))] = r;
  cr_assert(changes.contains("r-new added") && changes.contains("r-text changed") &&
            changes.contains("r-check re-aimed"));
  cr_assert_eq(changes["r-text changed"].from, "timeoutMs");
  cr_assert(std::abs(changes["r-check re-aimed"].moved - 0.25) < 0.03, "%f", changes["r-check re-aimed"].moved);
  // The other way round a route is removed, and the revision does not rise.
  const auto back = plan::make(after, before);
  cr_assert(std::any_of(back.routes.begin(), back.routes.end(),
                        [](const auto& r) { return r.kind == plan::RouteChangeKind::Removed; }));
  cr_assert_eq(back.invalid.size(), 1u);
  cr_assert(back.invalid[0].starts_with("revision:"));
  cr_assert(plan::asJson(back).find("\"removed\"") != std::string::npos);
}

Test(plan, shares_follow_the_number_of_routers) {
  auto before = side(tests::document(1), 4);
  auto after = before;
  after.daemons.routers = 10;
  const auto p = plan::make(before, after);
  cr_assert_float_eq(p.slackFrom, 2 * p.slackTo, 1e-9);
  cr_assert(of(p, "engine")->slowStartRateTo < of(p, "engine")->slowStartRateFrom);
  after.daemons.controllers = 1;
  cr_assert_eq(plan::make(before, after).invalid.size(), 1u);
  // Of six controllers three vote where one may be lost, five where two may.
  before.daemons.controllers = 6;
  after = before;
  after.daemons.controllers = 2;
  cr_assert(plan::make(before, after).invalid.empty());
  before.daemons.faultTolerance = 2;
  cr_assert_eq(plan::make(before, after).invalid.size(), 1u);
  after = before;
  after.runners.clear();
  after.runners.push_back({"e-0", "engine", "zone-0", 1, 80, 128, false, 0});
  cr_assert(plan::make(before, after).invalid.at(0).find("'plain'") != std::string::npos);
}

Test(plan, the_command_tells_files_and_fields_and_exits_as_documented) {
  const std::string folder = "/tmp/indigohill-plan-" + std::to_string(getpid()) + "-";
  const auto file = [&](const char* name, const std::string& text) {
    std::ofstream(folder + name) << text;
    return folder + name;
  };
  cli::PlanArguments a;
  a.current = file("current", tests::document(3));
  cr_assert_eq(cli::runPlan(a), 0);
  a.update = file("update", tests::update(4, 777));
  cr_assert_eq(cli::runPlan(a), 1);
  a.update = file("low", tests::update(2, 777));
  cr_assert_eq(cli::runPlan(a), 2);
  a.update.clear();
  a.changed = file("bad", tests::document(4, 0));
  cr_assert_eq(cli::runPlan(a), 2);
  a.changed.clear();
  a.daemons = file("daemons", R"({"daemons":[{"id":"a","role":"cook"}]})");
  cr_assert_eq(cli::runPlan(a), 3);
  cr_assert_eq(base::errorIn(plan::parseDaemons(R"({"daemons":[{"id":"a","role":"cook"}]})"))->message.substr(0, 15),
               "daemons[0].role");
  a.daemons.clear();
  a.runners = folder + "none";
  cr_assert_eq(cli::runPlan(a), 3);
  for (const auto* name : {"current", "update", "low", "bad", "daemons"}) std::remove((folder + name).c_str());
}

namespace {
const std::string kEnvoy = R"(admin: {address: {}}
static_resources:
  listeners:
  - name: main
    filter_chains:
    - filters:
      - name: http
        typed_config:
          route_config:
            virtual_hosts:
            - name: site
              domains: ["shop.example:443", "*.example"]
              cors: {}
              routes:
              - match: {prefix: "/a/"}
                route: {cluster: one, timeout: 2.5s, retry_policy: {num_retries: 2, retry_on: 5xx}}
              - match: {prefix: "/b/", headers: []}
                route: {weighted_clusters: {clusters: [{name: one, weight: 9}, {name: two, weight: 1}]}}
              - match: {prefix: "/c"}
                route: {cluster: one}
              - match: {safe_regex: {regex: x}}
                route: {cluster: one}
              - match: {prefix: "/d/"}
                redirect: {}
  clusters:
  - name: one
    load_assignment: {}
    health_checks: [{http_health_check: {path: /healthz}}]
    circuit_breakers: {thresholds: [{max_connections: 50}]}
  - name: two
    transport_socket: {}
)";
bool noted(const import::Imported& in, const std::string& part) {
  return std::any_of(in.notes.begin(), in.notes.end(),
                     [&](const auto& n) { return n.find(part) != std::string::npos; });
}
}  // namespace

Test(import, what_can_be_carried_over_is_and_the_rest_is_listed) {
  auto read = import::fromEnvoy(kEnvoy, 7);
  cr_assert(base::errorIn(read) == nullptr, "%s", base::errorIn(read) ? base::errorIn(read)->message.c_str() : "");
  const auto& in = std::get<0>(read);
  const auto c = std::get<0>(control::parseConfiguration(in.document));
  cr_assert(c.revision == 7 && c.routes.size() == 2 && c.services.size() == 2);
  cr_assert(c.routes[0].host == "shop.example" && c.routes[0].prefix == "/a/" && c.routes[0].timeout == Millis(2500));
  cr_assert(c.routes[0].maxAttempts == 3 && c.routes[0].type == control::RouteType::NonIdempotent);
  cr_assert(c.routes[1].split.size() == 2 && c.routes[1].split[0].second == 9 && c.routes[1].timeout == Millis(15000));
  cr_assert(c.services[0].healthCheckPath == "/healthz" && c.services[0].maxConnections == 50);
  for (const auto* part : {"line 12: virtual host site route 1: not carried over for domain '*.example'", ".cors",
                           "retry_policy.retry_on", "match.headers", "'/c' does not", "only match.prefix",
                           "route action", "load_assignment", "transport_socket", "routeType"})
    cr_assert(noted(in, part), "not listed: %s", part);
}

Test(import, a_file_that_cannot_be_read_gets_line_and_reason) {
  const auto what = [](const std::string& text) {
    auto r = import::fromEnvoy(text, 1);
    return base::errorIn(r) == nullptr ? std::string() : base::errorIn(r)->message;
  };
  cr_assert(what("a: [1,\nb: }").starts_with("line 2:"), "%s", what("a: [1,\nb: }").c_str());
  cr_assert(what("- 1").starts_with("line 1:"));
  cr_assert(what("a: 1").find("static_resources: missing") != std::string::npos);
  cr_assert(what(replaced(kEnvoy, "timeout: 2.5s", "timeout: soon")).starts_with("line 16: timeout:"), "%s",
            what(replaced(kEnvoy, "timeout: 2.5s", "timeout: soon")).c_str());
  cr_assert(
      what(replaced(kEnvoy, "{cluster: one, timeout", "{cluster: none, timeout")).find("unknown service 'none'") !=
      std::string::npos);
  cr_assert(what(replaced(kEnvoy, "- name: two\n", "- nome: two\n")).find("name: missing") != std::string::npos);
}
