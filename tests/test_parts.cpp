// The parts that decide, one by one.
#include <filesystem>
#include <fstream>
#include <future>
#include <map>

#include "base/journal.hpp"
#include "base/log.hpp"
#include "cli/settings_watch.hpp"
#include "control/calls.hpp"
#include "control/configuration.hpp"
#include "documents.hpp"
#include "feed/publisher.hpp"
#include "membership/group.hpp"
#include "net/codec.hpp"
#include "proxy/event_splitter.hpp"
#include "proxy/executor.hpp"
#include "proxy/headers.hpp"
#include "proxy/prompt.hpp"
#include "routing/table.hpp"
#include "runners/list.hpp"
#include "settings/settings.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using tests::document;
using tests::replaced;

namespace {

std::string settingsText(const std::map<std::string, std::string>& changes = {}) {
  std::map<std::string, std::string> fields{{"nodeName", "n1"},
                                            {"ipAddress", "10.0.0.1"},
                                            {"zone", "z1"},
                                            {"internalPortRange", "7000,7015"},
                                            {"seedNodes", "10.0.0.1:8000,10.0.0.2:8000"},
                                            {"bindAddresses.frontend", "10.0.0.1:8001"},
                                            {"bindAddresses.readiness", "10.0.0.1:8002"},
                                            {"bindAddresses.controlPlane", "10.0.0.1:8000"},
                                            {"cloudApi.address", "10.9.9.9:80"},
                                            {"dataDirectory", "/tmp/x"},
                                            {"bounds.gracePeriodS", "8"},
                                            {"bounds.retryBudgetRatio", "0.2"},
                                            {"bootstrap", "true"},
                                            {"unknown.field", "is ignored"}};
  for (const auto& [k, v] : changes)
    if (v == "-")
      fields.erase(k);
    else
      fields[k] = v;
  std::string out;
  for (const auto& [k, v] : fields) out += k + "=" + v + "\n";
  return out;
}

std::string faultOf(const base::Result<settings::Settings>& r) {
  const auto* bad = base::errorIn(r);
  return bad == nullptr ? "" : bad->message;
}
std::string faultOf(const base::Result<control::Configuration>& r) {
  const auto* bad = base::errorIn(r);
  return bad == nullptr ? "" : bad->message;
}
}  // namespace

Test(settings, reads_fields_with_dots_and_units) {
  auto read = settings::parse(settingsText());
  cr_assert_eq(faultOf(read), "");
  const auto& s = std::get<0>(read);
  cr_assert_eq(s.nodeName, "n1");
  cr_assert(s.gracePeriodS == std::chrono::seconds(8));
  cr_assert_float_eq(s.retryBudgetRatio, 0.2, 1e-9);
  cr_assert(s.bootstrap);
  cr_assert_eq(s.seedNodes.size(), 2u);
  cr_assert_eq(settings::text(s.seedNodes[1]), "10.0.0.2:8000");
  cr_assert_eq(settings::peerPort(s, true), 7001);
  cr_assert_eq(settings::missingFor(s, "router"), "");
}

Test(settings, a_fault_names_the_field) {
  const std::vector<std::pair<std::map<std::string, std::string>, std::string>> cases{
      {{{"nodeName", "-"}}, "nodeName"},
      {{{"zone", ""}}, "zone"},
      {{{"seedNodes", "10.0.0.1"}}, "seedNodes"},
      {{{"ipAddress", "10.0.0.256"}}, "ipAddress"},
      {{{"internalPortRange", "7000"}}, "internalPortRange"},
      {{{"internalPortRange", "7015,7000"}}, "internalPortRange"},
      {{{"bootstrap", "yes"}}, "bootstrap"},
      {{{"bounds.gracePeriodS", "-1"}}, "bounds.gracePeriodS"},
      {{{"bounds.retryBudgetRatio", "some"}}, "bounds.retryBudgetRatio"},
      {{{"limits.cpuCores", "1.5"}}, "limits.cpuCores"},
      {{{"logLevel", "loud"}}, "logLevel"}};
  for (const auto& [change, field] : cases)
    cr_assert(faultOf(settings::parse(settingsText(change))).starts_with(field + ":"), "%s: %s", field.c_str(),
              faultOf(settings::parse(settingsText(change))).c_str());
  auto noFront = settings::parse(settingsText({{"bindAddresses.frontend", "-"}}));
  cr_assert(settings::missingFor(std::get<0>(noFront), "router").starts_with("bindAddresses.frontend:"));
  cr_assert_eq(settings::missingFor(std::get<0>(noFront), "controller"), "");
  cr_assert(base::errorIn(settings::read("/nonexistent/file")) != nullptr);
}

