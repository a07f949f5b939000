#pragma once
#include "http/types.hpp"

namespace indigohill::emulator {

// The network between the routers and one runner. What comes over it is read from the socket at once and let through
// as the state says, in either direction, so a cut holds bytes, closes included, and loses none.
class Link {
 public:
  enum class State {
    Open,
    Slow,          // a delay for each message
    Cut,           // nothing passes until it is open again
    LosesAnswers,  // requests pass; the connection is reset in place of each answer
  };

  void set(State state) { state_ = state; }
  bool losesAnswers() const { return state_ == State::LosesAnswers; }
  bool isOpen() const { return state_ == State::Open; }

  // Waits until a message gets through.
  http::asio::awaitable<void> pass() {
    if (state_ == State::Open || state_ == State::LosesAnswers) co_return;
    http::asio::steady_timer timer(co_await http::asio::this_coro::executor);
    if (state_ == State::Slow) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(http::asio::use_awaitable);
    }
    while (state_ == State::Cut) {
      timer.expires_after(kPoll);
      co_await timer.async_wait(http::asio::use_awaitable);
    }
  }

 private:
  static constexpr base::Millis kDelay{150}, kPoll{5};

  State state_ = State::Open;
};

}  // namespace indigohill::emulator
