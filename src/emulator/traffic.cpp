#include "emulator/traffic.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "emulator/payload.hpp"
#include "emulator/sockets.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr std::uint64_t kTrafficDraws = 2;
constexpr Millis kConnectTimeout{1000}, kMaxIdle{8000}, kEarliestLeave{30}, kLatestLeave{2500};
constexpr std::size_t kMaxTries = 2;
constexpr double kKeepShare = 0.8, kNonIdempotentShare = 0.25, kStreamShare = 0.35;

http::Request requestOf(const Attempt& attempt, base::TimePoint now) {
  http::Request out{wire::verb::post, requestTarget(attempt.kind, attempt.id), 11};
  out.set(wire::field::host, kHostname);
  out.set(kAttemptIdField, attempt.id);
  out.set(kTimeRemainingField, std::to_string(std::chrono::duration_cast<Millis>(attempt.deadline - now).count()));
  if (attempt.kind == RouteKind::ResumableStream) {
    out.set("Indigohill-Model", kModel);
    out.set("Indigohill-Token-Usage", fmt::format("100,{}", eventCount(attempt.id)));
    out.set("Indigohill-Prompt-Prefix", fmt::format("{:x}:100", base::hash(attempt.id)));
  }
  out.body() = requestBody(attempt.id);
  out.prepare_payload();
  return out;
}

// A repeatable request is tried again after any failure, another after a promise that it has not run.
bool mayRetry(const Attempt& attempt) {
  if (attempt.end == Attempt::End::Left || attempt.end == Attempt::End::TimedOut || attempt.isSuccess()) return false;
  const bool promised = attempt.status == 503 || attempt.status == 429;
  return isRepeatable(attempt.kind) || promised || attempt.end == Attempt::End::Unsent;
}

}  // namespace

Traffic::Traffic(const asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
                 const DaemonFleet& fleet, Records& records, std::uint64_t seed)
    : executor_(executor),
      experiment_(experiment),
      network_(network),
      fleet_(fleet),
      records_(records),
      random_(seed, kTrafficDraws) {}

void Traffic::start() {
  asio::co_spawn(
      executor_, [self = shared_from_this()]() { return self->generate(); }, asio::detached);
}

void Traffic::leaveAtOnce(double share) {
  for (auto* moment : waiting_)
    if (random_.chance(share)) moment->cancel();
}

RouteKind Traffic::drawKind() {
  if (random_.chance(kStreamShare)) return RouteKind::ResumableStream;
  return random_.chance(kNonIdempotentShare) ? RouteKind::NonIdempotent : RouteKind::Idempotent;
}

asio::awaitable<void> Traffic::generate() {
  const auto self = shared_from_this();
  asio::steady_timer timer(executor_, base::Clock::now());
  while (!stopped_) {
    // Counted from the moment that was due, so that a late timer loses no requests.
    timer.expires_at(timer.expiry() + random_.untilNext(experiment_.requestsPerS * burst_));
    co_await timer.async_wait(http::kTuple);
    if (waiting_.size() >= experiment_.maxInProgress) continue;
    asio::co_spawn(
        executor_, [self, kind = drawKind()]() { return self->request(kind); }, asio::detached);
  }
}

Attempt& Traffic::newAttempt(RouteKind kind) {
  auto& attempt = records_.attempts.emplace_back();
  attempt.id = fmt::format("{:016x}", base::mix(records_.attempts.size()));
  attempt.kind = kind;
  attempt.router = random_.oneOf(fleet_.admittedRouters());
  attempt.sentAt = base::Clock::now();
  attempt.deadline = attempt.sentAt + random_.millis(experiment_.patienceLeast, experiment_.patienceMost);
  return attempt;
}

asio::awaitable<void> Traffic::request(RouteKind kind) {
  const auto self = shared_from_this();
  for (std::size_t tries = 0; tries < kMaxTries; ++tries) {
    auto& attempt = newAttempt(kind);
    co_await tryOnce(attempt);
    if (!mayRetry(attempt)) break;
  }
}

asio::awaitable<void> Traffic::tryOnce(Attempt& attempt) {
  using namespace asio::experimental::awaitable_operators;
  const bool leaves = random_.chance(experiment_.leaveShare);
  const auto leaveAt = attempt.sentAt + random_.millis(kEarliestLeave, kLatestLeave);
  asio::steady_timer moment(executor_, leaves ? std::min(leaveAt, attempt.deadline) : attempt.deadline);
  auto connection = takeIdle(attempt.router);
  attempt.reusedConnection = connection != nullptr;
  waiting_.insert(&moment);
  const auto first = co_await (exchange(connection, attempt) || moment.async_wait(http::kTuple));
  waiting_.erase(&moment);
  const bool left = first.index() == 1;
  if (left) connection.reset();  // closes it
  attempt.endedAt = base::Clock::now();
  if (left)
    attempt.end = attempt.endedAt < attempt.deadline ? Attempt::End::Left : Attempt::End::TimedOut;
  else
    attempt.end = std::get<0>(first);
  if (connection && random_.chance(kKeepShare)) keep(attempt.router, std::move(connection));
}

asio::awaitable<bool> Traffic::connect(ConnectionPtr& connection, const Attempt& attempt) {
  using namespace asio::experimental::awaitable_operators;
  connection = std::make_unique<Connection>(executor_);
  asio::steady_timer limit(executor_, kConnectTimeout);
  const auto to = http::tcpEndpoint(network_.frontend(attempt.router));
  const auto result = co_await (connection->socket.async_connect(to, http::kTuple) || limit.async_wait(http::kTuple));
  const bool connected = result.index() == 0 && !std::get<0>(std::get<0>(result));
  if (connected) http::tune(connection->socket, kMaxIdle);
  co_return connected;
}

asio::awaitable<Attempt::End> Traffic::exchange(ConnectionPtr& connection, Attempt& attempt) {
  const bool connected = connection != nullptr || co_await connect(connection, attempt);
  if (!connected) {
    connection.reset();
    co_return Attempt::End::Unsent;
  }
  const auto request = requestOf(attempt, base::Clock::now());
  auto [writeError, written] = co_await wire::async_write(connection->socket, request, http::kTuple);
  if (writeError) {
    connection.reset();
    co_return Attempt::End::Unsent;
  }
  wire::response_parser<wire::string_body> parser;
  parser.body_limit(boost::none);
  auto [error, read] = co_await wire::async_read(connection->socket, connection->buffer, parser, http::kTuple);
  attempt.body = std::move(parser.get().body());
  if (parser.is_header_done()) {
    attempt.status = static_cast<int>(parser.get().result_int());
    attempt.seal = std::string(parser.get()[kSealField]);
  }
  if (error || !parser.get().keep_alive()) connection.reset();
  co_return error ? Attempt::End::Cut : Attempt::End::Answered;
}

Traffic::ConnectionPtr Traffic::takeIdle(std::size_t router) {
  auto& kept = idle_[router];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    const bool usable = base::Clock::now() - connection->idleSince < kMaxIdle && connection->buffer.size() == 0;
    if (usable && !isClosedByPeer(connection->socket)) return connection;
  }
  return nullptr;
}

void Traffic::keep(std::size_t router, ConnectionPtr connection) {
  connection->idleSince = base::Clock::now();
  idle_[router].push_back(std::move(connection));
}

}  // namespace indigohill::emulator
