// The path of a request against stand-ins for clients and runners, over loopback sockets. The stand-ins write their
// answers byte by byte as they like, so that a runner's misbehaviour can be played. Nothing here depends on how long
// something takes: each exchange ends by its own bytes or by a bound of the configuration.
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <future>
#include <thread>

#include <spdlog/sinks/ostream_sink.h>
#include "documents.hpp"
#include "http/server.hpp"
#include "membership/group.hpp"
#include "proxy/executor.hpp"
#include "replay/recording.hpp"
#include "routing/table.hpp"
#include "runners/reader.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
namespace asio = http::asio;
using http::tcp;

namespace {

constexpr const char* kSeal = "Indigohill-Response-Seal: s.1\r\n";

// A runner that answers the n-th request it gets with the n-th script (the last for all further ones) and keeps what
// it was sent. A script gives the bytes to write; an empty one closes without a word.
struct Runner {
  bool forgets = false;  // every connection that has carried a request: whatever comes on it next is reset
  struct Step {
    std::string bytes;
    bool close = false;
  };
  using Script = std::function<Step(const http::Request&)>;

  explicit Runner(std::vector<Script> scripts)
      : scripts(std::move(scripts)), acceptor(http::listen(io.get_executor(), {0x7f000001, 0}, "runner")) {
    asio::co_spawn(io, accept(), asio::detached);
    thread = std::thread([this] { io.run(); });
  }
  ~Runner() {
    io.stop();
    thread.join();
  }
  std::uint16_t port() { return acceptor.local_endpoint().port(); }
  // From now on nobody listens at its port.
  void close() {
    std::promise<void> done;
    asio::post(io, [&] {
      acceptor.close();
      done.set_value();
    });
    done.get_future().wait();
  }
  std::size_t count() {
    const std::lock_guard lock(mutex);
    return seen.size();
  }
  http::Request request(std::size_t i) {
    const std::lock_guard lock(mutex);
    return seen.at(i);
  }

  asio::awaitable<void> accept() {
    for (;;) {
      auto [error, socket] = co_await acceptor.async_accept(http::kTuple);
      if (error) co_return;
      {
        const std::lock_guard lock(mutex);
        ++connections;
      }
      asio::co_spawn(io, serve(std::move(socket)), asio::detached);
    }
  }
  asio::awaitable<void> serve(tcp::socket socket) {
    http::beast::flat_buffer buffer;
    bool served = false;
    for (;;) {
      http::Request request;
      auto [error, n] = co_await http::wire::async_read(socket, buffer, request, http::kTuple);
      if (error) co_return;
      if (forgets && std::exchange(served, true)) {
        socket.set_option(asio::socket_base::linger(true, 0));
        co_return;
      }
      Script script;
      {
        const std::lock_guard lock(mutex);
        script = scripts[std::min(seen.size(), scripts.size() - 1)];
        seen.push_back(request);
      }
      const auto step = script(request);
      co_await asio::async_write(socket, asio::buffer(step.bytes), http::kTuple);
      if (step.close) co_return;
    }
  }

