// One call to a runner: the request is sent, the answer that belongs to it found and judged, and, if it is no stream,
// read whole and passed on. What each end of a call means is in docs/control/calls.md.
#include <array>

#include "base/hash.hpp"
#include "base/log.hpp"
#include "proxy/answer_head.hpp"
#include "proxy/exchange.hpp"
#include "proxy/executor.hpp"
#include "proxy/headers.hpp"
#include "proxy/silence_watch.hpp"
#include "proxy/socket_timer.hpp"
#include "rollout/versions.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;
using base::Verdict;

namespace {

constexpr std::size_t kBodyBuffered = 32u << 20;
constexpr int kInterimMost = 16;  // 1xx answers before a final one
constexpr Millis kAimUnknown{1000};

// Reads an answer to its end without keeping it; false if it breaks off.
asio::awaitable<bool> skipBody(Connection& connection, wire::response_parser<wire::buffer_body>& parser) {
  std::array<char, 4096> waste;
  while (!parser.is_done()) {
    parser.get().body().data = waste.data();
    parser.get().body().size = waste.size();
    auto [error, bytes] = co_await wire::async_read_some(connection.stream, connection.buffer, parser, http::kTuple);
    if (error && error != wire::error::need_buffer) co_return false;
  }
  co_return true;
}

}  // namespace

