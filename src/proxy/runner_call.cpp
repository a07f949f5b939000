#include "proxy/runner_call.hpp"

#include <algorithm>
#include <array>
#include <gsl/util>
#include <utility>

#include "base/hash.hpp"
#include "base/invariant.hpp"
#include "http/answer_writer.hpp"
#include "http/await_room.hpp"
#include "proxy/answer_relay.hpp"
#include "proxy/client_monitor.hpp"
#include "proxy/headers.hpp"
#include "proxy/request_progress.hpp"
#include "proxy/response_head.hpp"
#include "proxy/stream_relay.hpp"
#include "rollout/versions.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace wire = http::wire;
using base::Millis;
using routing::AttemptResult;

namespace {

base::Invariant noKeyLeaves("no_key_leaves", "No request to a runner bears a tenant's key.");

// Responses that are no streams: up to the first size they are kept without being counted, beyond the second they are
// passed on as they come.
constexpr std::size_t kSmallBodyBytes = 32u << 10, kMaxKeptBodyBytes = 32u << 20;
constexpr int kMaxInterimResponses = 16;  // 1xx before a final one
constexpr Millis kDefaultLatencyTarget{1000};
constexpr Millis kClientWriteTimeout{10000};
constexpr Millis kUnusedIdleTime{1000};  // that a runner is trusted to keep a connection that has carried nothing

bool isServerError(int status) { return status >= 500; }

// To a client these statuses promise that the request has not run.
bool promisesNotRun(int status) { return status == 429 || status == 503 || status == 408; }

// `Indigohill-Instance-Load`: running, waiting, slots.
void reportLoad(routing::Table& table, const std::string& instanceId, std::string_view load) {
  const auto first = load.find(',');
  const auto second = load.find(',', first == std::string_view::npos ? first : first + 1);
  if (second == std::string_view::npos) return;
  table.reportLoad(instanceId, number<std::uint32_t>(load.substr(0, first), 0),
                   number<std::uint32_t>(load.substr(first + 1, second - first - 1), 0),
                   number<std::uint32_t>(load.substr(second + 1), 0), base::Clock::now());
}

}  // namespace

asio::awaitable<AttemptOutcome> RunnerCall::run() {
  {
    // Nothing has been sent yet, so this ends with the client whatever the request is.
    const ClientMonitor::Action onLeave(exchange_.clientMonitor, [this] { abandon(); });
    auto ended = co_await acquire();
    if (abandoned_) co_return AttemptOutcome::clientGone();
    if (ended) co_return *std::move(ended);
  }
  if (!exchange_.endsWithClient()) co_return co_await runSteps();
  const ClientMonitor::Action onLeave(exchange_.clientMonitor, [this] { abandon(); });
  auto outcome = co_await runSteps();
  if (abandoned_ && outcome.end != AttemptOutcome::End::Answered) co_return AttemptOutcome::clientGone();
  co_return outcome;
}

// Whichever step waits for the runner, or for the client to take what it is sent, ends with an error.
void RunnerCall::abandon() {
  abandoned_ = true;
  exchange_.progress.onClientGone();
  exchange_.client.close();
  const bool runnerHasEnded = parser_ && parser_->is_done();
  if (!connection_ || runnerHasEnded) return;
  boost::system::error_code ignored;
  connection_->stream.socket().close(ignored);
}

asio::awaitable<AttemptOutcome> RunnerCall::runSteps() {
  const IdleConnections::Scope inProgress(state_.calls, connection_->stream);
  exchange_.progress.enter(RequestState::Sending);
  state_.metrics->connectTime.record(base::Clock::now() - exchange_.sentAt);
  if (auto ended = co_await send()) co_return *std::move(ended);
  exchange_.progress.enter(RequestState::AwaitingHead);
  if (auto ended = co_await awaitHead()) co_return *std::move(ended);
  recordHead();
  if (isRejection()) co_return co_await handleRejection();
  countRun();
  if (auto ended = judgeHead()) co_return *std::move(ended);
  exchange_.progress.enter(RequestState::Streaming);
  auto outcome = co_await passOn();
  recordOutcome(outcome);
  if (outcome.end == AttemptOutcome::End::Answered) releaseConnection();
  co_return outcome;
}