  std::vector<Script> scripts;
  asio::io_context io;
  tcp::acceptor acceptor;
  std::mutex mutex;
  std::vector<http::Request> seen;
  std::size_t connections = 0;
  std::thread thread;
};

std::string idLine(const http::Request& r) {
  return "Indigohill-Attempt-Id: " + std::string(r["Indigohill-Attempt-Id"]) + "\r\n";
}
Runner::Script whole(const std::string& body) {
  return [body](const http::Request& r) {
    return Runner::Step{"HTTP/1.1 200 OK\r\n" + idLine(r) + kSeal +
                        "X-Inner: secret\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
  };
}
Runner::Script raw(const std::string& text, bool close = false) {
  return [text, close](const http::Request& r) {
    auto out = text;
    if (const auto at = out.find("{id}"); at != std::string::npos) out.replace(at, 4, idLine(r));
    if (const auto at = out.find("{seal}"); at != std::string::npos) out.replace(at, 6, kSeal);
    return Runner::Step{out, close};
  };
}
std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }
std::string event(int id) { return fmt::format("id: {}\ndata: piece {}\n\n", id, id); }
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\n{id}{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// A router's traffic side: table and executor, without group or news.
struct Front {
  asio::io_context io;
  routing::Table table{"z0",
                       {0.2, 100, 1.5, 5, Millis(10000), Millis(1500), settings::defaultPolicy()},
                       1,
                       base::Clock::now() - Millis(60000)};
  proxy::Executor executor{io.get_executor(), table};
  tcp::acceptor acceptor{http::listen(io.get_executor(), {0x7f000001, 0}, "frontend")};
  std::thread thread;
  routing::RoutingSnapshot picture;

  explicit Front(const std::vector<Runner*>& runners, const std::string& service = "plain",
                 const std::string& extra = "") {
    const auto past = base::Clock::now() - Millis(30000);
    routing::fold(picture, routing::StateReceived{{1, 1},
                                                  std::make_shared<const control::Configuration>(std::get<0>(
                                                      control::parseConfiguration(tests::document(1, 3000, extra)))),
                                                  {}});
    schema::View view;
    schema::Member m;
    m.role = static_cast<std::uint8_t>(membership::Role::Router);
    view.members = {m};
    routing::fold(picture, routing::ViewReceived{view});
    std::vector<schema::RunnerEntry> list;
    for (std::size_t i = 0; i < runners.size(); ++i)
      list.push_back(
          {"r" + std::to_string(i), service, "z" + std::to_string(i), 0x7f000001, runners[i]->port(), 6, false, 0});
    routing::fold(picture, routing::RunnersReceived{{1, 1}, list, past});
    table.setSnapshot(std::make_shared<const routing::RoutingSnapshot>(picture), past);
    table.setLease(base::Clock::now() + std::chrono::hours(1));
    asio::co_spawn(io, executor.accept(acceptor), asio::detached);
    thread = std::thread([this] { io.run(); });
  }
  ~Front() {
    io.stop();
    thread.join();
  }

  // Sends bytes and reads to the end of the connection; the configuration's bounds close it in any case.
  std::string exchange(const std::string& bytes, bool finish = true) {
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(acceptor.local_endpoint());
    asio::write(socket, asio::buffer(bytes));
    if (finish) socket.shutdown(tcp::socket::shutdown_send);
    std::string out;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(out), error);
    return out;
  }
};

std::string get(const std::string& path, const std::string& more = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\n" + more + "\r\n";
}
bool starts(const std::string& text, const std::string& head) { return text.compare(0, head.size(), head) == 0; }
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

const std::string kOnce =
    R"(,{"name":"once","hostname":"a.example","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"targetService":"plain","maxAttempts":1})";
std::string once() {
  return "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\nContent-Length: 0\r\n\r\n";
}

using Lists = std::vector<base::Result<std::vector<schema::RunnerEntry>>>;
asio::awaitable<void> readTimes(runners::Reader& reader, int times, Lists& out) {
  for (int i = 0; i < times; ++i) out.push_back(co_await reader.read(Millis(5000)));
}

}  // namespace

Test(pass, an_answer_is_returned_with_its_seal_and_the_heads_on_the_list) {
  Runner runner({whole("hello")});
  Front front({&runner});
  const auto out = front.exchange(get("/check/1"));
  cr_assert(starts(out, "HTTP/1.1 200"), "%s", out.c_str());
  cr_assert(has(out, kSeal) && has(out, "\r\n\r\nhello") && has(out, "Indigohill-Attempt-Id: abc"));
  cr_assert(!has(out, "X-Inner"));
  cr_assert(runner.request(0)["Indigohill-Target-Instance"] == "r0");
}

Test(pass, two_requests_use_one_connection_each_way) {
  Runner runner({whole("one"), whole("two")});
  Front front({&runner});
  const auto out = front.exchange(get("/check/1") + get("/check/2"));
  cr_assert(has(out, "one") && has(out, "two"));
  cr_assert_eq(runner.connections, 1u);
}

Test(pass, bodies_in_chunks_arrive_whole) {
  Runner runner({whole("ok")});
  Front front({&runner});
  const auto out = front.exchange(
      "POST /check/1 HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\nTransfer-Encoding: chunked\r\n\r\n" +
      chunk("first ") + chunk("second") + "0\r\n\r\n");
  cr_assert(starts(out, "HTTP/1.1 200"));
  cr_assert(runner.request(0).body() == "first second");
}