Test(configuration, what_is_invalid_is_refused_with_the_field) {
  cr_assert_eq(faultOf(control::parseConfiguration(document(3))), "");
  const auto good = document(3);
  const std::vector<std::pair<std::string, std::string>> cases{
      {good.substr(0, good.size() / 2), "not readable"},
      {"[]", "configuration:"},
      {replaced(good, "\"revision\":3", "\"revision\":\"3\""), "revision:"},
      {replaced(good, "\"revision\":3,", ""), "revision: missing"},
      {replaced(good, "\"timeoutMs\":3000", "\"timeoutMs\":0"), "routes[0].timeoutMs:"},
      {replaced(good, "\"timeoutMs\":3000", "\"timeoutMs\":\"x\""), "routes[0].timeoutMs:"},
      {replaced(good, "\"targetService\":\"plain\"", "\"targetService\":\"none\""), "routes[1].targetService:"},
      {replaced(good, "/check/", "/text/"), "routes[1].pathPrefix:"},
      {replaced(good, "/check/", "check/"), "routes[1].pathPrefix:"},
      {replaced(good, "r-check", "r-text"), "routes[1].name:"},
      {replaced(good, "\"name\":\"plain\"", "\"name\":\"engine\""), "services[1].name:"},
      {replaced(good, "\"idempotent\"", "\"sometimes\""), "routes[1].routeType:"},
      {replaced(
           good, "\"targetService\":\"plain\"",
           "\"trafficSplit\":[{\"targetService\":\"plain\",\"weight\":0},{\"targetService\":\"engine\",\"weight\":0}]"),
       "routes[1].trafficSplit:"},
      {replaced(good, "\"targetService\":\"plain\"", "\"trafficSplit\":[{\"targetService\":\"q\",\"weight\":1}]"),
       "routes[1].trafficSplit[0].targetService:"},
      {replaced(good, "\"resumable\":true", "\"resumable\":1"), "routes[0].resumable:"},
      {replaced(good, "\"maxAttempts\":2", "\"maxAttempts\":-2"), "routes[0].maxAttempts:"}};
  for (const auto& [text, field] : cases) {
    const auto what = faultOf(control::parseConfiguration(text));
    cr_assert(what.starts_with(field), "wanted %s, got '%s'", field.c_str(), what.c_str());
  }
}

Test(configuration, an_update_changes_named_items_alone) {
  auto merged = control::applyUpdate(document(3), tests::update(5, 777));
  cr_assert(base::errorIn(merged) == nullptr);
  auto parsed = control::parseConfiguration(std::get<std::string>(merged));
  cr_assert_eq(faultOf(parsed), "");
  const auto& c = std::get<0>(parsed);
  cr_assert_eq(c.revision, 5u);
  cr_assert_eq(c.routes.size(), 2u);
  cr_assert(c.routes[1].timeout == Millis(777));
  cr_assert(c.routes[0].timeout == Millis(3000));
  auto removed =
      control::applyUpdate(std::get<std::string>(merged), R"({"revision":6,"remove":{"routes":["r-text"]}})");
  cr_assert_eq(std::get<0>(control::parseConfiguration(std::get<std::string>(removed))).routes.size(), 1u);
  for (const auto* bad : {R"({"revision":7,"upsert":{"routes":[{}]}})", R"({"revision":7,"remove":{"routes":"r"}})",
                          R"({"upsert":{}})", "{", R"({"revision":7,"upsert":{"houses":[]}})"})
    cr_assert(base::errorIn(control::applyUpdate(document(3), bad)) != nullptr, "%s", bad);
}

