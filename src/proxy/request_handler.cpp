#include "proxy/request_handler.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "base/log.hpp"
#include "http/answer_writer.hpp"
#include "proxy/prompt.hpp"
#include "proxy/runner_call.hpp"
#include "rollout/versions.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace wire = http::wire;
using base::LogEvent;
using base::Millis;

namespace {

constexpr Millis kMaxSnapshotWait{600};  // for the first configuration and runners of a process
constexpr Millis kSnapshotPoll{50};
constexpr Millis kQueuePoll{25};  // a queued request asks again, as a warming runner's rate fills with time alone
constexpr std::int64_t kMaxClientTimeMs = 86'400'000;
constexpr Millis kFailureWriteTimeout{10000}, kReplyTimeout{5000};
constexpr double kNoConfigurationRetryAfterS = 0.5;
// Another router serves what this one has no time for, so the client may come back at once.
constexpr double kShutdownRetryAfterS = 0.05;

AttemptKind kindOf(const Exchange& exchange, routing::RoutingPolicy& policy) {
  if (policy.request().attempts <= 1) return AttemptKind::First;
  return exchange.started ? AttemptKind::Resume : AttemptKind::Retry;
}

}  // namespace

asio::awaitable<bool> RequestHandler::run() {
  clientTime_ = Millis(std::clamp<std::int64_t>(number<std::int64_t>(view(request_[kTimeRemaining]), kMaxClientTimeMs),
                                                0, kMaxClientTimeMs));
  const auto snapshot = co_await awaitSnapshot();
  const auto* found = snapshot->route(view(request_[wire::field::host]), view(request_.target()));
  if (!snapshot->configuration)
    co_return co_await replyUnrouted(503, "no configuration yet", kNoConfigurationRetryAfterS);
  if (found == nullptr) co_return co_await replyUnrouted(404, "no route");
  auto caller = routing::authenticate(snapshot->tenantKeys.get(), *found, valuesOf(request_, kApiKey));
  if (!caller) co_return co_await replyUnrouted(401, "a tenant's key is wanted in Api-Key");
  co_return co_await route(*found, std::move(*caller));
}

asio::awaitable<bool> RequestHandler::replyUnrouted(int status, std::string body, double retryAfterS) {
  progress_.finish(RequestOutcome::Unrouted, std::nullopt);
  co_return co_await reply(status, std::move(body), retryAfterS);
}

// A process that has just started gets a configuration and runners within moments, and a request that waits for them is
// served sooner than one that is rejected. Bounded, so that a rejected client has most of its time left.
asio::awaitable<RequestHandler::Snapshot> RequestHandler::awaitSnapshot() {
  auto snapshot = state_.table.snapshot();
  const auto until = arrivedAt_ + std::min(kMaxSnapshotWait, clientTime_ / 4);
  QueueTicket ticket;
  while ((!snapshot->configuration || !snapshot->hasRunners) && base::Clock::now() < until && !monitor_.hasLeft()) {
    const bool waited = co_await state_.queue.wait(ticket, std::min(until, base::Clock::now() + kSnapshotPoll));
    if (!waited) break;
    snapshot = state_.table.snapshot();
  }
  co_return snapshot;
}

asio::awaitable<bool> RequestHandler::route(const control::Route& route, routing::Caller caller) {
  Exchange exchange(connection_, request_, route, progress_);
  exchange.attemptId = std::string(request_[kAttemptId]);
  exchange.caller = std::move(caller);
  exchange.arrivedAt = arrivedAt_;
  // The client's time, capped by what the operator wants a request held.
  exchange.deadline = arrivedAt_ + std::min(route.timeout, clientTime_);
  if (state_.mayBeCutOff(exchange.deadline)) {
    ++state_.counters.rejected;
    progress_.finish(RequestOutcome::Rejected, route.type);
    co_return co_await reply(503, "shutting down", kShutdownRetryAfterS);
  }
  exchange.stream =
      route.type == control::RouteType::Streaming && request_.version() >= 11 && request_.method() != wire::verb::head;
  exchange.resumeFrom = std::string(request_[kLastEventId]);

  routing::RoutingPolicy policy(state_.table, route, exchange.attemptId, arrivedAt_, exchange.deadline);
  auto& profile = policy.request();
  profile.prompt = parsePrompt(view(request_[kPrompt]));
  profile.model = base::hash(view(request_[kModel]));
  profile.modelName = std::string(request_[kModel]);
  const auto usage = view(request_[kUsage]);
  profile.promptTokens = number<std::uint32_t>(usage.substr(0, usage.find(',')), 0);
  exchange.service = profile.service;
  policy.onArrival(arrivedAt_);

  const auto ending = co_await tryRunners(exchange, policy);
  if (clientGone_) {
    progress_.finish(RequestOutcome::ClientGone, route.type);
    co_return false;
  }
  if (answered_) {
    ++state_.counters.passed;
    progress_.finish(RequestOutcome::Answered, route.type);
    record(exchange, exchange.status, profile.attempts);
    co_return exchange.keepAlive;
  }
  if (ending->status == 503 && !ending->cut) state_.loads->onRejected(exchange.service);
  const int status = exchange.failure ? static_cast<int>(exchange.failure->result_int()) : ending->status;
  record(exchange, status, profile.attempts);
  co_return co_await finish(exchange, *ending);
}