Test(pass, what_is_not_clear_is_turned_away_and_smuggles_nothing) {
  Runner runner({whole("ok")});
  Front front({&runner});
  const std::string smuggled = get("/check/smuggled");
  const std::vector<std::pair<std::string, std::string>> cases{
      {"NONSENSE\r\n\r\n", "400"},
      {"GET /check/1 HTTP/1.1\r\nHost: a.example\r\nbroken line\r\n\r\n", "400"},
      {"GET /check/1 HTTP/1.1\r\n\r\n", "400"},
      {"GET /check/1 HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n", "400"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
           smuggled,
       "400"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" +
           smuggled,
       "400"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: xchunked\r\n\r\n" + smuggled, "400"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde" + smuggled,
       "400"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: -4\r\n\r\n" + smuggled, "400"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled, "400"},
      {"GET /check/1 HTTP/1.1\r\nHost: a.example\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", "431"},
      {"POST /check/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 70000\r\n\r\n", "413"},
      {"GET /none/1 HTTP/1.1\r\nHost: a.example\r\n\r\n", "404"},
      {"GET /check/1 HTTP/1.1\r\nHost: b.example\r\n\r\n", "404"}};
  for (const auto& [bytes, status] : cases) {
    const auto out = front.exchange(bytes);
    cr_assert(starts(out, "HTTP/1.1 " + status), "wanted %s for %s, got %s", status.c_str(),
              bytes.substr(0, 90).c_str(), out.c_str());
  }
  // A head that never ends is answered when its time is over.
  cr_assert(starts(front.exchange("GET /check/1 HTTP/1.1\r\nHost: a.exam", false), "HTTP/1.1 408"));
  cr_assert_eq(runner.count(), 0u);
}

Test(pass, a_runner_that_turns_it_away_costs_a_further_try_and_nothing_more) {
  const auto full = raw("HTTP/1.1 503 Service Unavailable\r\nIndigohill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  Runner one({full}), two({full});
  Front front({&one, &two});
  for (int i = 0; i < 100; ++i) front.table.arrived("plain", base::Clock::now());
  const auto out = front.exchange(get("/check/1"));
  cr_assert(starts(out, "HTTP/1.1 503"), "%s", out.c_str());
  cr_assert(has(out, "Retry-After:"));
  cr_assert_eq(one.count() + two.count(), 2u);
}

Test(pass, a_runner_that_cannot_be_reached_is_no_try_and_draws_on_no_budget) {
  // A request that may be sent to one runner alone, and no budget at all: it still gets past the dead ones.
  Runner one({whole("ok")}), two({whole("ok")}), three({whole("ok")});
  Front front({&one, &two, &three}, "plain", kOnce);
  auto bounds = routing::Bounds{};
  bounds.retryRatio = bounds.retrySlack = 0;
  front.table.setBounds(bounds);
  one.close();
  two.close();
  for (int i = 0; i < 4; ++i) {
    const auto out = front.exchange(once());
    cr_assert(starts(out, "HTTP/1.1 200"), "%s", out.c_str());
  }
  cr_assert_eq(three.count(), 4u);
}

Test(pass, a_runners_own_failure_is_tried_elsewhere_if_it_may_be_and_passed_on_if_not) {
  const auto failing = raw("HTTP/1.1 500 Broken\r\n{id}Content-Length: 4\r\n\r\noops");
  {
    Runner ill({failing}), well({whole("ok")});
    Front front({&ill, &well});
    for (int i = 0; i < 12; ++i) {
      const auto out = front.exchange(get("/check/1"));
      cr_assert(starts(out, "HTTP/1.1 200") && has(out, "ok"), "%s", out.c_str());
    }
    cr_assert(ill.count() > 0 && ill.count() < 12, "%zu", ill.count());
  }
  Runner one({failing}), two({failing});
  Front front({&one, &two});
  const auto out = front.exchange(get("/check/1"));
  cr_assert(starts(out, "HTTP/1.1 500") && has(out, "oops"), "%s", out.c_str());
  cr_assert_eq(one.count() + two.count(), 2u);
}

Test(pass, what_may_run_once_is_not_lost_to_a_connection_that_the_runner_has_forgotten) {
  Runner runner({whole("ok")});
  runner.forgets = true;
  Front front({&runner}, "plain", kOnce);
  // A request that may be repeated finds out, is tried again on another connection, and no health is held against the
  // runner.
  for (int i = 0; i < 8; ++i) {
    const auto out = front.exchange(get("/check/1"));
    cr_assert(starts(out, "HTTP/1.1 200") || starts(out, "HTTP/1.1 502"), "%s", out.c_str());
  }
  for (int i = 0; i < 10; ++i) {
    const auto out = front.exchange(once());
    cr_assert(starts(out, "HTTP/1.1 200"), "%d: %s", i, out.c_str());
  }
}

Test(pass, how_long_connections_are_kept_is_learned) {
  proxy::IdleLimit limit;
  auto now = base::Clock::now();
  const auto hour = std::chrono::hours(1);
  cr_assert(limit.most(true) > hour && limit.most(false) > hour);
  // A runner that crashes resets connections of every age: a few of many say nothing.
  for (int i = 0; i < 100; ++i) limit.reused(Millis(10 * i), i % 20 == 0, now);
  cr_assert(limit.most(true) > hour && limit.most(false) > Millis(300));
  // Forgotten from 600 ms on.
  for (int i = 0; i < 100; ++i) limit.reused(Millis(10 * i), i >= 60, now);
  cr_assert(limit.most(true) <= Millis(600) && limit.most(true) >= Millis(300));
  cr_assert(limit.most(false) <= Millis(300) && limit.most(false) >= Millis(100));
  // Forgotten at once.
  for (int i = 0; i < 10; ++i) limit.reused(Millis(1), true, now);
  cr_assert(limit.most(true) == Millis(0) && limit.most(false) == Millis(0));
  // Not for ever: runners change.
  for (int i = 0; i < 8; ++i) limit.reused(Millis(1), false, now += Millis(31000));
  cr_assert(limit.most(false) > Millis(100));
}

Test(pass, what_may_have_run_is_never_promised_not_to_have) {
  // Statuses that promise a client that nothing ran, from runners that gave no such word; and answers cut short.
  const std::vector<std::string> answers{"HTTP/1.1 503 Service Unavailable\r\n{id}Content-Length: 0\r\n\r\n",
                                         "HTTP/1.1 429 Too Many\r\n{id}Content-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 50\r\n\r\nshort",
                                         "HTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nno",
                                         "HTTP/1.1 200 OK\r\n{seal}Content-Length: 2\r\n\r\nno",
                                         "this is no answer\r\n\r\n",
                                         ""};
  for (const auto& text : answers) {
    Runner runner({raw(text, true)});
    Front front({&runner}, "plain");
    const auto out = front.exchange(get("/check/1"));
    cr_assert(starts(out, "HTTP/1.1 502"), "for %s: %s", text.c_str(), out.c_str());
  }
}

Test(pass, the_late_answer_to_another_request_is_no_answer_to_this_one) {
  const std::string stray = "HTTP/1.1 200 OK\r\nIndigohill-Attempt-Id: other\r\n{seal}Content-Length: 5\r\n\r\nstray";
  {
    // In the place of the answer: read past, and the connection is not used again.
    Runner runner({raw(stray + "HTTP/1.1 200 OK\r\n{id}Indigohill-Response-Seal: s.2\r\nContent-Length: 3\r\n\r\nown"),
                   whole("next")});
    Front front({&runner});
    const auto out = front.exchange(get("/check/1") + get("/check/2"));
    cr_assert(!has(out, "stray") && has(out, "own") && has(out, "next"), "%s", out.c_str());
    cr_assert_eq(runner.connections, 2u);
  }
  {
    // Behind the answer: the connection is dropped, and the next request gets its own.
    Runner runner({raw("HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 3\r\n\r\nown" + stray), whole("next")});
    Front front({&runner});
    const auto out = front.exchange(get("/check/1") + get("/check/2"));
    cr_assert(!has(out, "stray") && has(out, "own") && has(out, "next"), "%s", out.c_str());
    cr_assert_eq(runner.connections, 2u);
  }
}

Test(pass, a_stream_is_passed_event_by_event_to_its_end) {
  Runner runner(
      {raw(kStreamHead + chunk(event(1)) + chunk(event(2) + "id: 3\nda") + chunk("ta: x\n\n") + "0\r\n\r\n")});
  Front front({&runner}, "engine");
  const auto out = front.exchange(get("/text/1", "Connection: close\r\n"));
  cr_assert(starts(out, "HTTP/1.1 200"));
  cr_assert(has(out, kSeal) && has(out, event(1)) && has(out, event(2)) && has(out, "id: 3\ndata: x\n\n"));
  cr_assert(out.ends_with("0\r\n\r\n"), "%s", out.c_str());
}

Test(pass, a_broken_stream_is_taken_up_behind_its_last_event) {
  const auto broken = raw(kStreamHead + chunk(event(1)) + chunk(event(2) + "id: 3\ndata: half"), true);
  const auto rest =
      raw("HTTP/1.1 200 OK\r\n{id}Indigohill-Response-Seal: s.other\r\nTransfer-Encoding: chunked\r\n\r\n" +
          chunk(event(3)) + "0\r\n\r\n");
  const auto either = [&](const http::Request& r) { return r["Last-Event-Id"].empty() ? broken(r) : rest(r); };
  Runner one({either}), two({either});
  Front front({&one, &two}, "engine");
  for (int i = 0; i < 100; ++i) front.table.arrived("engine", base::Clock::now());
  const auto out = front.exchange(get("/text/1", "Connection: close\r\n"));
  cr_assert(has(out, event(1)) && has(out, event(2)) && has(out, event(3)), "%s", out.c_str());
  cr_assert(!has(out, "half") && !has(out, "s.other") && has(out, kSeal) && out.ends_with("0\r\n\r\n"));
  auto& second = one.count() > 0 && !one.request(0)["Last-Event-Id"].empty() ? one : two;
  cr_assert(second.request(0)["Last-Event-Id"] == "2");
}

Test(pass, a_stream_that_nobody_takes_up_never_looks_complete) {
  Runner runner({raw(kStreamHead + chunk(event(1)), true)});
  Front front({&runner}, "engine");
  const auto out = front.exchange(get("/text/1"));
  cr_assert(!has(out, "\r\n0\r\n\r\n") && !out.ends_with("0\r\n\r\n"), "%s", out.c_str());
}

Test(pass, time_that_is_over_is_answered_504_when_the_runner_had_it) {
  // A runner that never answers: reading from it ends with the client's time.
  Runner runner({raw("HTTP/1.1 200 OK\r\n")});
  Front front({&runner});
  const auto out = front.exchange(get("/check/1", "Indigohill-Time-Remaining: 120\r\n"));
  cr_assert(starts(out, "HTTP/1.1 504"), "%s", out.c_str());
  const auto left = std::stoi(std::string(runner.request(0)["Indigohill-Time-Remaining"]));
  cr_assert(left > 0 && left <= 120);
}

Test(runners, the_platforms_pages_are_read_to_the_last_over_one_connection) {
  const auto entry = [](const char* id) {
    return fmt::format(
        R"({{"targetService":"s","address":"10.0.0.9:80","zone":"z","capacitySlots":6,"state":"ready","instanceId":"{}"}})",
        id);
  };
  const auto page = [&](const std::string& body) {
    return raw("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  Runner platform({page("{\"instances\":[" + entry("a") + "],\"nextPageToken\":\"p-1\"}"),
                   page("{\"instances\":[" + entry("b") + "],\"nextPageToken\":null}"),
                   raw("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"),
                   page("{\"instances\":[" + entry("a")), raw("no answer at all\r\n\r\n", true)});
  asio::io_context io;
  runners::Reader reader(io.get_executor(), {0x7f000001, platform.port()});
  Lists results;
  asio::co_spawn(io, readTimes(reader, 4, results), asio::detached);
  io.run();
  cr_assert_eq(results.size(), 4u);
  cr_assert(base::errorIn(results[0]) == nullptr && std::get<0>(results[0]).size() == 2);
  cr_assert(platform.request(1).target() == "/instances?pageToken=p-1");
  // Over the rate, cut short, or no answer: a fault, and the last list stays with whoever asked.
  for (int i = 1; i < 4; ++i) cr_assert(base::errorIn(results[i]) != nullptr, "%d", i);
  cr_assert(base::errorIn(results[1])->what.find("429") != std::string::npos);
}

Test(pass, recorded_requests_are_what_the_replay_reads) {
  std::ostringstream lines;
  auto log = std::make_shared<spdlog::logger>("t", std::make_shared<spdlog::sinks::ostream_sink_mt>(lines));
  log->set_pattern("%v");
  Runner runner({whole("ok")});
  {
    Front front({&runner});
    front.executor.setTrafficLog(log);
    front.exchange(get("/check/1?q=\"x\"", "Indigohill-Prompt-Prefix: a:5,b:6\r\nIndigohill-Token-Usage: 11,3\r\n"));
  }
  auto parsed = replay::parseRecording(lines.str());
  cr_assert(base::errorIn(parsed) == nullptr, "%s", base::errorIn(parsed) ? base::errorIn(parsed)->what.c_str() : "");
  const auto& r = std::get<0>(parsed).at(0);
  cr_assert(r.id == "abc" && r.host == "a.example" && r.path == "/check/1?q=\"x\"" && r.status == 200);
  cr_assert(r.prompt == "a:5,b:6" && r.tokens == "11,3");
}

Test(pass, without_a_configuration_it_sheds_and_when_leaving_it_closes) {
  Runner runner({whole("ok")});
  {
    Front front({&runner});
    front.table.setSnapshot(std::make_shared<const routing::RoutingSnapshot>(), base::Clock::now());
    cr_assert(starts(front.exchange(get("/check/1")), "HTTP/1.1 503"));
  }
  Front front({&runner});
  front.executor.leave();
  const auto out = front.exchange(get("/check/1") + get("/check/2"));
  cr_assert(has(out, "Connection: close"), "%s", out.c_str());
  cr_assert_eq(runner.count(), 1u);
}
