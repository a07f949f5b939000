#include "emulator/runner.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "emulator/pause.hpp"
#include "emulator/payload.hpp"
#include "emulator/sockets.hpp"
#include "http/server.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr Millis kEventGap{30}, kLeastWork{20}, kClosePoll{10};
constexpr std::size_t kWorkSpreadMs = 40;
constexpr std::size_t kPaddingPieceBytes = 64u << 10;
constexpr double kWarmingPace = 2;
constexpr Millis kNoDeadline{3'600'000};
constexpr std::size_t kDeadlineFirst = 2;  // among what a request's end is awaited from

std::string field(const http::Request& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }

std::size_t numberOf(const http::Request& request, const char* name, std::size_t fallback) {
  const auto text = field(request, name);
  std::from_chars(text.data(), text.data() + text.size(), fallback);
  return fallback;
}

// The number of the first event that is wanted.
std::size_t firstEvent(const http::Request& request) { return numberOf(request, kLastEventField, 0) + 1; }

Millis timeLeft(const http::Request& request) {
  return Millis(numberOf(request, kTimeRemainingField, static_cast<std::size_t>(kNoDeadline.count())));
}

// A comment line that brings an event to a size.
std::string padding(const std::string& event, std::size_t bytes) {
  constexpr std::size_t kCommentBytes = 2;  // ":" and the end of the line
  if (event.size() + kCommentBytes >= bytes) return {};
  return ":" + std::string(bytes - event.size() - kCommentBytes, 'p') + "\n";
}

bool isIntact(const http::Request& request, const std::string& attemptId) {
  const std::string target(request.target().data(), request.target().size());
  const auto isOf = [&](RouteKind kind) { return target == requestTarget(kind, attemptId); };
  return request.method() == wire::verb::post && request.body() == requestBody(attemptId) &&
         (isOf(RouteKind::Idempotent) || isOf(RouteKind::NonIdempotent) || isOf(RouteKind::ResumableStream));
}

}  // namespace

Runner::Runner(const asio::any_io_executor& executor, RunnerSpec spec, Records& records)
    : spec_(std::move(spec)),
      records_(records),
      acceptor_(http::listen(executor, spec_.address, "runner")),
      slots_(std::make_shared<SlotQueue>(spec_.slots, spec_.queue)) {}

Millis Runner::warmupLeft(base::TimePoint now) const {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(spec_.warmUntil - now));
}

void Runner::start() {
  asio::co_spawn(
      acceptor_.get_executor(), [self = shared_from_this()]() { return self->accept(); }, asio::detached);
}

void Runner::crash() {
  crashed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (auto* socket : connections_) reset(*socket);
}

asio::awaitable<void> Runner::accept() {
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(http::kTuple);
    if (error) continue;
    asio::co_spawn(
        acceptor_.get_executor(),
        [self, socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); }, asio::detached);
  }
}

asio::awaitable<void> Runner::serve(Socket socket) {
  const auto self = shared_from_this();
  http::tune(socket, Millis(10000));
  connections_.insert(&socket);
  http::beast::flat_buffer buffer;
  while (!crashed_) {
    http::Request request;
    auto [error, bytes] = co_await wire::async_read(socket, buffer, request, http::kTuple);
    if (error) break;
    const bool keep = co_await handle(socket, request);
    if (!keep) break;
  }
  connections_.erase(&socket);
}

Arrival& Runner::recordArrival(const http::Request& request, base::TimePoint sentAt) {
  auto& arrival = records_.arrivals.emplace_back();
  const auto now = base::Clock::now();
  arrival.attempt = field(request, kAttemptIdField);
  arrival.runner = spec_.instanceId;
  arrival.sentAt = sentAt;
  arrival.arrivedAt = now;
  arrival.warming = now < spec_.warmUntil;
  arrival.disturbed = !link_.isOpen();
  arrival.intact = isIntact(request, arrival.attempt);
  arrival.seal = fmt::format("{}.{}", spec_.instanceId, ++runs_);
  const auto pace = arrival.warming ? pace_ * kWarmingPace : pace_;
  const auto plain = kLeastWork + Millis(base::hash(arrival.attempt) % kWorkSpreadMs);
  const auto events = eventCount(arrival.attempt) + 1 - std::min(eventCount(arrival.attempt), firstEvent(request));
  const auto whole = spec_.service == kStreamService ? kEventGap * static_cast<std::int64_t>(events) : plain;
  arrival.work = std::chrono::duration_cast<Millis>(whole * pace);
  if (request.count(kWorkMsField) > 0) arrival.work = Millis(numberOf(request, kWorkMsField, 0));
  return arrival;
}

void Runner::end(Arrival& arrival, Arrival::End end) const {
  arrival.endedAt = base::Clock::now();
  arrival.end = crashed_ ? Arrival::End::Broken : end;
  arrival.disturbed = arrival.disturbed || crashed_ || !link_.isOpen();
}