asio::awaitable<std::optional<AttemptOutcome>> RunnerCall::acquire() {
  connection_ = state_.pool.acquireIdle(exchange_.service, target_.instanceId, exchange_.route.repeatable());
  if (connection_) co_return std::nullopt;
  connection_ = state_.pool.create();
  if (!connection_) co_return AttemptOutcome::unreachable("too many connections to runners are open");
  if (const auto error = co_await state_.pool.connect(*connection_, target_.address, exchange_.deadline)) {
    recordFailure();
    co_return AttemptOutcome::unreachable(error->message);
  }
  if (target_.sendBy && base::Clock::now() > *target_.sendBy) {
    state_.pool.release(target_.instanceId, std::move(connection_), kUnusedIdleTime);
    co_return AttemptOutcome::unreachable("connecting to a runner in slow start took too long");
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<AttemptOutcome>> RunnerCall::send() {
  const auto strand = co_await asio::this_coro::executor;
  deadline_.emplace(strand, connection_->stream.socket(), exchange_.deadline);
  const auto remaining = std::chrono::duration_cast<Millis>(exchange_.deadline - base::Clock::now());
  if (remaining.count() <= 0) {
    AttemptOutcome outOfTime{AttemptOutcome::End::Failed, {routing::ExecutionStatus::NotRun, "out of time"}};
    co_return outOfTime;
  }
  const auto outgoing = forRunner(exchange_.request, {target_.instanceId, remaining, exchange_.resumeFrom,
                                                      exchange_.expectedVersion, exchange_.caller.tenant});
  noKeyLeaves.check(outgoing.count(kApiKey) == 0,
                    [&](base::LogEvent event) { return std::move(event).with("id", exchange_.attemptId); });
  auto [error, bytes] = co_await wire::async_write(connection_->stream, outgoing, http::kTuple);
  writeError_ = error;
  // A runner may have rejected the request before all of it was sent, and closed: its response is still to be read.
  if (writeError_ && deadline_->expired()) co_return AttemptOutcome::failed("sending: " + writeError_.message());
  co_return std::nullopt;
}

// Reads up to the head of the response that belongs to the request.
asio::awaitable<std::optional<AttemptOutcome>> RunnerCall::awaitHead() {
  const auto& route = exchange_.route;
  const auto latencyTarget = route.targetLatency.count() > 0 ? route.targetLatency : kDefaultLatencyTarget;
  const bool mayAbort = route.repeatable() && (!exchange_.started || !exchange_.resumeFrom.empty());
  watchdog_.emplace(co_await asio::this_coro::executor, state_.table, target_.instanceId, *connection_, latencyTarget,
                    mayAbort);
  for (int interim = 0;;) {
    parser_ = std::make_unique<Parser>();
    parser_->body_limit(boost::none);
    if (exchange_.request.method() == wire::verb::head) parser_->skip(true);
    auto [error, bytes] =
        co_await wire::async_read_header(connection_->stream, connection_->buffer, *parser_, http::kTuple);
    if (error) {
      if (watchdog_->hasAborted()) co_return AttemptOutcome::failed("silent, and held to be unhealthy");
      recordTransportFailure(error, bytes > 0 || connection_->buffer.size() > 0);
      co_return AttemptOutcome::failed(writeError_ ? "sending: " + writeError_.message()
                                                   : "waiting for the response: " + error.message());
    }
    const auto owner = ownerOfResponse(parser_->get(), exchange_.attemptId, connection_->reused || skippedOther_);
    if (owner == ResponseOwner::ThisRequest) break;
    if (owner == ResponseOwner::Interim && ++interim <= kMaxInterimResponses) continue;
    // The late response to another request, in the place of this one's: skipped once; the connection is not used again
    // afterwards.
    const bool skippable = owner == ResponseOwner::OtherRequest && !std::exchange(skippedOther_, true);
    const bool skipped = skippable && co_await skipBody();
    if (!skipped) {
      recordFailure();
      co_return AttemptOutcome::failed("no response to this request");
    }
  }
  watchdog_->stop();
  if (connection_->reused) state_.pool.recordReuse(exchange_.service, *connection_, false);
  co_return std::nullopt;
}

// What the head tells of the runner, whatever becomes of the request.
void RunnerCall::recordHead() {
  const auto& head = parser_->get();
  if (const auto load = view(head[kLoad]); !load.empty()) reportLoad(state_.table, target_.instanceId, load);
  // Parts of prompts that were kept are of the weights they were computed with.
  const auto weights = view(head[kWeightVersions]);
  reportedVersion_ = rollout::parseVersions(weights);
  if (!weights.empty())
    state_.table.setRevision(
        target_.instanceId, base::hash(view(exchange_.request[kModel])),
        reportedVersion_.version && !reportedVersion_.mixed ? *reportedVersion_.version : base::hash(weights));
  if (!isRejection() && !isServerError(static_cast<int>(head.result_int())) && !watchdog_->isLate())
    state_.table.recordInTime(target_.instanceId, base::Clock::now());
}

// The runner has begun to answer. A request counts once, however many runners answer it.
void RunnerCall::countRun() {
  const auto& tenant = exchange_.caller.tenant;
  if (state_.usage == nullptr || tenant.empty() || exchange_.counted) return;
  if (isServerError(static_cast<int>(parser_->get().result_int()))) return;
  exchange_.counted = true;
  state_.usage->onBegan(tenant, base::Clock::now());
}

// Whether the runner says that it did not run the request.
bool RunnerCall::isRejection() const {
  const auto& head = parser_->get();
  return head.count(kNotExecuted) > 0 || head.result() == wire::status::misdirected_request;
}

asio::awaitable<AttemptOutcome> RunnerCall::handleRejection() {
  const auto& head = parser_->get();
  const auto status = head.result_int();
  // One that has other weights by now is healthy, so it is no evidence against it. What a client alone requested says
  // nothing about the runner's entry in the list.
  const bool otherWeights = head.result() == wire::status::misdirected_request && exchange_.expectedVersion;
  record(otherWeights ? AttemptResult::Success : AttemptResult::Rejected);
  if (otherWeights && exchange_.expectedVersion == target_.expectedVersion)
    state_.table.versionRejected(target_.instanceId, base::Clock::now());
  if (co_await skipBody()) releaseConnection();
  co_return AttemptOutcome::rejected("rejected with " + std::to_string(status));
}

// A head that ends the attempt: of a response to a request that was not sent whole, or not from a runner that serves
// it.
std::optional<AttemptOutcome> RunnerCall::judgeHead() {
  if (writeError_) {
    recordTransportFailure(writeError_, true);
    return AttemptOutcome::failed("sending: " + writeError_.message());
  }
  const auto& head = parser_->get();
  const bool echoesId = !exchange_.attemptId.empty() && view(head[kAttemptId]) == exchange_.attemptId;
  if (head.result_int() < 300 && (!echoesId || head.count(kSeal) == 0)) {
    recordFailure();
    return AttemptOutcome::failed("a response without id or seal");
  }
  return std::nullopt;
}

asio::awaitable<AttemptOutcome> RunnerCall::passOn() {
  const auto& head = parser_->get();
  const auto status = head.result_int();
  const bool otherVersion = exchange_.expectedVersion && reportedVersion_.differsFrom(*exchange_.expectedVersion);
  // It has run, so it is no success and promises nothing.
  if (otherVersion && status < 300)
    co_return AttemptOutcome::failed(
        fmt::format("{} answered with weights {} where {} were expected", target_.instanceId,
                    std::string(head[kWeightVersions]), *exchange_.expectedVersion),
        reportedVersion_);
  if (!exchange_.stream || status != 200) co_return co_await passOnComplete();
  if (!exchange_.started) exchange_.version.reset();
  if (reportedVersion_.version && !reportedVersion_.mixed) exchange_.version = reportedVersion_.version;
  if (!exchange_.version) exchange_.version = exchange_.expectedVersion;
  StreamRelay relay(state_, exchange_, *connection_, *parser_);
  co_return co_await relay.run();
}

// A response that is no stream: read completely before a byte of it is passed on, so that the client gets all or
// nothing.
asio::awaitable<AttemptOutcome> RunnerCall::passOnComplete() {
  const auto released = gsl::finally([this] { exchange_.clientLimits.release(http::MemoryKind::Answer); });
  http::Response out;
  copyResponseHead(parser_->get(), out);
  const auto status = static_cast<int>(out.result_int());
  bool isWhole = true;
  if (auto ended = co_await readBody(out.body(), isWhole)) co_return *std::move(ended);
  if (!isWhole) co_return co_await relayAnswer(std::move(out));
  const auto answeredWith = " answered " + std::to_string(status);
  // The runner did not say that it has not run.
  if (promisesNotRun(status)) co_return AttemptOutcome::failed(target_.instanceId + answeredWith);
  if (exchange_.started) co_return AttemptOutcome::failed("answered " + std::to_string(status));
  if (exchange_.route.type == control::RouteType::Streaming && status < 300) {
    auto version = reportedVersion_.version;
    const auto allowed = [&](std::uint64_t from, std::uint64_t to) {
      return mayChangeVersion(state_, exchange_, from, to);
    };
    if (const auto change = rollout::forbiddenChange(out.body(), version, allowed))
      co_return AttemptOutcome::failed(kWeightsChanged, change->reported);
  }
  exchange_.keepAlive = state_.keepAlive(exchange_.request);
  out.keep_alive(exchange_.keepAlive);
  const bool bodiless = exchange_.request.method() == wire::verb::head || out.result() == wire::status::no_content ||
                        out.result() == wire::status::not_modified;
  if (!bodiless) out.prepare_payload();
  // A failure of the runner's own has run. What is idempotent is sent elsewhere, and this response kept for the case
  // that nobody does better.
  if (isServerError(status) && exchange_.route.repeatable()) {
    exchange_.failure = std::move(out);
    co_return AttemptOutcome::failed(target_.instanceId + answeredWith);
  }
  exchange_.status = status;
  exchange_.client.expires_after(kClientWriteTimeout);
  const auto error = co_await http::writeAnswer(exchange_.client, out, exchange_.clientLimits);
  co_return error ? AttemptOutcome::clientGone() : AttemptOutcome::answered();
}

// There is no memory to keep a response whole.
asio::awaitable<AttemptOutcome> RunnerCall::relayAnswer(http::Response begun) {
  const auto status = static_cast<int>(begun.result_int());
  AnswerRelay relay(state_, exchange_, *connection_, *parser_);
  // Of a stream for a client that cannot have one, every event is to be judged first.
  const bool mayBeRetried = isServerError(status) && exchange_.route.repeatable();
  const bool mustBeWhole = exchange_.started || promisesNotRun(status) || mayBeRetried ||
                           exchange_.route.type == control::RouteType::Streaming || !relay.isPossible();
  if (mustBeWhole) co_return AttemptOutcome::failed("no memory for the response");
  const auto bytes = std::max<std::uint64_t>(AnswerRelay::kBytes, begun.body().capacity());
  const bool hasRoom = co_await http::awaitRoom(exchange_.clientLimits, http::MemoryKind::Answer, bytes);
  if (!hasRoom) co_return AttemptOutcome::failed("no memory to pass on the response");
  co_return co_await relay.run(std::move(begun));
}

// Whether there is memory for a body of so many bytes. Small ones are part of what a request costs anyway.
bool RunnerCall::holdAnswer(std::uint64_t bytes) {
  if (bytes <= kSmallBodyBytes) return true;
  if (bytes > kMaxKeptBodyBytes) return false;
  return exchange_.clientLimits.hold(http::MemoryKind::Answer, bytes, base::Clock::now()) == http::Room::Held;
}

// Reads a response to its end, or as far as there is memory to keep it.
asio::awaitable<std::optional<AttemptOutcome>> RunnerCall::readBody(std::string& body, bool& isWhole) {
  std::array<char, 16384> part;
  if (parser_->is_done()) co_return std::nullopt;
  const auto length = parser_->content_length();
  isWhole = holdAnswer(length.value_or(0));
  if (!isWhole) co_return std::nullopt;
  body.reserve(length.value_or(0));
  while (!parser_->is_done()) {
    const bool wouldGrow = body.size() + part.size() > body.capacity();
    isWhole = length || !wouldGrow || holdAnswer(2 * body.capacity());
    if (!isWhole) co_return std::nullopt;
    parser_->get().body().data = part.data();
    parser_->get().body().size = part.size();
    auto [error, bytes] =
        co_await wire::async_read_some(connection_->stream, connection_->buffer, *parser_, http::kTuple);
    if (error && error != wire::error::need_buffer)
      co_return AttemptOutcome::failed("the response breaks off: " + error.message());
    body.append(part.data(), part.size() - parser_->get().body().size);
  }
  co_return std::nullopt;
}

// Reads a response to its end without keeping it; false if it breaks off.
asio::awaitable<bool> RunnerCall::skipBody() {
  std::array<char, 4096> discarded;
  while (!parser_->is_done()) {
    parser_->get().body().data = discarded.data();
    parser_->get().body().size = discarded.size();
    auto [error, bytes] =
        co_await wire::async_read_some(connection_->stream, connection_->buffer, *parser_, http::kTuple);
    if (error && error != wire::error::need_buffer) co_return false;
  }
  co_return true;
}

// A reset on a reused connection before any byte of a response: the runner had dropped it, which is no fault of its
// health. Whether it has read the request is not known all the same.
void RunnerCall::recordTransportFailure(const boost::system::error_code& error, bool responded) {
  if (abandoned_ || deadline_->expired()) return;
  if (connection_->reused && !responded && error != asio::error::operation_aborted)
    state_.pool.recordReuse(exchange_.service, *connection_, true);
  else
    recordFailure();
}

void RunnerCall::recordOutcome(const AttemptOutcome& outcome) {
  const auto status = static_cast<int>(parser_->get().result_int());
  // Its 504 at the deadline says nothing of its health.
  const bool ownFailure = isServerError(status) && status != 504;
  if (outcome.end == AttemptOutcome::End::Answered)
    record(ownFailure ? AttemptResult::Failure : AttemptResult::Success);
  // A runner of other weights is healthy; it just must not serve this.
  if (outcome.otherVersion)
    state_.table.versionMismatched(target_.instanceId, view(exchange_.request[kModel]),
                                   outcome.otherVersion->mixed ? std::nullopt : outcome.otherVersion->version);
  else if (outcome.end == AttemptOutcome::End::Failed && base::Clock::now() < exchange_.deadline)
    recordFailure();
}

// Back to the pool, if the next response on the connection cannot be confused with this one.
void RunnerCall::releaseConnection() {
  const auto& head = parser_->get();
  const bool reusable = head.keep_alive() && !skippedOther_ && !writeError_;
  if (!reusable || !parser_->is_done() || deadline_->expired()) return;
  const auto maxIdle = idleTimeOf(head);
  deadline_->stop();
  state_.pool.release(target_.instanceId, std::move(connection_), maxIdle);
}

}  // namespace indigohill::proxy
