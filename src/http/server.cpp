#include "http/server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "base/task_failure.hpp"
namespace indigohill::http {

namespace {

// Whether the peer has closed or reset the connection, looked at without taking any bytes from it. Bytes of a next
// request hide a close behind them.
bool closedByPeer(tcp::socket& socket) {
  char next = 0;
  const auto got = ::recv(socket.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  return got == 0;
}

}  // namespace

Response answer(const Request& request, int status, std::string body, const char* type) {
  Response out(static_cast<wire::status>(status), request.version());
  out.set(wire::field::content_type, type);
  out.keep_alive(request.keep_alive());
  out.body() = std::move(body);
  out.prepare_payload();
  return out;
}

Server::Server(tcp::acceptor acceptor, Limits limits, Handler handler)
    : executor_(acceptor.get_executor()),
      limits_(limits),
      handler_(std::move(handler)),
      acceptor_(std::move(acceptor)) {}

void Server::start() { asio::co_spawn(executor_, accept(), base::EndOnTaskFailure("accept")); }

void Server::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

asio::awaitable<void> Server::accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (!acceptor_.is_open()) co_return;
    if (error) {
      // Out of descriptors, for example: a pause instead of a spin.
      asio::steady_timer pause(executor_, base::Millis(50));
      co_await pause.async_wait(kTuple);
      continue;
    }
    asio::co_spawn(executor_, session(std::move(socket)), base::LogTaskFailure("server_session"));
  }
}

asio::awaitable<void> Server::session(tcp::socket socket) {
  tune(socket, limits_.idle);
  boost::system::error_code ignored;
  const auto remote = socket.remote_endpoint(ignored);
  if (ignored) co_return;
  const settings::Endpoint from{remote.address().to_v4().to_uint(), remote.port()};
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer(kMaxBufferedBytes);
  for (;;) {
    wire::request_parser<wire::string_body> parser;
    parser.header_limit(limits_.headerBytes);
    parser.body_limit(limits_.bodyBytes);
    stream.expires_after(limits_.idle);
    auto [error, bytes] = co_await wire::async_read(stream, buffer, parser, kTuple);
    if (error) {
      if (error == wire::error::body_limit || error == wire::error::header_limit ||
          error == wire::error::buffer_overflow) {
        auto reply = answer(parser.get(), error == wire::error::body_limit ? 413 : 431, "too large");
        reply.keep_alive(false);
        co_await wire::async_write(stream, reply, kTuple);
      } else if (malformed(error)) {
        auto reply = answer(parser.get(), 400, error.message());
        reply.keep_alive(false);
        co_await wire::async_write(stream, reply, kTuple);
      }
      break;
    }
    Caller caller{from, [&stream] { return closedByPeer(stream.socket()); }};
    auto reply = co_await handler_(parser.release(), std::move(caller));
    const bool keep = reply.keep_alive();
    stream.expires_after(limits_.idle);
    auto [failed, sent] = co_await wire::async_write(stream, reply, kTuple);
    if (failed || !keep) break;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace indigohill::http
