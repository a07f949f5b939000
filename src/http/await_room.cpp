#include "http/await_room.hpp"

namespace indigohill::http {

namespace {

constexpr base::Millis kRoomPoll{10}, kMaxRoomWait{1000};

}  // namespace

asio::awaitable<bool> awaitRoom(Room first, std::function<Room()> ask) {
  auto room = first;
  if (room != Room::Later) co_return room == Room::Held;
  const auto until = base::Clock::now() + kMaxRoomWait;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (room == Room::Later && base::Clock::now() < until) {
    timer.expires_after(kRoomPoll);
    co_await timer.async_wait(kTuple);
    room = ask();
  }
  co_return room == Room::Held;
}

asio::awaitable<bool> awaitRoom(ResourceLimiter::Connection& connection, MemoryKind kind, std::uint64_t bytes) {
  const auto ask = [&connection, kind, bytes] { return connection.hold(kind, bytes, base::Clock::now()); };
  co_return co_await awaitRoom(ask(), ask);
}

}  // namespace indigohill::http
