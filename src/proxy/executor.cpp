#include "proxy/executor.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "base/log.hpp"
#include "proxy/exchange.hpp"
#include "proxy/headers.hpp"
#include "rollout/versions.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr Millis kFirstNews{600};  // how long a request waits for the first configuration and runners of a process
// Another router serves what this one has no time for, so the client may come back at once.
constexpr double kShutdownRetryAfterS = 0.05;

}  // namespace

asio::awaitable<bool> Executor::serve(beast::tcp_stream& client, http::Request& request, base::TimePoint arrivedAt) {
  auto picture = table_.snapshot();
  const Millis told(
      std::clamp<std::int64_t>(number<std::int64_t>(view(request[kTimeRemaining]), 86'400'000), 0, 86'400'000));
  // Just started: a configuration and runners come within moments, and a request that waits for them is served sooner
  // than one that is sent away. Bounded, so that a client sent away has most of its time left.
  const auto patience = arrivedAt + std::min(kFirstNews, told / 4);
  while ((!picture->configuration || !picture->hasRunners) && base::Clock::now() < patience) {
    if (!co_await queue_.wait(0, std::min(patience, base::Clock::now() + Millis(50)))) break;
    picture = table_.snapshot();
  }
  const auto* route = picture->route(view(request[wire::field::host]), view(request.target()));
  static const control::Route kNoRoute;
  Exchange exchange{client,
                    request,
                    route != nullptr ? *route : kNoRoute,
                    std::string(request[kAttemptId]),
                    {},
                    {},
                    false,
                    false,
                    true,
                    {},
                    {},
                    {},
                    {},
                    nullptr,
                    {},
                    {},
                    {}};
  if (!picture->configuration) co_return co_await reply(exchange, 503, "no configuration yet", 0.5);
  if (route == nullptr) co_return co_await reply(exchange, 404, "no route");

  // The client's time, capped by what the operator wants a request held.
  exchange.deadline = arrivedAt + std::min(route->timeout, told);
  if (mayBeCutOff(exchange.deadline)) {
    ++counters_.rejected;
    co_return co_await reply(exchange, 503, "shutting down", kShutdownRetryAfterS);
  }
  exchange.stream =
      route->type == control::RouteType::Streaming && request.version() >= 11 && request.method() != wire::verb::head;
  exchange.resumeFrom = std::string(request[kLastEventId]);

  routing::RoutingPolicy policy(table_, *route, exchange.attemptId, arrivedAt, exchange.deadline);
  policy.asked().prompt = parsePrompt(view(request[kPrompt]));
  policy.asked().model = base::hash(view(request[kModel]));
  const auto usage = view(request[kUsage]);
  policy.asked().promptTokens = number<std::uint32_t>(usage.substr(0, usage.find(',')), 0);
  policy.asked().modelName = std::string(request[kModel]);
  exchange.service = policy.asked().service;
  policy.arrived(arrivedAt);

  std::optional<routing::Ending> ending;
  while (!ending) {
    const auto now = base::Clock::now();
    auto next = policy.next(now);
    if (auto* end = std::get_if<routing::Ending>(&next)) {
      ending = std::move(*end);
      break;
    }
    if (const auto* wait = std::get_if<routing::Wait>(&next)) {
      // Woken when a place comes free; looked at again anyway, since a cold runner's rate fills with time alone.
      if (!co_await queue_.wait(route->priority, std::min(wait->until, now + Millis(25)))) ending = policy.ending(now);
      continue;
    }
    auto& to = std::get<routing::PassTo>(next);
    if (policy.asked().tries > 1) ++(exchange.started ? counters_.resumed : counters_.retried);
    exchange.admission = &to.admission;
    exchange.sentAt = now;
    // A client that names a version is taken at its word.
    const auto wanted = view(request[kExpectedVersion]);
    exchange.expected = wanted.empty() ? to.expectedVersion : rollout::parseVersions(wanted).version;
    const auto outcome = co_await attempt(exchange, to);
    to.admission.release();
    queue_.wake();
    if (outcome.end == CallOutcome::End::Answered) {
      ++counters_.passed;
      record(exchange, arrivedAt, 200, policy.asked().tries);
      co_return exchange.keep;
    }
    if (outcome.end == CallOutcome::End::ClientGone) co_return false;
    const auto after = base::Clock::now();
    const bool more =
        outcome.end == CallOutcome::End::Unreached
            ? policy.unreached({outcome.verdict, outcome.what}, after)
            : policy.again({outcome.verdict, outcome.what}, exchange.started, !exchange.events.lastId().empty(), after);
    if (!more) ending = policy.ending(after);
    if (!exchange.events.lastId().empty()) exchange.resumeFrom = exchange.events.lastId();
    exchange.events.drop();
    // One answer is of one snapshot: a stream that has begun goes on where it came from, or at its like. Where the
    // answer's version is not the listed one, the version alone says what its like is.
    if (exchange.started && !policy.asked().snapshot && !policy.asked().version) {
      const auto listed = to.snapshot.version(policy.asked().modelName);
      if (!exchange.version || (!exchange.versionChanged && listed == exchange.version))
        policy.asked().snapshot = to.snapshot;
    }
    if (exchange.started) {
      if (exchange.versionChanged) policy.asked().snapshot.reset();
      policy.asked().version = exchange.version;
    }
  }

  record(exchange, arrivedAt, ending->status, policy.asked().tries);
  if (ending->cut) {
    // Cut visibly: without the last chunk, nobody takes this for a whole answer.
    ++counters_.cut;
    base::logDebug(base::LogEvent("stream_cut").with("id", exchange.attemptId).with("reason", ending->why));
    boost::system::error_code ignored;
    client.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    client.close();
    co_return false;
  }
  if (exchange.failure) {
    ++counters_.failed;
    exchange.client.expires_after(Millis(10000));
    auto [error, bytes] = co_await wire::async_write(client, *exchange.failure, http::kTuple);
    co_return !error && exchange.failure->keep_alive();
  }
  ++(ending->status == 503 ? counters_.rejected : counters_.failed);
  base::logDebug(base::LogEvent("request_rejected")
                     .with("id", exchange.attemptId)
                     .with("status", ending->status)
                     .with("reason", ending->why));
  co_return co_await reply(exchange, ending->status, ending->why, ending->retryAfterS);
}

// One line for each request that was routed, in the form that `indigohill replay` reads.
void Executor::record(const Exchange& exchange, base::TimePoint arrivedAt, int status, std::uint32_t tries) const {
  if (!trafficLog_) return;
  const auto now = base::Clock::now();
  const auto since = [&](base::TimePoint at) {
    return at == base::TimePoint{} ? -1 : std::chrono::duration_cast<Millis>(at - arrivedAt).count();
  };
  const auto text = [&](const char* name) { return base::quoted(view(exchange.request[name])); };
  trafficLog_->info(
      R"({{"kind":"request","atMs":{},"host":{},"path":{},"id":{},"leftMs":{},"prompt":{},"tokens":{},"status":{},"tries":{},"firstMs":{},"totalMs":{}}})",
      base::toMs(arrivedAt), text("Host"), base::quoted(view(exchange.request.target())),
      base::quoted(exchange.attemptId), std::chrono::duration_cast<Millis>(exchange.deadline - arrivedAt).count(),
      text(kPrompt), text(kUsage), status, tries, since(exchange.firstAt), since(now));
}

}  // namespace indigohill::proxy