asio::awaitable<std::optional<routing::Ending>> RequestHandler::tryRunners(Exchange& exchange,
                                                                           routing::RoutingPolicy& policy) {
  QueueTicket ticket{exchange.caller.priority, exchange.caller.tenant};
  for (;;) {
    if (considerClientGone()) co_return std::nullopt;
    const auto now = base::Clock::now();
    if (state_.ending) co_return policy.ending(now);
    auto decision = policy.next(now);
    if (auto* ending = std::get_if<routing::Ending>(&decision)) co_return std::move(*ending);
    if (const auto* wait = std::get_if<routing::Wait>(&decision)) {
      progress_.enter(RequestState::Queued, now);
      const ServiceLoads::Scope waiting(state_.loads, exchange.service, ServiceLoads::Kind::Queued);
      const bool queued = co_await state_.queue.wait(ticket, std::min(wait->until, now + kQueuePoll));
      progress_.onReleased(MemoryKind::QueuePlace);
      if (!queued) {
        state_.metrics->queueFull.add();
        co_return policy.ending(now);
      }
      continue;
    }
    auto& target = std::get<routing::PassTo>(decision);
    exchange.sentAt = now;
    auto ending = co_await attempt(exchange, policy, target);
    if (ending || answered_ || clientGone_) co_return ending;
  }
}

// Nothing is sent on for a client that has left.
bool RequestHandler::considerClientGone() {
  if (!monitor_.hasLeft()) return false;
  progress_.onClientGone();
  clientGone_ = true;
  return true;
}

// One attempt. Another follows unless there is an ending, or the client is answered or gone.
asio::awaitable<std::optional<routing::Ending>> RequestHandler::attempt(Exchange& exchange,
                                                                        routing::RoutingPolicy& policy,
                                                                        routing::PassTo& target) {
  if (kindOf(exchange, policy) != AttemptKind::First)
    ++(exchange.started ? state_.counters.resumed : state_.counters.retried);
  exchange.admission = &target.admission;
  // A client that names a version is taken at its word.
  const auto wanted = view(request_[kExpectedVersion]);
  exchange.expectedVersion = wanted.empty() ? target.expectedVersion : rollout::parseVersions(wanted).version;
  AttemptProgress progress(progress_, kindOf(exchange, policy), policy.request().attempts, target.instanceId);
  const ServiceLoads::Scope running(state_.loads, exchange.service, ServiceLoads::Kind::InProgress);
  RunnerCall call(state_, exchange, target);
  const auto outcome = co_await call.run();
  progress.end(outcome);
  target.admission.release();
  progress_.onReleased(MemoryKind::Slot);
  state_.queue.wake();
  if (outcome.end == AttemptOutcome::End::Answered) {
    answered_ = true;
    co_return std::nullopt;
  }
  if (outcome.end == AttemptOutcome::End::ClientGone) {
    clientGone_ = true;
    co_return std::nullopt;
  }
  const auto now = base::Clock::now();
  const bool resumable = !exchange.events.lastId().empty();
  const bool retry = outcome.end == AttemptOutcome::End::Unreachable
                         ? policy.onUnreachable(outcome.error, now)
                         : policy.onFailure(outcome.error, exchange.started, resumable, now);
  std::optional<routing::Ending> ending;
  if (!retry) ending = policy.ending(now);
  prepareResume(exchange, policy, target);
  co_return ending;
}

