// The client's side of the proxy: connections are accepted, requests read and checked, answers of the router's own
// sent.
#include <algorithm>
#include <array>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <gsl/util>
#include <vector>

#include "proxy/exchange.hpp"
#include "proxy/executor.hpp"
#include "proxy/headers.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;

namespace {

// Bounds a read without closing the connection, which the stream's own time-out would: the client is still to be
// told 408.
class Bound {
 public:
  Bound(beast::tcp_stream& stream, Millis limit)
      : timer_(stream.get_executor(), limit), state_(std::make_shared<State>()) {
    stream.expires_never();
    state_->stream = &stream;
    timer_.async_wait([state = state_](boost::system::error_code error) {
      if (error || state->stream == nullptr) return;
      state->fired = true;
      state->stream->cancel();
    });
  }
  ~Bound() { state_->stream = nullptr; }
  Bound(const Bound&) = delete;
  Bound& operator=(const Bound&) = delete;
  bool fired() const { return state_->fired; }

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

}  // namespace

asio::awaitable<void> Executor::accept(http::tcp::acceptor& acceptor) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor_), http::kTuple);
    if (!acceptor.is_open()) co_return;
    if (error) {
      asio::steady_timer pause(executor_, Millis(50));
      co_await pause.async_wait(http::kTuple);
      continue;
    }
    auto strand = socket.get_executor();
    asio::co_spawn(strand, session(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Executor::session(http::tcp::socket socket) {
  http::tune(socket, Millis(10000));
  beast::tcp_stream client(std::move(socket));
  beast::flat_buffer buffer;
  const auto simple = [&](int status, std::string text) -> asio::awaitable<void> {
    http::Response out(static_cast<wire::status>(status), 11);
    out.set(wire::field::content_type, "text/plain");
    out.keep_alive(false);
    out.body() = std::move(text);
    out.prepare_payload();
    client.expires_after(Millis(2000));
    co_await wire::async_write(client, out, http::kTuple);
  };
  for (;;) {
    const auto picture = table_.snapshot();
    const auto limits = picture->configuration ? picture->configuration->limits : control::Limits{};
    if (buffer.size() == 0) {
      client.expires_after(limits.idleTimeout);
      const IdleConnections::Scope idle(idle_, client);
      auto [error, bytes] = co_await client.async_read_some(buffer.prepare(8192), http::kTuple);
      // Closed at once: a request that crosses the close is never read, so its client may send it again.
      if (error == asio::error::operation_aborted && shuttingDown_) co_return;
      if (error) break;
      buffer.commit(bytes);
    }
    wire::request_parser<wire::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(std::min<std::uint64_t>(limits.maxHeaderBytes, 1u << 20)));
    parser.body_limit(limits.maxBodyBytes);
    boost::system::error_code headError;
    bool headLate = false;
    {
      const Bound bound(client, limits.headerTimeout);
      auto [error, bytes] = co_await wire::async_read_header(client, buffer, parser, http::kTuple);
      headError = error;
      headLate = bound.fired();
    }
    if (headError) {
      if (headLate)
        co_await simple(408, "the head took too long");
      else if (headError == wire::error::header_limit || headError == wire::error::buffer_overflow)
        co_await simple(431, "the head is too large");
      else if (headError == wire::error::body_limit)
        co_await simple(413, "the body is too large");
      else if (http::malformed(headError))
        co_await simple(400, "the head is not HTTP: " + headError.message());
      break;
    }
    const auto& head = parser.get();
    // Anything that another reader of the same bytes might frame differently is turned away.
    const auto transfer = head[wire::field::transfer_encoding];
    if (head.count(wire::field::transfer_encoding) > 1 || (!transfer.empty() && !beast::iequals(transfer, "chunked")) ||
        head.count(wire::field::content_length) > 1 ||
        (!transfer.empty() && head.count(wire::field::content_length) > 0)) {
      co_await simple(400, "the length of the body is not clear");
      break;
    }
    if (head.count(wire::field::host) != 1 && head.version() >= 11) {
      co_await simple(400, "one Host is wanted");
      break;
    }
    if (head.count(kAttemptId) > 1) {
      co_await simple(400, "one attempt id is wanted");
      break;
    }
    if (beast::iequals(head[wire::field::expect], "100-continue")) {
      static constexpr std::string_view go = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(client, asio::buffer(go), http::kTuple);
    }
    if (!parser.is_done()) {
      const TrailerFilter trailers(parser);
      const Bound bound(client, std::max(limits.headerTimeout, limits.idleTimeout));
      auto [error, bytes] = co_await wire::async_read(client, buffer, parser, http::kTuple);
      if (error) {
        if (error == wire::error::body_limit)
          co_await simple(413, "the body is too large");
        else if (bound.fired())
          co_await simple(408, "the body took too long");
        else if (http::malformed(error))
          co_await simple(400, "the body is not HTTP: " + error.message());
        break;
      }
      trailers.remove(parser);
    }
    auto request = parser.release();
    ++counters_.requests;
    ++counters_.active;
    const auto served = gsl::finally([this] { --counters_.active; });
    const bool keep = co_await serve(client, request, base::Clock::now());
    if (!keep) break;
  }
  boost::system::error_code ignored;
  client.socket().shutdown(http::tcp::socket::shutdown_send, ignored);
  // What the client still sends is read for a moment: closing with unread bytes would reset the answer away.
  client.expires_after(Millis(500));
  std::array<char, 1024> rest;
  for (;;) {
    auto [error, bytes] = co_await client.async_read_some(asio::buffer(rest), http::kTuple);
    if (error) break;
  }
}

asio::awaitable<bool> Executor::reply(Exchange& exchange, int status, std::string body, double retryAfterS) {
  http::Response out(static_cast<wire::status>(status), 11);
  out.set(wire::field::content_type, "text/plain");
  if (!exchange.attemptId.empty()) out.set(kAttemptId, exchange.attemptId);
  if (retryAfterS > 0) out.set(wire::field::retry_after, fmt::format("{:.2f}", retryAfterS));
  out.keep_alive(keepAlive(exchange.request));
  out.body() = std::move(body);
  out.prepare_payload();
  // An answer to HEAD tells the length of a body that does not follow.
  if (exchange.request.method() == wire::verb::head) out.body().clear();
  exchange.client.expires_after(Millis(5000));
  auto [error, bytes] = co_await wire::async_write(exchange.client, out, http::kTuple);
  co_return !error && out.keep_alive();
}

}  // namespace indigohill::proxy