Test(configuration, types_are_read_back_as_they_were_sent) {
  // The reason for Boost.JSON: through a property tree the number would come back as a string.
  auto merged = control::applyUpdate(document(3), R"({"revision":4})");
  cr_assert(std::get<std::string>(merged).find("\"timeoutMs\":3000") != std::string::npos);
  cr_assert(std::get<std::string>(merged).find("\"resumable\":true") != std::string::npos);
}

Test(calls, the_tree_of_matchers_finds_orders) {
  using control::findCall;
  cr_assert(findCall("POST", "/v1/Configuration.Replace")->order == control::OrderKind::Replace);
  cr_assert(findCall("POST", "/v1/Configuration.Update")->order == control::OrderKind::Update);
  cr_assert(findCall("GET", "/v1/Configuration.Describe?x=1")->order == control::OrderKind::Describe);
  cr_assert(findCall("POST", "/v1/Evacuations.Create/z-1")->argument == "z-1");
  cr_assert(findCall("POST", "/v1/Evacuations.Delete/z-1")->order == control::OrderKind::EndEvacuation);
  for (const auto& [m, t] : std::vector<std::pair<std::string, std::string>>{{"GET", "/v1/Configuration.Replace"},
                                                                             {"POST", "/v1/Evacuations.Create/"},
                                                                             {"POST", "/v1/Evacuations.Create/a/b"},
                                                                             {"POST", "/v2/Configuration.Replace"}})
    cr_assert(!findCall(m, t).has_value(), "%s %s", m.c_str(), t.c_str());
}

Test(codec, what_is_spoilt_is_dropped) {
  schema::Heartbeat hello{7, 8, 9, 10, 12, true, 11, {"a", "b"}};
  const auto bytes = net::encode(hello);
  auto back = net::decode(bytes);
  cr_assert(base::errorIn(back) == nullptr);
  cr_assert(std::get<schema::Heartbeat>(std::get<0>(back)) == hello);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    cr_assert(base::errorIn(net::decode(std::string_view(bytes).substr(0, n))) != nullptr, "cut at %zu", n);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    auto spoilt = bytes;
    spoilt[n] = static_cast<char>(spoilt[n] ^ 0x41);
    auto read = net::decode(spoilt);
    // The kind alone is not under the checksum; read as another kind the body does not fit or is another message.
    if (n != 1) cr_assert(base::errorIn(read) != nullptr, "spoilt at %zu", n);
  }
  auto other = bytes;
  other[1] = static_cast<char>(199);
  cr_assert(base::errorIn(net::decode(other)) != nullptr);
  cr_assert(base::errorIn(net::decode(std::string(net::kMaxMessageBytes + 1, '\1'))) != nullptr);
}

Test(codec, long_messages_are_deflated_and_come_back_whole) {
  std::mt19937_64 random(11);
  for (std::size_t n = 0; n < 400; n += 7) {
    schema::Commit commit;
    for (std::size_t i = 0; i < n; ++i)
      commit.result.members.push_back({fmt::format("edge-{}/router", i), "", "zone-1", 1, static_cast<std::uint32_t>(i),
                                       7000, random(), 1048576 + i});
    const auto bytes = net::encode(commit);
    const auto back = net::decode(bytes);
    cr_assert(base::errorIn(back) == nullptr && std::get<schema::Commit>(std::get<0>(back)) == commit, "%zu members",
              n);
    if (n > 50) cr_assert_lt(bytes.size(), 25 * n, "%zu bytes", bytes.size());
    auto spoilt = bytes;
    spoilt[spoilt.size() / 2] = static_cast<char>(spoilt[spoilt.size() / 2] ^ 0x41);
    cr_assert(base::errorIn(net::decode(spoilt)) != nullptr);
  }
}