asio::awaitable<bool> Runner::handle(Socket& socket, const http::Request& request) {
  using namespace asio::experimental::awaitable_operators;
  const auto sentAt = base::Clock::now();
  co_await link_.pass();
  auto& arrival = recordArrival(request, sentAt);
  const auto target = field(request, kTargetField);
  if (!target.empty() && target != spec_.instanceId)
    co_return co_await reject(socket, arrival, 421, Arrival::End::Misdirected);
  if (slots_->isFull()) co_return co_await reject(socket, arrival, 503, Arrival::End::Rejected);
  const auto first =
      co_await (work(socket, request, arrival) || awaitClose(socket, arrival) || pause(timeLeft(request)));
  if (first.index() == kDeadlineFirst) co_return co_await expire(socket, arrival);
  if (arrival.end == Arrival::End::Working) end(arrival, Arrival::End::Abandoned);
  const bool answered = arrival.end == Arrival::End::Completed;
  co_return answered&& socket.is_open();
}

// The client's time is over: a promise for what has not run, 504 for what has. A stream that has begun breaks off.
asio::awaitable<bool> Runner::expire(Socket& socket, Arrival& arrival) {
  if (!arrival.ran) co_return co_await reject(socket, arrival, 503, Arrival::End::Rejected);
  end(arrival, Arrival::End::Expired);
  if (spec_.service != kStreamService)
    co_await send(socket,
                  fmt::format("HTTP/1.1 504 Out of time\r\n{}: {}\r\nContent-Length: 0\r\n\r\n", kAttemptIdField,
                              arrival.attempt),
                  arrival);
  co_return false;
}

asio::awaitable<bool> Runner::reject(Socket& socket, Arrival& arrival, int status, Arrival::End ending) {
  end(arrival, ending);
  co_await send(socket,
                fmt::format("HTTP/1.1 {} Turned away\r\n{}: {}\r\n{}: 1\r\nContent-Length: 0\r\n\r\n", status,
                            kAttemptIdField, arrival.attempt, kNotExecutedField),
                arrival);
  co_return socket.is_open();
}

asio::awaitable<void> Runner::awaitClose(Socket& socket, Arrival& arrival) {
  while (!isClosedByPeer(socket)) {
    co_await socket.async_wait(Socket::wait_read, http::kTuple);
    // It may wake without a close: bytes of a next request hide one behind them, and those that were read already may
    // still count as an event.
    if (!isClosedByPeer(socket)) co_await pause(kClosePoll);
  }
  arrival.disturbed = arrival.disturbed || !link_.isOpen();
  co_await link_.pass();
}

asio::awaitable<void> Runner::work(Socket& socket, const http::Request& request, Arrival& arrival) {
  co_await slots_->acquire();
  const auto done = gsl::finally([slots = slots_] { slots->release(); });
  arrival.ran = true;
  arrival.startedAt = base::Clock::now();
  if (spec_.service == kStreamService)
    co_await workOnStream(socket, request, arrival);
  else
    co_await workOnAnswer(socket, request, arrival);
}

asio::awaitable<void> Runner::workOnAnswer(Socket& socket, const http::Request& request, Arrival& arrival) {
  co_await pause(arrival.work);
  end(arrival, Arrival::End::Completed);
  arrival.body = answerBody(arrival.attempt, arrival.seal);
  const auto bytes = std::max(arrival.body.size(), numberOf(request, kAnswerBytesField, 0));
  co_await send(socket,
                fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{}", kAttemptIdField,
                            arrival.attempt, kSealField, arrival.seal, bytes, arrival.body),
                arrival);
  static const std::string kPadding(kPaddingPieceBytes, 'p');
  for (auto left = bytes - arrival.body.size(); left > 0;) {
    const auto piece = std::min(left, kPadding.size());
    auto [error, sent] = co_await asio::async_write(socket, asio::buffer(kPadding, piece), http::kTuple);
    if (error) co_return;
    left -= sent;
  }
}

asio::awaitable<void> Runner::workOnStream(Socket& socket, const http::Request& request, Arrival& arrival) {
  const auto first = firstEvent(request), last = eventCount(arrival.attempt);
  const auto gap = arrival.work / static_cast<std::int64_t>(last + 1 - std::min(last, first));
  const auto eventBytes = numberOf(request, kEventBytesField, 0);
  co_await pause(gap);
  co_await send(socket,
                fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            kAttemptIdField, arrival.attempt, kSealField, arrival.seal),
                arrival);
  for (auto number = first; number <= last; ++number) {
    const auto event = eventText(arrival.attempt, number);
    co_await send(socket, chunk(padding(event, eventBytes) + event), arrival);
    if (number < last) co_await pause(gap);
  }
  end(arrival, Arrival::End::Completed);
  co_await send(socket, "0\r\n\r\n", arrival);
}

asio::awaitable<void> Runner::send(Socket& socket, std::string bytes, Arrival& arrival) {
  arrival.disturbed = arrival.disturbed || !link_.isOpen();
  co_await link_.pass();
  if (link_.losesAnswers()) {
    if (arrival.end == Arrival::End::Working) end(arrival, Arrival::End::Broken);
    reset(socket);
    co_return;
  }
  co_await asio::async_write(socket, asio::buffer(bytes), http::kTuple);
}

}  // namespace indigohill::emulator
