#include "http/server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "base/task_failure.hpp"
#include "http/answer_writer.hpp"
#include "http/await_room.hpp"

namespace indigohill::http {

namespace {

constexpr int kUnavailable = 503;
constexpr const char* kNoRoomRetryAfterSeconds = "0.5";
// Answers up to this size are part of what a connection costs anyway.
constexpr std::size_t kSmallAnswerBytes = 8192;

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

Server::Server(tcp::acceptor acceptor, Limits limits, Handler handler, std::shared_ptr<MemoryBudget> memory)
    : executor_(acceptor.get_executor()),
      limits_(limits),
      handler_(std::move(handler)),
      limiter_(limits.clients, std::move(memory)),
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
    auto answered = co_await handler_(*std::move(request), std::move(caller));
    releaseRequest(buffer, connection);
    const bool keep = co_await reply(stream, std::move(answered), connection);
    if (!keep) break;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> Server::reply(beast::tcp_stream& stream, Response reply,
                                    ResourceLimiter::Connection& connection) {
  const auto size = reply.body().size();
  const bool hasRoom = size <= kSmallAnswerBytes || co_await awaitRoom(connection, MemoryKind::Answer, size);
  if (!hasRoom) {
    reply.result(static_cast<wire::status>(kUnavailable));
    reply.set(wire::field::retry_after, kNoRoomRetryAfterSeconds);
    std::string().swap(reply.body());
    reply.prepare_payload();
  }
  stream.expires_after(limits_.idle);
  const auto failed = co_await writeAnswer(stream, reply, connection);
  connection.release(MemoryKind::Answer);
  co_return !failed && reply.keep_alive();
}

asio::awaitable<std::optional<Request>> Server::readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                            ResourceLimiter::Connection& connection) {
  RequestParser parser;
  parser.header_limit(limits_.headerBytes);
  parser.body_limit(limits_.bodyBytes);
  stream.expires_after(limits_.idle);
  auto read = co_await readHead(stream, buffer, parser, connection);
  if (read.end == ReadEnd::Complete) read = co_await readBody(stream, buffer, parser, connection);
  if (read.end == ReadEnd::Complete) co_return parser.release();
  if (read.end == ReadEnd::NoRoom)
    co_await reject(stream, parser.get(), kUnavailable, "too many large requests at once");
  else if (const auto status = statusOf(read.error); status && read.end == ReadEnd::Failed)
    co_await reject(stream, parser.get(), *status, read.error.message());
  co_return std::nullopt;
}

asio::awaitable<void> Server::reject(beast::tcp_stream& stream, const Request& request, int status,
                                     std::string reason) {
  auto reply = answer(request, status, std::move(reason));
  reply.keep_alive(false);
  co_await wire::async_write(stream, reply, kTuple);
}

}  // namespace indigohill::http