Test(journal, folds_every_event_and_keeps_a_bounded_number) {
  base::Journal<int, std::vector<int>> journal([](std::vector<int>& sum, int e) { sum.push_back(e); }, 4);
  const auto before = journal.state();
  for (int i = 0; i < 10; ++i) journal.append(i);
  cr_assert_eq(journal.kept(), 4u);
  cr_assert_eq(journal.appended(), 10u);
  cr_assert_eq(journal.state()->size(), 10u);
  cr_assert_eq(before->size(), 0u);
}

Test(runners, a_page_is_read_and_a_bad_one_refused) {
  auto page = runners::parsePage(
      R"({"instances":[{"targetService":"s","address":"10.0.0.9:80","zone":"z","capacitySlots":6,"state":"draining",)"
      R"("warmupLeftMs":120,"instanceId":"i-1"}],"nextPageToken":"p-50"})");
  cr_assert(base::errorIn(page) == nullptr);
  const auto& p = std::get<0>(page);
  cr_assert_eq(p.nextPageToken, "p-50");
  cr_assert(p.runners.at(0).draining);
  cr_assert_eq(p.runners.at(0).slots, 6u);
  for (const auto* bad : {"", "{}", R"({"instances":3})", R"({"instances":[{"instanceId":"i"}]})"})
    cr_assert(base::errorIn(runners::parsePage(bad)) != nullptr, "%s", bad);
}

Test(runners, the_list_is_read_as_often_as_the_platform_bears) {
  settings::Settings s;
  s.drainTimeoutMs = Millis(4000);
  s.ratePerS = 300;
  cr_assert_eq(runners::listReadInterval(s, 1), Millis(666));
  cr_assert_eq(runners::listReadInterval(s, 12), Millis(666), "twelve pages are still a small part");
  s.ratePerS = 10;
  cr_assert_eq(runners::listReadInterval(s, 1), Millis(800));
  cr_assert_eq(runners::listReadInterval(s, 12), Millis(2400), "half of the calls");
  s.ratePerS = 40;
  cr_assert_eq(runners::listReadInterval(s, 12), Millis(4000 / 3), "soon enough for one that drains");
}

Test(events, only_whole_events_are_passed) {
  proxy::EventSplitter splitter;
  cr_assert_eq(splitter.append("id: 1\nda"), "");
  cr_assert_eq(splitter.append("ta: x\n\nid: 2\ndata"), "id: 1\ndata: x\n\n");
  cr_assert_eq(splitter.lastId(), "1");
  cr_assert_eq(splitter.rest(), "id: 2\ndata");
  cr_assert_eq(splitter.append(": y\r\n\r\n"), "id: 2\ndata: y\r\n\r\n");
  cr_assert_eq(splitter.lastId(), "2");
}

Test(pass, heads_for_runners_keep_what_is_end_to_end) {
  http::Request in(http::wire::verb::post, "/a/b?c", 11);
  in.set("Host", "a.example");
  in.set("Connection", "close, X-Hop");
  in.set("X-Hop", "1");
  in.set("Keep-Alive", "timeout=5");
  in.set("Transfer-Encoding", "chunked");
  in.set("X-Own", "kept");
  in.set("Indigohill-Attempt-Id", "abc");
  in.set("Indigohill-Target-Instance", "forged");
  in.body() = "body";
  const auto out = proxy::forRunner(in, "i-7", Millis(1200), "9");
  cr_assert(out["X-Own"] == "kept" && out["Indigohill-Attempt-Id"] == "abc" && out["Host"] == "a.example");
  cr_assert(out.count("X-Hop") == 0 && out.count("Keep-Alive") == 0 && out.count("Transfer-Encoding") == 0);
  cr_assert(out["Indigohill-Target-Instance"] == "i-7" && out.count("Indigohill-Target-Instance") == 1);
  cr_assert(out["Indigohill-Time-Remaining"] == "1200" && out["Last-Event-Id"] == "9");
  cr_assert(out["Content-Length"] == "4" && out.body() == "body" && out.target() == "/a/b?c");
}

