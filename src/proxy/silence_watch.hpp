#pragma once
#include <memory>
#include <string>
#include <utility>

#include "proxy/pool.hpp"
#include "routing/table.hpp"

namespace indigohill::proxy {

// Watches over a runner that is silent. When the aim has passed without a first byte, others are told. A request that
// may run again is taken away from a runner once the routers together hold it to be ill; silence by itself is no
// reason.
class SilenceWatch {
 public:
  SilenceWatch(http::asio::any_io_executor strand, routing::Table& table, std::string instanceId,
               Connection& connection, base::Millis aim, bool repeatable)
      : state_(std::make_shared<State>(std::move(strand), table, std::move(instanceId), connection, repeatable)) {
    wait(state_, aim);
  }
  ~SilenceWatch() { end(); }
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;
  void end() {
    state_->connection = nullptr;
    state_->timer.cancel();
  }
  bool tookAway() const { return state_->tookAway; }
  bool late() const { return state_->told; }

 private:
  static constexpr base::Millis kLookEvery{100};
  struct State {
    State(http::asio::any_io_executor strand, routing::Table& t, std::string id, Connection& c, bool r)
        : timer(std::move(strand)), table(t), instanceId(std::move(id)), connection(&c), repeatable(r) {}
    http::asio::steady_timer timer;
    routing::Table& table;
    std::string instanceId;
    Connection* connection;
    bool repeatable, told = false, tookAway = false;
  };
  static void wait(const std::shared_ptr<State>& state, base::Millis span) {
    state->timer.expires_after(span);
    state->timer.async_wait([state](boost::system::error_code error) {
      if (error || state->connection == nullptr) return;
      const auto now = base::Clock::now();
      if (!std::exchange(state->told, true)) state->table.recordLate(state->instanceId, now);
      if (!state->repeatable) return;
      if (state->table.suspended(state->instanceId, now)) {
        state->tookAway = true;
        boost::system::error_code ignored;
        state->connection->stream.socket().close(ignored);
      } else {
        wait(state, kLookEvery);
      }
    });
  }
  std::shared_ptr<State> state_;
};

}  // namespace indigohill::proxy
