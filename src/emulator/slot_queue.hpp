#pragma once
#include <gsl/util>
#include <memory>

#include "http/types.hpp"

namespace indigohill::emulator {

// A runner's slots and its bounded queue of requests that wait for one. Held by shared pointers, as a request that
// holds a slot may outlive the runner. Not thread-safe: all on one event loop.
class SlotQueue {
 public:
  SlotQueue(std::size_t slots, std::size_t queueLimit) : free_(slots), queueLimit_(queueLimit) {}

  bool isFull() const { return free_ == 0 && waiting_ >= queueLimit_; }

  // Waits for a slot, which `release` gives back. Throws operation_aborted, without a slot, if it is cancelled.
  http::asio::awaitable<void> acquire() {
    ++waiting_;
    const auto served = gsl::finally([this] { --waiting_; });
    http::asio::steady_timer timer(co_await http::asio::this_coro::executor);
    while (free_ == 0) {
      timer.expires_after(kPoll);
      co_await timer.async_wait(http::asio::use_awaitable);
    }
    --free_;
  }
  void release() { ++free_; }

 private:
  static constexpr base::Millis kPoll{2};

  std::size_t free_, queueLimit_, waiting_ = 0;
};

}  // namespace indigohill::emulator