Test(pass, prompts_are_read) {
  const auto parts = proxy::parsePrompt("5c1e07a2:800, 91bd3f06:410,zz:3,e4402b7d:250");
  cr_assert_eq(parts.size(), 3u);
  cr_assert_eq(parts[0].id, 0x5c1e07a2u);
  cr_assert_eq(parts[1].tokens, 410u);
}

namespace {

struct Routed {
  base::TimePoint now{std::chrono::hours(1)};
  routing::RoutingSnapshot snapshot;
  routing::Table table;

  explicit Routed(routing::Bounds bounds = {0.2, 40, 1.5, 5, Millis(10000), Millis(1500), settings::defaultPolicy()},
                  std::size_t routers = 4)
      : table("z0", bounds, 1, now - std::chrono::hours(1)) {
    auto configuration =
        std::make_shared<const control::Configuration>(std::get<0>(control::parseConfiguration(document(1))));
    routing::fold(snapshot, routing::StateReceived{{1, 1}, configuration, {}});
    schema::View view;
    view.number = 1;
    for (std::size_t i = 0; i < routers; ++i) {
      schema::Member m;
      m.role = static_cast<std::uint8_t>(membership::Role::Router);
      view.members.push_back(m);
    }
    routing::fold(snapshot, routing::ViewReceived{view});
    std::vector<schema::RunnerEntry> list;
    for (std::uint32_t i = 0; i < 3; ++i)
      list.push_back({"e" + std::to_string(i), "engine", "z" + std::to_string(i), 100 + i, 80, 128, false, 0});
    list.push_back({"p0", "plain", "z0", 200, 80, 6, false, 0});
    list.push_back({"p1", "plain", "z1", 201, 80, 6, false, 0});
    show(list);
    now += Millis(20000);
    table.setLease(now + Millis(1000));
  }
  void show(std::vector<schema::RunnerEntry> list) {
    routing::fold(snapshot, routing::RunnersReceived{{1, ++version}, std::move(list), now});
    apply();
  }
  void apply() { table.setSnapshot(std::make_shared<const routing::RoutingSnapshot>(snapshot), now); }
  routing::RequestProfile ask(const char* path) {
    routing::RequestProfile request;
    request.route = snapshot.route("a.example", path);
    request.service = request.route->split[0].first;
    request.arrivedAt = now;
    request.deadline = now + Millis(1000);
    return request;
  }
  std::uint64_t version = 0;
};

}  // namespace

Test(routing, the_longest_prefix_of_the_host_wins) {
  auto configuration = std::make_shared<const control::Configuration>(std::get<0>(control::parseConfiguration(document(
      1, 3000,
      R"(,{"name":"deep","hostname":"A.example","pathPrefix":"/text/deep/","routeType":"idempotent","timeoutMs":5,"targetService":"plain"})"))));
  routing::RoutingSnapshot snapshot;
  routing::fold(snapshot, routing::StateReceived{{1, 1}, configuration, {}});
  cr_assert_eq(snapshot.route("a.example:80", "/text/deep/x")->name, "deep");
  cr_assert_eq(snapshot.route("A.EXAMPLE", "/text/x?y=/text/deep/")->name, "r-text");
  cr_assert(snapshot.route("a.example", "/texts/") == nullptr);
  cr_assert(snapshot.route("b.example", "/text/") == nullptr);
  // What is older than what is held is not folded in.
  routing::fold(snapshot, routing::StateReceived{{0, 9}, nullptr, {}});
  cr_assert(snapshot.configuration != nullptr);
}

