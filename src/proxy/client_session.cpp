#include "proxy/client_session.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <gsl/util>
#include <memory>
#include <vector>

#include "proxy/headers.hpp"
#include "proxy/request_handler.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr Millis kUserTimeout{10000};   // of TCP, for a client that has vanished
constexpr Millis kRejectTimeout{2000};  // for writing an error
constexpr Millis kLingerTimeout{500};   // for reading what a client still sends
constexpr std::size_t kReadBytes = 8192;
// Room for what ClientMonitor keeps of pipelined requests, and a read more.
constexpr std::size_t kLeastBuffer = http::kMaxBufferedBytes + kReadBytes;
constexpr int kRequestTimeout = 408, kUnavailable = 503;
constexpr const char* kNoRoomRetryAfterSeconds = "0.5";
constexpr std::uint64_t kMaxHeaderBytes = 1u << 20;

// Bounds a read without closing the connection, which the stream's own time-out would: the client is still to be sent
// a 408.
class ReadTimeout {
 public:
  ReadTimeout(beast::tcp_stream& stream, Millis timeout)
      : timer_(stream.get_executor(), timeout), state_(std::make_shared<State>()) {
    stream.expires_never();
    state_->stream = &stream;
    timer_.async_wait([state = state_](boost::system::error_code error) {
      if (error || state->stream == nullptr) return;
      state->fired = true;
      state->stream->cancel();
    });
  }
  ~ReadTimeout() { state_->stream = nullptr; }
  ReadTimeout(const ReadTimeout&) = delete;
  ReadTimeout& operator=(const ReadTimeout&) = delete;
  bool hasFired() const { return state_->fired; }

 private:
  struct State {
    beast::tcp_stream* stream = nullptr;
    bool fired = false;
  };
  asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

// The parser adds the fields that follow a chunked body to those of the head, after the head was checked. Nothing that
// stands there is passed on, so it can change neither the length, the id nor the host of a request.
class TrailerFilter {
 public:
  explicit TrailerFilter(const wire::request_parser<wire::string_body>& parser) {
    if (!parser.chunked()) return;
    for (const auto& field : parser.get()) head_.push_back(&field);
  }
  void remove(wire::request_parser<wire::string_body>& parser) const {
    if (!parser.chunked()) return;
    auto& fields = parser.get();
    for (auto field = fields.begin(); field != fields.end();) {
      const bool isOfHead = std::find(head_.begin(), head_.end(), &*field) != head_.end();
      field = isOfHead ? std::next(field) : fields.erase(field);
    }
  }

 private:
  std::vector<const wire::fields::value_type*> head_;
};

// Why a head must not be passed on; null when it may. Rejected is anything that another reader of the same bytes might
// frame differently.
const char* problemOf(const wire::request_header<>& head) {
  const auto transfer = head[wire::field::transfer_encoding];
  const bool lengthUnclear =
      head.count(wire::field::transfer_encoding) > 1 || (!transfer.empty() && !beast::iequals(transfer, "chunked")) ||
      head.count(wire::field::content_length) > 1 || (!transfer.empty() && head.count(wire::field::content_length) > 0);
  if (lengthUnclear) return "the length of the body is not clear";
  if (head.count(wire::field::host) != 1 && head.version() >= 11) return "one Host is wanted";
  if (head.count(kAttemptId) > 1) return "one attempt id is wanted";
  return nullptr;
}

}  // namespace

ClientSession::ClientSession(ProxyState& state, http::tcp::socket socket)
    : state_(state), client_(std::move(socket)), connection_(state.limiter, client_), buffer_(kLeastBuffer) {
  http::tune(client_.socket(), kUserTimeout);
}

asio::awaitable<void> ClientSession::run() {
  state_.metrics->clientConnections.add();
  const auto closed = gsl::finally([metrics = state_.metrics] { metrics->clientConnections.remove(); });
  for (;;) {
    const auto snapshot = state_.table.snapshot();
    const auto limits = snapshot->configuration ? snapshot->configuration->limits : control::Limits{};
    const auto wait = co_await awaitRequest(limits.idleTimeout);
    // Closed at once: a request that crosses the close is never read, so its client may send it again.
    if (wait == Wait::Cancelled) co_return;
    if (wait == Wait::Closed) break;
    const auto released = gsl::finally([this] { http::releaseRequest(buffer_, connection_); });
    const auto request = co_await readRequest(limits);
    if (evicted_) co_return;
    if (!request) break;
    ++state_.counters.requests;
    ++state_.counters.active;
    const auto ended = gsl::finally([this] { --state_.counters.active; });
    const ClientMonitor::Scope watched(monitor_);
    RequestHandler handler(state_, {client_, connection_, monitor_}, *request, base::Clock::now());
    const bool keepAlive = co_await handler.run();
    if (!keepAlive) break;
  }
  co_await closeGracefully();
}

