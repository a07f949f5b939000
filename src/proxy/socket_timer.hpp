#pragma once
#include <memory>

#include "http/types.hpp"

namespace indigohill::proxy {

// Closes a socket when its time is over, so that whatever is pending on it, or begun later, ends with an error.
//
// The timer runs on the strand of the coroutine that uses the socket. The limits of beast::tcp_stream run on the
// stream's own executor instead: for a connection that moves between sessions this would be another thread, which could
// close the descriptor while it is in use, and its number could meanwhile belong to another connection.
class SocketTimer {
 public:
  SocketTimer(http::asio::any_io_executor strand, http::tcp::socket& socket, base::TimePoint at)
      : state_(std::make_shared<State>(std::move(strand), socket, at)) {
    state_->timer.async_wait([state = state_](boost::system::error_code error) {
      if (error || state->socket == nullptr) return;
      state->expired = true;
      boost::system::error_code ignored;
      state->socket->close(ignored);
    });
  }
  ~SocketTimer() { stop(); }
  SocketTimer(const SocketTimer&) = delete;
  SocketTimer& operator=(const SocketTimer&) = delete;

  // From here on the socket is left alone; it may go to other owners.
  void stop() {
    state_->socket = nullptr;
    state_->timer.cancel();
  }
  bool expired() const { return state_->expired; }

 private:
  struct State {
    State(const http::asio::any_io_executor& strand, http::tcp::socket& itsSocket, base::TimePoint at)
        : timer(strand, at), socket(&itsSocket) {}
    http::asio::steady_timer timer;
    http::tcp::socket* socket;
    bool expired = false;
  };
  std::shared_ptr<State> state_;
};

}  // namespace indigohill::proxy
