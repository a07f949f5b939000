#include "http/request_reader.hpp"

#include <string>

namespace indigohill::http {

namespace {

constexpr base::Millis kRoomPoll{10}, kMaxRoomWait{1000};

using Room = ResourceLimiter::Room;

// Waits while stalled bodies are given up for this one.
asio::awaitable<Room> awaitRoom(ResourceLimiter::Connection& connection, std::uint64_t bytes) {
  const auto until = base::Clock::now() + kMaxRoomWait;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  auto room = Room::Later;
  while (room == Room::Later && base::Clock::now() < until) {
    timer.expires_after(kRoomPoll);
    co_await timer.async_wait(kTuple);
    room = connection.holdBody(bytes, base::Clock::now());
  }
  co_return room;
}

asio::awaitable<BodyRead> readParts(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                    ResourceLimiter::Connection& connection) {
  while (!parser.is_done()) {
    connection.beginWait(base::Clock::now());
    auto [error, bytes] = co_await wire::async_read_some(stream, buffer, parser, kTuple);
    const bool evicted = connection.endWait(error.failed());
    if (evicted) co_return BodyRead{BodyEnd::NoRoom, {}};
    if (error) co_return BodyRead{BodyEnd::Failed, error};
    const auto size = parser.get().body().size();
    auto room = connection.holdBody(size, base::Clock::now());
    if (room == Room::Later) room = co_await awaitRoom(connection, size);
    if (room != Room::Held) co_return BodyRead{BodyEnd::NoRoom, {}};
  }
  co_return BodyRead{BodyEnd::Complete, {}};
}

}  // namespace

asio::awaitable<BodyRead> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                   ResourceLimiter::Connection& connection) {
  parser.eager(true);
  const auto read = co_await readParts(stream, buffer, parser, connection);
  if (read.end == BodyEnd::Complete) co_return read;
  std::string().swap(parser.get().body());
  connection.releaseBody();
  if (read.end == BodyEnd::NoRoom) connection.onBodyRefused();
  co_return read;
}

std::optional<int> statusOf(const boost::system::error_code& error) {
  if (error == wire::error::header_limit || error == wire::error::buffer_overflow) return 431;
  if (error == wire::error::body_limit) return 413;
  if (malformed(error)) return 400;
  return std::nullopt;
}

}  // namespace indigohill::http
