#include "proxy/executor.hpp"

#include <boost/asio/strand.hpp>

#include "base/log.hpp"
#include "base/task_failure.hpp"
#include "proxy/client_session.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;

namespace {

constexpr base::Millis kAcceptBackoff{50};  // after an error: most often want of descriptors

asio::awaitable<void> serve(ProxyState& state, http::tcp::socket socket) {
  ClientSession session(state, std::move(socket));
  co_await session.run();
}

}  // namespace

asio::awaitable<void> Executor::accept(http::tcp::acceptor& acceptor) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor_), http::kTuple);
    if (!acceptor.is_open()) co_return;
    if (error) {
      asio::steady_timer backoff(executor_, kAcceptBackoff);
      co_await backoff.async_wait(http::kTuple);
      continue;
    }
    if (!state_.limiter.admit()) continue;  // closes it
    auto strand = socket.get_executor();
    asio::co_spawn(strand, serve(state_, std::move(socket)), base::LogTaskFailure("client_session"));
  }
}

void Executor::shutDown(const ShutdownSchedule& schedule) {
  shutdown_ = schedule;
  state_.requestsEndAt = schedule.requestsEndAt;
  state_.shuttingDown = true;
}

void Executor::advanceShutdown(base::TimePoint now) {
  if (!shutdown_) return;
  if (now > shutdown_->delistedAt) closeIdleConnections();
  if (now < shutdown_->requestsEndAt) return;
  if (!state_.ending) base::logInfo(base::LogEvent("requests_ended").with("inProgress", state_.counters.active.load()));
  endRequests();
}

}  // namespace indigohill::proxy