asio::awaitable<CallOutcome> Executor::attempt(Exchange& exchange, routing::PassTo& to) {
  using End = CallOutcome::End;
  auto taken =
      co_await pool_.take(exchange.service, to.instanceId, to.address, exchange.route.repeatable(), exchange.deadline);
  if (const auto* bad = base::errorIn(taken)) {
    table_.recordResult(to.instanceId, routing::AttemptResult::Failure, base::Clock::now());
    co_return CallOutcome{End::Unreached, Verdict::NotRun, bad->what};
  }
  auto connection = std::get<0>(std::move(taken));
  auto& stream = connection->stream;
  const auto strand = co_await asio::this_coro::executor;
  SocketTimer deadline(strand, stream.socket(), exchange.deadline);
  const auto left = std::chrono::duration_cast<Millis>(exchange.deadline - base::Clock::now());
  if (left.count() <= 0) co_return CallOutcome{End::Fault, Verdict::NotRun, "out of time"};
  const auto outgoing = forRunner(exchange.request, to.instanceId, left, exchange.resumeFrom, exchange.expected);
  // A reset on a reused connection before any byte of an answer: the runner had forgotten it, which is no fault of its
  // health. Whether it has read the request is not known all the same.
  const auto failed = [&](const boost::system::error_code& error, bool answered) {
    if (deadline.expired()) return;
    if (connection->reused && !answered && error != asio::error::operation_aborted)
      pool_.reused(exchange.service, *connection, true);
    else
      table_.recordResult(to.instanceId, routing::AttemptResult::Failure, base::Clock::now());
  };
  auto [writeError, written] = co_await wire::async_write(stream, outgoing, http::kTuple);
  // A runner may have turned the request away before all of it was sent, and closed: its answer is still to be read.
  if (writeError && deadline.expired())
    co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "sending: " + writeError.message()};

  const auto aim = exchange.route.targetLatency.count() > 0 ? exchange.route.targetLatency : kAimUnknown;
  SilenceWatch watch(strand, table_, to.instanceId, *connection, aim,
                     exchange.route.repeatable() && (!exchange.started || !exchange.resumeFrom.empty()));
  std::unique_ptr<wire::response_parser<wire::buffer_body>> parser;
  bool strayed = false;
  for (int interim = 0;;) {
    parser = std::make_unique<wire::response_parser<wire::buffer_body>>();
    parser->body_limit(boost::none);
    if (exchange.request.method() == wire::verb::head) parser->skip(true);
    auto [error, bytes] = co_await wire::async_read_header(stream, connection->buffer, *parser, http::kTuple);
    if (error) {
      if (watch.tookAway()) co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "silent, and held to be ill"};
      failed(error, bytes > 0 || connection->buffer.size() > 0);
      co_return CallOutcome{
          End::Fault, Verdict::MayHaveRun,
          writeError ? "sending: " + writeError.message() : "waiting for the answer: " + error.message()};
    }
    const auto owner = ownerOfAnswer(parser->get(), exchange.attemptId, connection->reused || strayed);
    if (owner == AnswerOwner::ThisRequest) break;
    if (owner == AnswerOwner::Interim && ++interim <= kInterimMost) continue;
    // The late answer to another request, in the place of this one's: read past once; the connection is not used
    // again afterwards.
    const bool first = owner == AnswerOwner::OtherRequest && !std::exchange(strayed, true);
    if (!first || !co_await skipBody(*connection, *parser)) {
      table_.recordResult(to.instanceId, routing::AttemptResult::Failure, base::Clock::now());
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "no answer to this request"};
    }
  }
  watch.end();
  if (connection->reused) pool_.reused(exchange.service, *connection, false);
  const auto& head = parser->get();
  const auto status = static_cast<int>(head.result_int());
  if (const auto load = view(head[kLoad]); !load.empty()) {
    const auto first = load.find(','), second = load.find(',', first == std::string_view::npos ? first : first + 1);
    if (second != std::string_view::npos)
      table_.reportLoad(to.instanceId, number<std::uint32_t>(load.substr(0, first), 0),
                        number<std::uint32_t>(load.substr(first + 1, second - first - 1), 0),
                        number<std::uint32_t>(load.substr(second + 1), 0), base::Clock::now());
  }
  // Parts of prompts that were kept are of the weights they were computed with.
  const auto weights = view(head[kWeightVersions]);
  const auto told = rollout::parseVersions(weights);
  if (!weights.empty())
    table_.setRevision(to.instanceId, base::hash(view(exchange.request[kModel])),
                       told.version && !told.mixed ? *told.version : base::hash(weights));
  const bool notRun = head.count(kNotExecuted) > 0 || status == 421;
  if (!notRun && status < 500 && !watch.late()) table_.recordInTime(to.instanceId, base::Clock::now());
  const bool otherVersion = exchange.expected && told.otherThan(*exchange.expected);
  const bool echoes = view(head[kAttemptId]) == exchange.attemptId && !exchange.attemptId.empty();
  CallOutcome outcome;
  const auto idle = idleTimeOf(head);
  const bool reusable = head.keep_alive() && !strayed && !writeError;
  if (writeError && !notRun) {
    failed(writeError, true);
    co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "sending: " + writeError.message()};
  }
  if (notRun) {
    // One that has other weights by now is well, so it is no evidence of illness. What a client alone wished for tells
    // nothing about the runner's entry in the list.
    const bool otherWeights = status == 421 && exchange.expected;
    table_.recordResult(to.instanceId,
                        otherWeights ? routing::AttemptResult::Success : routing::AttemptResult::Rejected,
                        base::Clock::now());
    if (otherWeights && exchange.expected == to.expectedVersion)
      table_.versionRejected(to.instanceId, base::Clock::now());
    outcome = {End::Refused, Verdict::NotRun, "turned away with " + std::to_string(status)};
    if (!co_await skipBody(*connection, *parser)) co_return outcome;
  } else if (status < 300 && (!echoes || head.count(kSeal) == 0)) {
    table_.recordResult(to.instanceId, routing::AttemptResult::Failure, base::Clock::now());
    co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "an answer without id or seal"};
  } else if (otherVersion && status < 300) {
    // It has run, so it is no success and promises nothing.
    outcome = {End::Fault, Verdict::MayHaveRun,
               fmt::format("{} answered with weights {} where {} were expected", to.instanceId,
                           std::string(head[kWeightVersions]), *exchange.expected),
               told};
  } else if (exchange.stream && status == 200) {
    if (!exchange.started) exchange.version.reset();
    if (told.version && !told.mixed) exchange.version = told.version;
    if (!exchange.version) exchange.version = exchange.expected;
    outcome = co_await relayEvents(exchange, *connection, *parser);
  } else {
    outcome = co_await answerWhole(exchange, *connection, *parser, to.instanceId);
  }
  const auto now = base::Clock::now();
  // Its 504 at the deadline says nothing of its health.
  const bool ownFailure = status >= 500 && status != 504;
  if (outcome.end == End::Answered)
    table_.recordResult(to.instanceId, ownFailure ? routing::AttemptResult::Failure : routing::AttemptResult::Success,
                        now);
  // A runner of other weights is well; it just must not serve this.
  if (outcome.otherVersion)
    table_.versionMismatched(to.instanceId, view(exchange.request[kModel]),
                             outcome.otherVersion->mixed ? std::nullopt : outcome.otherVersion->version);
  else if (outcome.end == End::Fault && now < exchange.deadline)
    table_.recordResult(to.instanceId, routing::AttemptResult::Failure, now);
  const bool ended = outcome.end == End::Answered || outcome.end == End::Refused;
  if (ended && reusable && parser->is_done() && !deadline.expired()) {
    deadline.stop();
    pool_.giveBack(to.instanceId, std::move(connection), idle);
  }
  co_return outcome;
}