// One response is of one snapshot: a stream that has begun goes on where it came from, or at its like. Where the
// response's version is not the listed one, the version alone says what its like is.
void RequestHandler::prepareResume(Exchange& exchange, routing::RoutingPolicy& policy,
                                   const routing::PassTo& target) const {
  auto& profile = policy.request();
  if (!exchange.events.lastId().empty()) exchange.resumeFrom = exchange.events.lastId();
  exchange.events.dropRest();
  if (!exchange.started) return;
  if (!profile.snapshot && !profile.version) {
    const auto listed = target.snapshot.version(profile.modelName);
    if (!exchange.version || (!exchange.versionChanged && listed == exchange.version))
      profile.snapshot = target.snapshot;
  }
  if (exchange.versionChanged) profile.snapshot.reset();
  profile.version = exchange.version;
}

asio::awaitable<bool> RequestHandler::finish(Exchange& exchange, const routing::Ending& ending) {
  auto& counters = state_.counters;
  if (ending.cut) {
    // Cut visibly: without the last chunk, nobody takes this for a complete response.
    ++counters.cut;
    progress_.finish(RequestOutcome::Cut, exchange.route.type);
    base::logDebug(LogEvent("stream_cut").with("id", exchange.attemptId).with("reason", ending.why));
    boost::system::error_code ignored;
    client_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    client_.close();
    co_return false;
  }
  if (exchange.failure) {
    ++counters.failed;
    progress_.finish(RequestOutcome::Failed, exchange.route.type);
    client_.expires_after(kFailureWriteTimeout);
    const auto error = co_await http::writeAnswer(client_, *exchange.failure, connection_.limits);
    co_return !error && exchange.failure->keep_alive();
  }
  ++(ending.status == 503 ? counters.rejected : counters.failed);
  progress_.finish(ending.status == 503 ? RequestOutcome::Rejected : RequestOutcome::Failed, exchange.route.type);
  base::logDebug(LogEvent("request_rejected")
                     .with("id", exchange.attemptId)
                     .with("status", ending.status)
                     .with("reason", ending.why));
  co_return co_await reply(ending.status, ending.why, ending.retryAfterS);
}

// A response of the router's own.
asio::awaitable<bool> RequestHandler::reply(int status, std::string body, double retryAfterS) {
  http::Response out(static_cast<wire::status>(status), 11);
  out.set(wire::field::content_type, "text/plain");
  if (const auto attemptId = request_[kAttemptId]; !attemptId.empty()) out.set(kAttemptId, attemptId);
  if (retryAfterS > 0) out.set(wire::field::retry_after, fmt::format("{:.2f}", retryAfterS));
  out.keep_alive(state_.keepAlive(request_));
  out.body() = std::move(body);
  out.prepare_payload();
  // A response to HEAD tells the length of a body that does not follow.
  if (request_.method() == wire::verb::head) out.body().clear();
  client_.expires_after(kReplyTimeout);
  progress_.enter(RequestState::Replying);
  auto [error, bytes] = co_await wire::async_write(client_, out, http::kTuple);
  if (error) progress_.onClientGone();
  co_return !error && out.keep_alive();
}

// One line for each request that was routed, in the form that `indigohill replay` reads.
void RequestHandler::record(const Exchange& exchange, int status, std::uint32_t attempts) const {
  if (!state_.trafficLog) return;
  const auto now = base::Clock::now();
  const auto sinceArrival = [&](base::TimePoint at) {
    return at == base::TimePoint{} ? -1 : std::chrono::duration_cast<Millis>(at - arrivedAt_).count();
  };
  const auto text = [&](const char* name) { return base::quoted(view(request_[name])); };
  state_.trafficLog->info(
      R"({{"kind":"request","atMs":{},"host":{},"path":{},"id":{},"leftMs":{},"prompt":{},"tokens":{},"status":{},"tries":{},"firstMs":{},"totalMs":{}}})",
      base::toMs(arrivedAt_), text("Host"), base::quoted(view(request_.target())), base::quoted(exchange.attemptId),
      std::chrono::duration_cast<Millis>(exchange.deadline - arrivedAt_).count(), text(kPrompt), text(kUsage), status,
      attempts, sinceArrival(exchange.firstEventAt), sinceArrival(now));
}

}  // namespace indigohill::proxy
