#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "control/calls.hpp"
#include "control/replica.hpp"
#include "http/server.hpp"

// Operators' calls at a controller: from HTTP requests to the core's orders, and from its answers to HTTP.
namespace indigohill::cli {

// Each call has a number of its own, by which its answer finds the connection that it came on, and no other.
//
// An order whose caller has closed the connection is not carried out: the operator has gone on to another daemon
// (after a second of silence, while this one was frozen), and what it ordered may have been reverted since. That
// is looked at right before the order is given to the core, and again with each tick while it waits there.
class OperatorCalls {
 public:
  struct Core {
    std::function<void(control::Order)> submit;
    std::function<void(std::uint64_t call)> cancel;  // drops an order that has not been begun, and its answer
    std::function<std::uint16_t()> controlPort;      // of the daemon that a redirection names
  };

  OperatorCalls(http::asio::any_io_executor executor, Core core)
      : executor_(std::move(executor)), core_(std::move(core)) {}

  // Answers 503 for an order that the core does not answer in time.
  http::asio::awaitable<http::Response> carryOut(control::Call call, http::Request request, http::Caller caller);
  // An answer of the core. That to a call that is no longer waited for goes to nobody.
  void answer(control::Answer answer);
  // Drops the calls whose callers have gone.
  void dropAbandoned();
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::shared_ptr<http::asio::steady_timer> timer;
    std::function<bool()> callerGone;
    std::optional<control::Answer> answer;
  };

  http::asio::awaitable<control::Answer> answerTo(control::Order order, std::function<bool()> callerGone);

  http::asio::any_io_executor executor_;
  Core core_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t calls_ = 0;
};

}  // namespace indigohill::cli
