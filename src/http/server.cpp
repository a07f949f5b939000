#include "http/server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "base/task_failure.hpp"
namespace indigohill::http {

namespace {

constexpr int kUnavailable = 503;

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
      limiter_(limits.clients),
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
    if (!limiter_.admit()) continue;  // closes it
    asio::co_spawn(executor_, session(std::move(socket)), base::LogTaskFailure("server_session"));
  }
}

asio::awaitable<void> Server::session(tcp::socket socket) {
  tune(socket, limits_.idle);
  beast::tcp_stream stream(std::move(socket));
  ResourceLimiter::Connection connection(limiter_, stream);
  boost::system::error_code ignored;
  const auto remote = stream.socket().remote_endpoint(ignored);
  if (ignored) co_return;
  const settings::Endpoint from{remote.address().to_v4().to_uint(), remote.port()};
  beast::flat_buffer buffer(kMaxBufferedBytes);
  for (;;) {
    auto request = co_await readRequest(stream, buffer, connection);
    if (!request) break;
    Caller caller{from, [&stream] { return closedByPeer(stream.socket()); }};
    auto reply = co_await handler_(*std::move(request), std::move(caller));
    connection.releaseBody();
    const bool keep = reply.keep_alive();
    stream.expires_after(limits_.idle);
    auto [failed, sent] = co_await wire::async_write(stream, reply, kTuple);
    if (failed || !keep) break;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<std::optional<Request>> Server::readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                            ResourceLimiter::Connection& connection) {
  RequestParser parser;
  parser.header_limit(limits_.headerBytes);
  parser.body_limit(limits_.bodyBytes);
  stream.expires_after(limits_.idle);
  connection.beginWait(base::Clock::now());
  auto [error, bytes] = co_await wire::async_read_header(stream, buffer, parser, kTuple);
  const bool evicted = connection.endWait(error.failed());
  if (evicted) co_return std::nullopt;
  BodyRead body{BodyEnd::Failed, error};
  if (!error) body = co_await readBody(stream, buffer, parser, connection);
  if (body.end == BodyEnd::Complete) co_return parser.release();
  if (body.end == BodyEnd::NoRoom)
    co_await reject(stream, parser.get(), kUnavailable, "too many large requests at once");
  else if (const auto status = statusOf(body.error))
    co_await reject(stream, parser.get(), *status, body.error.message());
  co_return std::nullopt;
}

asio::awaitable<void> Server::reject(beast::tcp_stream& stream, const Request& request, int status,
                                     std::string reason) {
  auto reply = answer(request, status, std::move(reason));
  reply.keep_alive(false);
  co_await wire::async_write(stream, reply, kTuple);
}

}  // namespace indigohill::http