// An answer that is no stream: read whole before a byte of it is passed on, so that the client gets all or nothing.
asio::awaitable<CallOutcome> Executor::answerWhole(Exchange& exchange, Connection& connection,
                                                   wire::response_parser<wire::buffer_body>& parser,
                                                   const std::string& instanceId) {
  using End = CallOutcome::End;
  http::Response out(parser.get().result(), 11);
  copyAnswerHead(parser.get(), out);
  std::array<char, 16384> part;
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    auto [error, bytes] = co_await wire::async_read_some(connection.stream, connection.buffer, parser, http::kTuple);
    if (error && error != wire::error::need_buffer)
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "the answer breaks off: " + error.message()};
    out.body().append(part.data(), part.size() - parser.get().body().size);
    if (out.body().size() > kBodyBuffered)
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "the answer is too large"};
  }
  const auto status = out.result_int();
  // To a client these statuses promise that the request has not run. The runner gave no such word.
  if (status == 429 || status == 503 || status == 408)
    co_return CallOutcome{End::Fault, Verdict::MayHaveRun, instanceId + " answered " + std::to_string(status)};
  if (exchange.started) co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "answered " + std::to_string(status)};
  if (exchange.route.type == control::RouteType::Streaming && status < 300) {
    auto version = rollout::parseVersions(view(parser.get()[kWeightVersions])).version;
    const auto may = [&](std::uint64_t from, std::uint64_t to) { return mayChange(exchange, from, to); };
    if (const auto change = rollout::forbiddenChange(out.body(), version, may))
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, kWeightsChange, change->told};
  }
  exchange.keep = keepAlive(exchange.request);
  out.keep_alive(exchange.keep);
  const bool bodiless = exchange.request.method() == wire::verb::head || out.result() == wire::status::no_content ||
                        out.result() == wire::status::not_modified;
  if (!bodiless) out.prepare_payload();
  // A failure of the runner's own has run. What may run again is tried elsewhere, and this answer kept for the case
  // that nobody does better.
  if (status >= 500 && exchange.route.repeatable()) {
    exchange.failure = std::move(out);
    co_return CallOutcome{End::Fault, Verdict::MayHaveRun, instanceId + " answered " + std::to_string(status)};
  }
  exchange.client.expires_after(Millis(10000));
  auto [error, bytes] = co_await wire::async_write(exchange.client, out, http::kTuple);
  if (error) co_return CallOutcome{End::ClientGone, Verdict::Ran, error.message()};
  co_return CallOutcome{End::Answered, Verdict::Ran, {}};
}

}  // namespace indigohill::proxy
