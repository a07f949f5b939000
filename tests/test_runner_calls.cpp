// Each end that a call to a runner can take, for requests that may and may not be repeated, on fresh and on reused
// connections: what the client gets, and how many requests reached runners.
#include <array>

#include "standins.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using Then = RunnerReply::Then;

namespace {

// Requests of this id are the ones under test; all others get a proper answer.
const std::string kTestedId = "abc";

// Kinds of requests. All of their routes allow two runners, so that nothing but the kind decides about a second one.
struct Kind {
  std::string name, method, path, service;
  bool repeatable = false;
};
const std::array<Kind, 5> kKinds{{{"idempotent GET", "GET", "/check/1", "plain", true},
                                  {"non-idempotent POST", "POST", "/once/1", "plain", false},
                                  {"non-idempotent GET", "GET", "/once/1", "plain", false},
                                  {"resumable stream", "POST", "/text/1", "engine", true},
                                  {"stream that may not be resumed", "POST", "/talk/1", "engine", false}}};

const std::string kMoreRoutes =
    R"(,{"name":"once","hostname":"a.example","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":3000,)"
    R"("targetLatencyMs":800,"targetService":"plain","maxAttempts":2},)"
    R"({"name":"talk","hostname":"a.example","pathPrefix":"/talk/","routeType":"streaming","timeoutMs":3000,)"
    R"("targetLatencyMs":800,"targetService":"engine","maxAttempts":2,"resumable":false,"tokenGapMs":400})";

std::string requestOf(const Kind& kind, const std::string& id, const std::string& more = "") {
  return kind.method + " " + kind.path + " HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: " + id + "\r\n" +
         more + (kind.method == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

// What a client and the runners are to see of an answer.
enum class Expected {
  Good,     // the client has the runner's answer; one runner was asked
  Failed,   // it may have run: a second runner answers what may be repeated; all else ends with 502
  Refused,  // it has not run: a second runner answers
  Own       // a failure of the runner's own, with its seal, for what may not be repeated; else as `Failed`
};

struct Case {
  std::string name, bytes;
  Then then = Then::KeepOpen;
  Expected onFresh = Expected::Failed, onReused = Expected::Failed;
};

const std::string kGood = "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 4\r\n\r\ngood";
const std::string kStray = "HTTP/1.1 200 OK\r\nIndigohill-Attempt-Id: other\r\n{seal}Content-Length: 5\r\n\r\nstray";
const std::string kStrayWithoutId = "HTTP/1.1 200 OK\r\n{seal}Content-Length: 5\r\n\r\nstray";
const std::string kNotRun = "Indigohill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::vector<Case> cases() {
  using enum Expected;
  return {
      {"closed without a word", "", Then::Close},
      {"reset without a word", "", Then::Reset},
      {"reset within the head", "HTTP/1.1 200 OK\r\n{id}", Then::Reset},
      {"reset within the body", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 50\r\n\r\ngo", Then::Reset},
      {"closed within the status line", "HTTP/1.1 2", Then::Close},
      {"closed within the head", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Len", Then::Close},
      {"closed before the empty line", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 0\r\n", Then::Close},
      {"closed behind the head", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 4\r\n\r\n", Then::Close},
      {"closed within the body", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 4\r\n\r\ngoo", Then::Close},
      {"closed within a chunk", "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: chunked\r\n\r\n9\r\ngoo", Then::Close},
      {"closed before the last chunk", "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
       Then::Close},
      {"closed within the last chunk",
       "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n", Then::Close},
      {"no HTTP", "\x01\x02 this is no answer\r\n\r\n", Then::Close},
      {"no HTTP, then a good answer", "this is no answer\r\n" + kGood},
      {"a chunk of no length", "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: chunked\r\n\r\nzz\r\ngood\r\n"},
      {"length and chunks",
       "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
      {"chunks and length",
       "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
      {"two lengths", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 4\r\nContent-Length: 2\r\n\r\ngood"},
      {"an encoding below the chunks",
       "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: gzip, chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
      {"no seal", "HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\ngood"},
      {"two seals", "HTTP/1.1 200 OK\r\n{id}{seal}{seal}Content-Length: 4\r\n\r\ngood"},
      {"a success without an id", "HTTP/1.1 200 OK\r\n{seal}Content-Length: 4\r\n\r\ngood"},
      {"two ids", "HTTP/1.1 200 OK\r\n{id}Indigohill-Attempt-Id: other\r\n{seal}Content-Length: 4\r\n\r\ngood"},
      {"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n{id}{seal}Upgrade: x\r\n\r\n"},

      {"a good answer", kGood, Then::KeepOpen, Good, Good},
      {"a good answer, then closed", kGood, Then::Close, Good, Good},
      {"a good answer in chunks",
       "HTTP/1.1 200 OK\r\n{id}{seal}Transfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n", Then::KeepOpen,
       Good, Good},
      {"interim answers first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kGood,
       Then::KeepOpen, Good, Good},
      {"bytes behind a whole answer", kGood + "more", Then::KeepOpen, Good, Good},
      {"another's answer behind a whole one", kGood + kStray, Then::KeepOpen, Good, Good},

      {"another's answer first", kStray + kGood, Then::KeepOpen, Good, Good},
      {"another's answer alone", kStray, Then::Close},
      {"another's refusal alone", "HTTP/1.1 503 Service Unavailable\r\nIndigohill-Attempt-Id: other\r\n" + kNotRun,
       Then::Close},
      {"another's misdirection alone",
       "HTTP/1.1 421 Misdirected\r\nIndigohill-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n", Then::Close},
      {"two answers of others", kStray + kStray + kGood},
      {"another's answer without an id first", kStrayWithoutId + kGood},
      {"another's answer, then a refusal without an id", kStray + "HTTP/1.1 503 Busy\r\n" + kNotRun},
      {"another's failure without an id first", "HTTP/1.1 500 Broken\r\n{seal}Content-Length: 5\r\n\r\nstray" + kGood,
       Then::KeepOpen, Own, Failed},
      {"another's refusal without an id first", "HTTP/1.1 503 Busy\r\n" + kNotRun + kGood, Then::KeepOpen, Refused,
       Failed},
      {"another's misdirection without an id first", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n" + kGood,
       Then::KeepOpen, Refused, Failed},
      {"half of another's status line first", "HTTP/1.1 5" + kGood},
      {"another's status line without its end first", "HTTP/1.1 500 Broken" + kGood},
      {"another's status line first", "HTTP/1.1 500 Broken\r\n" + kGood},
      {"another's head up to a value first", "HTTP/1.1 404 Not Found\r\nX-Part: " + kGood},
      {"another's head up to a refusal first", "HTTP/1.1 503 Busy\r\nIndigohill-Not-Executed: " + kGood},
      {"another's head up to its id first", "HTTP/1.1 404 Not Found\r\nIndigohill-Attempt-Id: " + kGood},
      {"another's head first",
       "HTTP/1.1 200 OK\r\nIndigohill-Attempt-Id: other\r\n{seal}Content-Length: 50\r\n\r\n" + kGood, Then::Close},
      {"half of another's body first",
       "HTTP/1.1 200 OK\r\nIndigohill-Attempt-Id: other\r\n{seal}Content-Length: 50\r\n\r\nstr" + kGood, Then::Close},
      {"half of another's chunk first",
       "HTTP/1.1 200 OK\r\nIndigohill-Attempt-Id: other\r\n{seal}Transfer-Encoding: chunked\r\n\r\n40\r\nstr" + kGood,
       Then::Close},

      {"a refusal", "HTTP/1.1 503 Busy\r\n{id}" + kNotRun, Then::KeepOpen, Refused, Refused},
      {"a refusal, then closed", "HTTP/1.1 503 Busy\r\n{id}" + kNotRun, Then::Close, Refused, Refused},
      {"a refusal whose body breaks off",
       "HTTP/1.1 503 Busy\r\n{id}Indigohill-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nnot", Then::Close, Refused,
       Refused},
      {"a refusal of too many", "HTTP/1.1 429 Too Many\r\n{id}" + kNotRun, Then::KeepOpen, Refused, Refused},
      {"a refusal with 500", "HTTP/1.1 500 Broken\r\n{id}" + kNotRun, Then::KeepOpen, Refused, Refused},
      {"the wrong instance", "HTTP/1.1 421 Misdirected\r\n{id}Content-Length: 0\r\n\r\n", Then::KeepOpen, Refused,
       Refused},
      {"503 without the word that it has not run", "HTTP/1.1 503 Busy\r\n{id}{seal}Content-Length: 0\r\n\r\n"},
      {"429 without the word that it has not run", "HTTP/1.1 429 Too Many\r\n{id}{seal}Content-Length: 0\r\n\r\n"},
      {"408 without the word that it has not run", "HTTP/1.1 408 Late\r\n{id}{seal}Content-Length: 0\r\n\r\n"},
      {"a failure of its own", "HTTP/1.1 500 Broken\r\n{id}{seal}Content-Length: 4\r\n\r\noops", Then::KeepOpen, Own,
       Own},
      {"a failure of its own that breaks off", "HTTP/1.1 500 Broken\r\n{id}{seal}Content-Length: 9\r\n\r\noops",
       Then::Close},
  };
}

// Two runners. The first request under test that reaches either of them gets the reply under test.
struct Pair {
  std::atomic<int> tested{0};
  RunnerReply reply;
  ScriptedRunner one, two;

  Pair(const std::string& bytes, Then then)
      : reply{bytes, then},
        one({[this](const http::Request& request) { return next(request); }}),
        two({[this](const http::Request& request) { return next(request); }}) {}

  RunnerReply next(const http::Request& request) {
    const bool first = request["Indigohill-Attempt-Id"] == kTestedId && tested++ == 0;
    return first ? RunnerReply{filledIn(reply.bytes, request), reply.then} : RunnerReply{filledIn(kGood, request)};
  }
  // Whether the first request under test came on a connection that had carried another one.
  bool reused() const {
    for (const auto* runner : {&one, &two})
      for (std::size_t i = 0; i < runner->count(); ++i)
        if (runner->request(i)["Indigohill-Attempt-Id"] == kTestedId) {
          const bool wasFirst = tested == 1 || runner->onReusedConnection(i);
          if (wasFirst) return runner->onReusedConnection(i);
        }
    return false;
  }
};

struct Played {
  std::string answer;
  int arrivals = 0;
  bool reused = false;
};

// Sends the request under test and another behind it, which must get its own proper answer or find the connection
// closed.
Played play(const Case& row, const Kind& kind, bool reuse, const std::string& more = "") {
  Pair pair(row.bytes, row.then);
  Front front({&pair.one, &pair.two}, kind.service, kMoreRoutes);
  front.allowRetries();
  if (reuse) front.exchange(requestOf(kind, "before1") + requestOf(kind, "before2", "Connection: close\r\n"));
  Played played;
  played.answer = front.exchange(requestOf(kind, kTestedId, more) + requestOf(kind, "behind", "Connection: close\r\n"));
  played.arrivals = pair.tested;
  played.reused = pair.reused();
  return played;
}

// The first answer of several; `rest` gets what follows.
std::string firstAnswer(const std::string& text, std::string& rest) {
  const auto next = text.find("HTTP/1.1 ", 1);
  rest = next == std::string::npos ? std::string() : text.substr(next);
  return text.substr(0, next);
}

bool isGood(const std::string& answer) {
  return starts(answer, "HTTP/1.1 200") && has(answer, "good") && has(answer, kSealLine) &&
         has(answer, idLine(kTestedId)) && !has(answer, "stray") &&
         (has(answer, "Content-Length: 4\r\n") || answer.ends_with("0\r\n\r\n"));
}

// What is wrong with how the request went; empty if nothing is.
std::string wrong(const Played& played, const Case& row, Expected expected, const Kind& kind) {
  std::string rest;
  const auto answer = firstAnswer(played.answer, rest);
  const bool second = expected == Expected::Refused || (expected != Expected::Good && kind.repeatable);
  const int arrivals = second ? 2 : 1;
  if (played.arrivals != arrivals) return fmt::format("{} arrivals instead of {}", played.arrivals, arrivals);
  if (second || expected == Expected::Good) {
    if (!isGood(answer)) return "no good answer";
  } else if (expected == Expected::Own) {
    if (!starts(answer, "HTTP/1.1 500") || !has(answer, kSealLine)) return "not the runner's own failure";
  } else if (!starts(answer, "HTTP/1.1 502") || has(answer, "Seal")) {
    return "no 502 of the router's own";
  }
  if (rest.empty()) return "the next request got no answer";
  if (starts(rest, "HTTP/1.1 200") && has(rest, idLine("behind")) && has(rest, "good")) return {};
  // A runner that closes without a word may do so while the next request is on its way.
  const bool closedUnderIt = row.then == Then::Close && starts(rest, "HTTP/1.1 502") && !has(rest, "Seal");
  return closedUnderIt ? "" : "the next request got an answer that is not its own";
}

}  // namespace

Test(runner_calls, each_end_of_a_call_gives_the_client_its_own_answer_and_runs_once_what_may_run_once) {
  std::string found;
  for (const auto& row : cases())
    for (const auto& kind : kKinds)
      for (const bool reuse : {false, true}) {
        const auto played = play(row, kind, reuse);
        const auto what = wrong(played, row, reuse ? row.onReused : row.onFresh, kind);
        const auto where = fmt::format("{}, {}, {} connection", row.name, kind.name, reuse ? "reused" : "fresh");
        if (!what.empty()) found += fmt::format("{}: {}\n{}\n", where, what, played.answer);
        if (played.reused != reuse) found += where + ": not the connection that was meant\n";
      }
  cr_assert(found.empty(), "%s", found.c_str());
}

Test(runner_calls, silence_ends_with_the_deadline_and_its_connection_is_not_used_again) {
  for (const std::string partial :
       {"", "HTTP/1.1 200 OK\r\n{id}", "HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 9\r\n\r\ngo"})
    for (const auto& kind : kKinds)
      for (const bool reuse : {false, true}) {
        const auto played = play({"silence", partial, Then::Hold}, kind, reuse, "Indigohill-Time-Remaining: 60\r\n");
        std::string rest;
        const auto answer = firstAnswer(played.answer, rest);
        const auto where = fmt::format("'{}', {}, {}: {}", partial, kind.name, reuse, played.answer);
        cr_assert_eq(played.arrivals, 1, "%s", where.c_str());
        cr_assert(starts(answer, "HTTP/1.1 504") && !has(answer, "Seal"), "%s", where.c_str());
        cr_assert(starts(rest, "HTTP/1.1 200") && has(rest, idLine("behind")), "%s", where.c_str());
      }
}

Test(runner_calls, a_runner_that_turns_a_request_away_before_it_has_read_the_body_has_not_run_it) {
  // Larger than what sockets take in by themselves.
  const std::string body(16u << 20, 'x');
  const auto configuration =
      replaced(document(1, 3000, kMoreRoutes), "\"maxBodyBytes\":65536", "\"maxBodyBytes\":33554432");
  ScriptedRunner full({raw("HTTP/1.1 503 Busy\r\n{id}Connection: close\r\n" + kNotRun, Then::Close)});
  ScriptedRunner well({whole("good")});
  full.answersHeads = true;
  Front front({&full, &well}, "plain", 1, configuration);
  front.allowRetries();
  for (int i = 0; i < 8 && full.count() == 0; ++i) {
    const auto out = front.exchange("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\n" +
                                    fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body);
    cr_assert(isGood(out), "%s", out.c_str());
  }
  cr_assert_eq(full.count(), 1u);
}

Test(runner_calls, a_runner_that_takes_no_connection_is_left_for_another) {
  // Nobody accepts there, and what the kernel keeps for later is full: a connection stays unanswered.
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  acceptor.listen(0);
  std::vector<tcp::socket> waiting;
  for (int i = 0; i < 4; ++i) {
    // Begun and never finished: `io` does not run.
    waiting.emplace_back(io);
    waiting.back().async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
  }
  ScriptedRunner well({whole("good")});
  TrafficSide front;
  front.declare(document(1, 3000, kMoreRoutes));
  front.list({{"silent", "plain", "z0", kLoopback, acceptor.local_endpoint().port(), 6, false, 0},
              {"well", "plain", "z0", kLoopback, well.port(), 6, false, 0}});
  front.start();
  for (int i = 0; i < 4; ++i) {
    const auto out = front.exchange(requestOf(kKinds[1], kTestedId));
    cr_assert(isGood(out), "%s", out.c_str());
  }
  cr_assert_eq(well.count(), 4u);
}

namespace {

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\n{id}{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
// The rest of a stream, behind the event that the request names.
RunnerReply restOfStream(const http::Request& request, int firstId) {
  return {filledIn(kStreamHead + chunk(event(firstId)) + chunk(event(firstId + 1)) + "0\r\n\r\n", request)};
}

struct StreamPlayed {
  std::string answer;
  int arrivals = 0;
};
// A stream that ends in some way after its second event, before another runner that goes on with the given event.
StreamPlayed playStream(const std::string& path, const std::string& end, Then then, int goesOnWith) {
  std::atomic<int> arrivals{0};
  const auto script = [&](const http::Request& request) {
    if (arrivals++ > 0) return restOfStream(request, goesOnWith);
    return RunnerReply{filledIn(kStreamHead + chunk(event(1)) + chunk(event(2)) + end, request), then};
  };
  ScriptedRunner one({script}), two({script});
  Front front({&one, &two}, "engine", kMoreRoutes);
  front.allowRetries();
  StreamPlayed played;
  std::string rest;
  const auto answers =
      front.exchange("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\n" +
                     "Content-Length: 0\r\n\r\n" + requestOf(kKinds[3], "behind"));
  played.answer = firstAnswer(answers, rest);
  played.arrivals = arrivals;
  return played;
}
std::size_t times(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

}  // namespace

Test(runner_calls, a_stream_that_breaks_off_goes_on_elsewhere_or_is_cut_visibly) {
  const std::vector<std::pair<std::string, Then>> ends{{"", Then::Close},
                                                       {"", Then::Reset},
                                                       {"zz\r\nid: 9\n\n", Then::KeepOpen},
                                                       {"40\r\nid: 3\ndata: pi", Then::Close},
                                                       {"0\r\n", Then::Close},
                                                       {kStray, Then::Close}};
  for (const auto& [end, then] : ends) {
    const auto resumed = playStream("/text/1", end, then, 3);
    // A reset may overtake what was sent before it; the client then has all of it from the other runner.
    if (then != Then::Reset)
      for (int id = 1; id <= 4; ++id) cr_assert_eq(times(resumed.answer, event(id)), 1u, "%s", resumed.answer.c_str());
    cr_assert_eq(resumed.arrivals, 3, "%s", resumed.answer.c_str());
    const auto cut = playStream("/talk/1", end, then, 3);
    cr_assert_eq(cut.arrivals, then == Then::Reset && starts(cut.answer, "HTTP/1.1 502") ? 2 : 1);
    cr_assert(!has(cut.answer, "0\r\n\r\n"), "%s", cut.answer.c_str());
  }
}

Test(runner_calls, a_runner_that_does_not_go_on_behind_the_last_event_is_not_joined) {
  for (const int goesOnWith : {1, 2}) {
    const auto played = playStream("/text/1", "", Then::Close, goesOnWith);
    cr_assert_eq(played.arrivals, 2);
    cr_assert_eq(times(played.answer, event(2)), 1u, "%s", played.answer.c_str());
    cr_assert(!has(played.answer, "0\r\n\r\n"), "%s", played.answer.c_str());
  }
}

Test(runner_calls, an_answer_without_a_body_ends_with_its_head) {
  // Each answer is followed by one to another request, which must be read as such.
  const std::vector<std::string> replies{"HTTP/1.1 204 No Content\r\n{id}{seal}\r\n",
                                         "HTTP/1.1 304 Not Modified\r\n{id}{seal}ETag: x\r\n\r\n"};
  for (const auto& reply : replies)
    for (const auto& kind : kKinds) {
      const auto played = play({"no body", reply}, kind, false);
      std::string rest;
      const auto answer = firstAnswer(played.answer, rest);
      cr_assert(starts(answer, reply.substr(0, 12)) && answer.ends_with("\r\n\r\n"), "%s", played.answer.c_str());
      cr_assert(has(answer, kSealLine) && !has(answer, "Content-Length"), "%s", played.answer.c_str());
      cr_assert(starts(rest, "HTTP/1.1 200") && has(rest, idLine("behind")), "%s", played.answer.c_str());
      cr_assert_eq(played.arrivals, 1);
    }
}

Test(runner_calls, an_answer_to_head_has_no_body_wherever_it_comes_from) {
  ScriptedRunner plain({raw("HTTP/1.1 200 OK\r\n{id}{seal}Content-Length: 4\r\n\r\n")});
  const auto head = [](const std::string& path) {
    return "HEAD " + path + " HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\n\r\n";
  };
  for (const std::string service : {"plain", "engine"}) {
    Front front({&plain}, service, kMoreRoutes);
    for (const std::string path : {"/check/1", "/once/1", "/text/1", "/talk/1", "/none/1"}) {
      const auto out = front.exchange(head(path) + head("/none/2"));
      std::string rest;
      cr_assert(firstAnswer(out, rest).ends_with("\r\n\r\n"), "%s", out.c_str());
      cr_assert_eq(times(out, "\r\n\r\n"), 2u, "%s", out.c_str());
      cr_assert(starts(rest, "HTTP/1.1 404") && rest.ends_with("\r\n\r\n"), "%s", out.c_str());
    }
  }
}