Test(routing, nothing_goes_to_a_runner_that_drains_or_is_evacuated_or_gone) {
  Routed r;
  auto list = r.snapshot.runners;
  list[3].draining = true;
  r.show(list);
  for (int i = 0; i < 20; ++i) {
    auto d = r.table.decide(r.ask("/check/1"), r.now);
    cr_assert_eq(std::get<routing::PassTo>(d).instanceId, "p1");
  }
  routing::fold(r.snapshot, routing::StateReceived{{1, 2}, r.snapshot.configuration, {"z1"}});
  r.apply();
  cr_assert(std::holds_alternative<routing::Wait>(r.table.decide(r.ask("/check/1"), r.now)));
  auto late = r.ask("/check/1");
  late.arrivedAt = r.now - Millis(500);
  cr_assert(std::holds_alternative<routing::Reject>(r.table.decide(late, r.now)));
}

Test(routing, prompts_with_the_same_parts_go_to_the_same_runner) {
  Routed r;
  std::map<std::string, int> seen;
  for (std::uint64_t own = 0; own < 30; ++own) {
    auto request = r.ask("/text/1");
    request.prompt = {{1, 500}, {2, 4000}, {1000 + own, 100}};
    auto d = r.table.decide(request, r.now);
    ++seen[std::get<routing::PassTo>(d).instanceId];
  }
  cr_assert_eq(seen.size(), 1u);
  // Other shared parts spread over all of them.
  seen.clear();
  for (std::uint64_t part = 0; part < 60; ++part) {
    auto request = r.ask("/text/1");
    request.prompt = {{1, 500}, {100 + part, 4000}, {7, 100}};
    auto d = r.table.decide(request, r.now);
    ++seen[std::get<routing::PassTo>(d).instanceId];
  }
  cr_assert_eq(seen.size(), 3u);
}

Test(routing, further_tries_keep_to_the_budget_and_need_the_lease) {
  Routed r;
  for (int i = 0; i < 100; ++i) r.table.arrived("plain", r.now);
  int drawn = 0;
  while (r.table.admitRetry("plain", r.now)) ++drawn;
  // 0.2 of 100 requests and a fourth of the slack of 40, with something kept back.
  cr_assert(drawn > 20 && drawn <= 30, "%d", drawn);
  r.now += Millis(12000);
  cr_assert_not(r.table.admitRetry("plain", r.now), "without a lease");
  r.table.setLease(r.now + Millis(1000));
  cr_assert(r.table.admitRetry("plain", r.now));
}

Test(routing, a_cold_runner_gets_its_rate_from_all_routers_together) {
  // Four routers, each with its own table; together they keep to perS * overshoot + slack in every second.
  std::vector<std::unique_ptr<Routed>> routers;
  for (int i = 0; i < 4; ++i) {
    routers.push_back(std::make_unique<Routed>());
    auto list = routers.back()->snapshot.runners;
    list.erase(list.begin(), list.begin() + 2);
    list[0].warmupLeftMs = 60000;
    routers.back()->show(list);
  }
  std::deque<base::TimePoint> sent;
  auto now = routers[0]->now;
  std::size_t most = 0, all = 0;
  for (int ms = 0; ms < 6000; ms += 5) {
    now += Millis(5);
    for (auto& r : routers) {
      r->now = now;
      r->table.setLease(now + Millis(1000));
      auto d = r->table.decide(r->ask("/text/1"), now);
      if (std::holds_alternative<routing::PassTo>(d)) {
        sent.push_back(now);
        ++all;
      }
    }
    while (!sent.empty() && now - sent.front() >= Millis(1000)) sent.pop_front();
    most = std::max(most, sent.size());
  }
  cr_assert(most <= 35, "%zu in one second", most);
  cr_assert(all >= 60, "%zu in all: the rate is hardly used", all);
  // Without a lease nothing is sent there at all.
  auto& r = *routers[0];
  r.now += Millis(5000);
  cr_assert_not(std::holds_alternative<routing::PassTo>(r.table.decide(r.ask("/text/1"), r.now)));
}

