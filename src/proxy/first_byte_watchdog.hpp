#pragma once
#include <memory>
#include <string>
#include <utility>

#include "proxy/connection_pool.hpp"
#include "routing/table.hpp"

namespace indigohill::proxy {

// Watches over a runner that has not sent the first byte of its response. Once the latency target has passed, the other
// routers get a health report. An idempotent request is taken away from a runner once the routers together hold it to
// be unhealthy; silence by itself is no reason. Not thread-safe: created and used on one strand.
class FirstByteWatchdog {
 public:
  FirstByteWatchdog(http::asio::any_io_executor strand, routing::Table& table, std::string instanceId,
                    Connection& connection, base::Millis latencyTarget, bool mayAbort)
      : state_(std::make_shared<State>(std::move(strand), table, std::move(instanceId), connection, mayAbort)) {
    wait(state_, latencyTarget);
  }
  ~FirstByteWatchdog() { stop(); }
  FirstByteWatchdog(const FirstByteWatchdog&) = delete;
  FirstByteWatchdog& operator=(const FirstByteWatchdog&) = delete;

  // The first byte has come.
  void stop() {
    state_->connection = nullptr;
    state_->timer.cancel();
  }
  // Whether the connection was closed, as the runner is unhealthy.
  bool hasAborted() const { return state_->aborted; }
  // Whether the latency target has passed.
  bool isLate() const { return state_->late; }

 private:
  static constexpr base::Millis kHealthCheckInterval{100};
  struct State {
    State(const http::asio::any_io_executor& strand, routing::Table& itsTable, std::string id,
          Connection& itsConnection, bool abortable)
        : timer(strand), table(itsTable), instanceId(std::move(id)), connection(&itsConnection), mayAbort(abortable) {}
    http::asio::steady_timer timer;
    routing::Table& table;
    std::string instanceId;
    Connection* connection;  // null once stopped
    bool mayAbort, late = false, aborted = false;
  };
  static void wait(const std::shared_ptr<State>& state, base::Millis span) {
    state->timer.expires_after(span);
    state->timer.async_wait([state](boost::system::error_code error) {
      if (error || state->connection == nullptr) return;
      const auto now = base::Clock::now();
      if (!std::exchange(state->late, true)) state->table.recordLate(state->instanceId, now);
      if (!state->mayAbort) return;
      if (state->table.suspended(state->instanceId, now)) {
        state->aborted = true;
        boost::system::error_code ignored;
        state->connection->stream.socket().close(ignored);
      } else {
        wait(state, kHealthCheckInterval);
      }
    });
  }
  std::shared_ptr<State> state_;
};

}  // namespace indigohill::proxy
