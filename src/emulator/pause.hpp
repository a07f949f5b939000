#pragma once
#include "http/types.hpp"

namespace indigohill::emulator {

// Lets the calling coroutine wait. When that is cancelled, so is the pause, by an exception.
inline http::asio::awaitable<void> pause(base::Millis time) {
  http::asio::steady_timer timer(co_await http::asio::this_coro::executor, time);
  co_await timer.async_wait(http::asio::use_awaitable);
}

}  // namespace indigohill::emulator