Test(routing, a_runner_that_fails_is_left_out_and_tried_again) {
  Routed r;
  for (int i = 0; i < 2; ++i) r.table.recordResult("p0", routing::AttemptResult::Failure, r.now);
  for (int i = 0; i < 10; ++i)
    cr_assert_eq(std::get<routing::PassTo>(r.table.decide(r.ask("/check/1"), r.now)).instanceId, "p1");
  r.now += Millis(1100);
  std::set<std::string> seen;
  std::vector<routing::Decision> held;
  for (int i = 0; i < 8; ++i) {
    held.push_back(r.table.decide(r.ask("/check/1"), r.now));
    seen.insert(std::get<routing::PassTo>(held.back()).instanceId);
  }
  cr_assert(seen.contains("p0"));
}

Test(routing, a_trial_that_ends_without_a_word_is_followed_by_another) {
  // The client went, or its time was over: the runner that it tried is not left out for good.
  Routed r;
  for (int i = 0; i < 2; ++i) r.table.recordResult("p0", routing::AttemptResult::Failure, r.now);
  for (int round = 0; round < 3; ++round) {
    r.now += Millis(1100);
    r.table.setLease(r.now + Millis(1000));
    std::size_t tried = 0;
    std::vector<routing::Decision> held;
    for (int i = 0; i < 6; ++i) {
      held.push_back(r.table.decide(r.ask("/check/1"), r.now));
      tried += std::get<routing::PassTo>(held.back()).instanceId == "p0";
    }
    cr_assert_eq(tried, 1u, "round %d: %zu", round, tried);
  }
}

Test(feed, an_ask_is_answered_when_there_is_news) {
  base::TimePoint now{std::chrono::hours(1)};
  feed::Publisher source({});
  net::Outbox out;
  const settings::Endpoint who{1, 1};
  source.receive(schema::Poll{1, {}, {}}, who, now, out);
  cr_assert(out.empty());
  schema::ControlState state{{1, 1}, 3, "{}", {{2, 77}}, {}};
  cr_assert(source.setState(state));
  source.confirmAt(now);
  source.publish(now, out);
  cr_assert_eq(out.size(), 1u);
  const auto news = feed::contentOf(std::get<schema::Update>(out[0].message));
  cr_assert(news.states.at(0).revision == 3 && news.states[0].takenOrders.empty());
  cr_assert_not(source.setState(schema::ControlState{{1, 0}, 2, "{}", {}, {}}), "an older state");
  out.clear();
  source.receive(schema::Poll{2, {1, 1}, {}}, who, now, out);
  cr_assert(out.empty());
  source.tick(now + Millis(5000), out);
  cr_assert(out.size() == 1 && std::get<schema::Update>(out[0].message).content.empty());
}

namespace {
schema::Update onlyNews(net::Outbox& out) {
  cr_assert_eq(out.size(), 1u);
  auto news = std::get<schema::Update>(std::exchange(out, {})[0].message);
  return news;
}
schema::RunnerEntry runner(const std::string& id, bool draining = false) {
  return {id, "engine", "z", 1, 80, 24, draining, 0};
}
}  // namespace

Test(feed, news_is_told_again_until_the_asker_shows_that_it_has_it) {
  base::TimePoint now{std::chrono::hours(1)};
  const feed::Times times;
  feed::Publisher source(times);
  net::Outbox out;
  const settings::Endpoint who{1, 1};
  source.receive(schema::Poll{1, {}, {}}, who, now, out);
  source.tick(now + times.longPollTimeout, out);  // answered that there is none
  onlyNews(out);
  now += times.longPollTimeout;
  source.setState({{1, 1}, 3, "{}", {}, {}});
  source.publish(now, out);  // told although no ask is open: its next one may be lost
  cr_assert_eq(feed::contentOf(onlyNews(out)).states.size(), 1u);
  source.publish(now, out);
  cr_assert(out.empty());
  source.tick(now + times.resendInterval, out);
  cr_assert_eq(feed::contentOf(onlyNews(out)).states.size(), 1u);
  source.receive(schema::Poll{2, {1, 1}, {}}, who, now + times.resendInterval, out);
  source.tick(now + 3 * times.resendInterval, out);
  cr_assert(out.empty(), "told again after it was shown");
}