asio::awaitable<ClientSession::Wait> ClientSession::awaitRequest(Millis idleTimeout) {
  if (buffer_.size() > 0) co_return Wait::Ready;
  client_.expires_after(idleTimeout);
  const IdleConnections::Scope idle(state_.idleClients, client_);
  connection_.beginWait(base::Clock::now());
  auto [error, bytes] = co_await client_.async_read_some(buffer_.prepare(kReadBytes), http::kTuple);
  evicted_ = connection_.endWait(error.failed());
  if (evicted_ || (error == asio::error::operation_aborted && state_.shuttingDown)) co_return Wait::Cancelled;
  if (error) co_return Wait::Closed;
  buffer_.commit(bytes);
  co_return Wait::Ready;
}

asio::awaitable<std::optional<http::Request>> ClientSession::readRequest(const control::Limits& limits) {
  Parser parser;
  const auto headerBytes = std::min(limits.maxHeaderBytes, kMaxHeaderBytes);
  parser.header_limit(static_cast<std::uint32_t>(headerBytes));
  parser.body_limit(limits.maxBodyBytes);
  buffer_.max_size(std::max<std::size_t>(kLeastBuffer, headerBytes));
  const bool hasHead = co_await readHead(parser, limits.headerTimeout);
  if (!hasHead) co_return std::nullopt;
  if (const char* problem = problemOf(parser.get())) {
    co_await reject(400, problem);
    co_return std::nullopt;
  }
  if (beast::iequals(parser.get()[wire::field::expect], "100-continue")) {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(client_, asio::buffer(kContinue), http::kTuple);
  }
  if (!parser.is_done()) {
    const TrailerFilter trailers(parser);
    const bool hasBody = co_await readBody(parser, std::max(limits.headerTimeout, limits.idleTimeout));
    if (!hasBody) co_return std::nullopt;
    trailers.remove(parser);
  }
  co_return parser.release();
}

asio::awaitable<bool> ClientSession::readHead(Parser& parser, Millis timeout) {
  const ReadTimeout limit(client_, timeout);
  const auto read = co_await http::readHead(client_, buffer_, parser, connection_);
  evicted_ = read.end == http::ReadEnd::Evicted;
  if (evicted_) co_return false;
  if (read.end == http::ReadEnd::Complete) co_return true;
  co_await reject(read, limit.hasFired(), "the head");
  co_return false;
}

asio::awaitable<bool> ClientSession::readBody(Parser& parser, Millis timeout) {
  const ReadTimeout limit(client_, timeout);
  const auto read = co_await http::readBody(client_, buffer_, parser, connection_);
  if (read.end == http::ReadEnd::Complete) co_return true;
  co_await reject(read, limit.hasFired(), "the body");
  co_return false;
}

// Why that part of a request could not be read; nothing is said where the client's connection has ended or broken.
asio::awaitable<void> ClientSession::reject(const http::ReadResult& read, bool late, const char* part) {
  const auto status = http::statusOf(read.error);
  if (read.end == http::ReadEnd::NoRoom)
    co_await reject(kUnavailable, "too many large requests at once", kNoRoomRetryAfterSeconds);
  else if (late)
    co_await reject(kRequestTimeout, std::string(part) + " took too long");
  else if (status)
    co_await reject(*status, std::string(part) + ": " + read.error.message());
  else
    state_.metrics->clientsGone[RequestState::Reading].add();
}

asio::awaitable<void> ClientSession::reject(int status, std::string reason, const char* retryAfter) {
  http::Response out(static_cast<wire::status>(status), 11);
  out.set(wire::field::content_type, "text/plain");
  if (retryAfter != nullptr) out.set(wire::field::retry_after, retryAfter);
  out.keep_alive(false);
  out.body() = std::move(reason);
  out.prepare_payload();
  client_.expires_after(kRejectTimeout);
  co_await wire::async_write(client_, out, http::kTuple);
}

// What the client still sends is read for a moment: closing with unread bytes would reset the response away.
asio::awaitable<void> ClientSession::closeGracefully() {
  boost::system::error_code ignored;
  client_.socket().shutdown(http::tcp::socket::shutdown_send, ignored);
  client_.expires_after(kLingerTimeout);
  std::array<char, 1024> discarded;
  for (;;) {
    auto [error, bytes] = co_await client_.async_read_some(asio::buffer(discarded), http::kTuple);
    if (error) co_return;
  }
}

}  // namespace indigohill::proxy