Test(feed, two_asks_of_one_daemon_stand_side_by_side) {
  base::TimePoint now{std::chrono::hours(1)};
  feed::Publisher source({});
  net::Outbox out;
  constexpr schema::StateVersion nothing{~0ULL, ~0ULL};
  source.receive(schema::Poll{1, {}, nothing}, {1, 1}, now, out);
  source.receive(schema::Poll{2, nothing, {}}, {1, 1}, now, out);
  source.setState({{1, 1}, 3, "{}", {}, {}});
  source.publish(now, out);
  cr_assert_eq(onlyNews(out).token, 1u);
}

Test(feed, a_list_of_runners_travels_as_changes_and_whole_where_the_base_is_lacking) {
  base::TimePoint now{std::chrono::hours(1)};
  feed::Publisher source({}), sink({}), late({});
  net::Outbox out;
  std::vector<schema::RunnerEntry> list;
  for (int i = 0; i < 20; ++i) list.push_back(runner(fmt::format("i-{:02}", 19 - i)));
  source.setRunners({5, 1}, list, now);
  schema::Update news;
  const auto ask = [&](const feed::Publisher& asker) {
    source.receive(schema::Poll{1, {}, asker.runnerList().versionToRequest()}, {1, 1}, now, out);
    news = onlyNews(out);
    return feed::contentOf(news);
  };
  const auto take = [&](feed::Publisher& asker, const schema::UpdateContent& content) {
    return asker.applyRunners(news, content, now);
  };
  cr_assert(take(sink, ask(sink)));
  cr_assert(take(late, ask(late)));
  cr_assert(sink.runners() == source.runners() && sink.runners().size() == 20);
  list[3].draining = true;
  list.erase(list.begin() + 7);
  list.push_back(runner("i-new"));
  source.setRunners({5, 2}, list, now);
  auto changes = ask(sink);
  cr_assert(changes.runners.size() == 2 && changes.gone.size() == 1);
  // Spoilt on the way, or of a base that is another list: not taken, and the whole asked for.
  auto other = changes;
  other.gone.clear();
  cr_assert_not(take(late, other));
  cr_assert(late.runnerList().versionToRequest() == schema::StateVersion{} &&
            late.runnerList().version() == (schema::StateVersion{5, 1}));
  cr_assert(take(late, ask(late)) && late.runners() == source.runners());
  cr_assert(take(sink, changes) && sink.runners() == source.runners());
  cr_assert_not(take(sink, changes), "taken twice");
  // Several versions behind: one answer holds what changed in all of them.
  for (std::uint64_t v = 3; v < 6; ++v) {
    list.push_back(runner(fmt::format("i-late-{}", v)));
    source.setRunners({5, v}, list, now);
  }
  changes = ask(sink);
  cr_assert_eq(changes.runners.size(), 3u);
  cr_assert(take(sink, changes) && sink.runners() == source.runners());
}

Test(settings, a_changed_file_is_taken_and_a_bad_one_is_not) {
  const std::string path = "/tmp/indigohill-settings-" + std::to_string(getpid());
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  write(settingsText());
  cli::SettingsWatch watch(path, "router", std::get<0>(settings::read(path)));
  write(settingsText({{"seedNodes", "10.0.0.9:8000"}}));
  cr_assert(watch.check(true));
  cr_assert_eq(watch.current().seedNodes.size(), 1u);
  write(settingsText({{"seedNodes", "nonsense"}}));
  cr_assert_not(watch.check(true));
  write(settingsText({{"bindAddresses.frontend", "-"}}));
  cr_assert_not(watch.check(true));
  cr_assert_eq(settings::text(watch.current().seedNodes.at(0)), "10.0.0.9:8000");
  std::remove(path.c_str());
}

Test(log, a_line_stays_one_json_string) { cr_assert_eq(base::quoted("a\"b\\c\nd"), "\"a\\\"b\\\\c\\u000ad\""); }
