#pragma once
#include <atomic>
#include <functional>
#include <string>

#include "base/log.hpp"
#include "http/types.hpp"
#include "proxy/headers.hpp"
#include "proxy/idle_connections.hpp"
#include "proxy/pool.hpp"
#include "proxy/prompt.hpp"
#include "proxy/request_queue.hpp"
#include "routing/routing_policy.hpp"

namespace indigohill::proxy {

struct CallOutcome;
struct Exchange;

// Takes clients' connections and does what the routing policy decides for each request: pass it to a runner, let it
// wait, or reject it. Its jobs lie in files of their own: client_session.cpp, runner_call.cpp, stream_relay.cpp, and
// the loop over runners in executor.cpp.
class Executor {
 public:
  static constexpr std::size_t kQueueMost = 512;  // requests that wait for a place at a runner

  struct Counters {
    std::atomic<std::uint64_t> requests{0}, passed{0}, retried{0}, resumed{0}, rejected{0}, cut{0}, failed{0};
    std::atomic<std::int64_t> active{0};
  };

  Executor(http::asio::any_io_executor pool, routing::Table& table)
      : executor_(pool), table_(table), pool_(pool), queue_(kQueueMost) {}

  http::asio::awaitable<void> accept(http::tcp::acceptor& acceptor);
  // Where a line about each request goes; nowhere at first.
  void setTrafficLog(std::shared_ptr<spdlog::logger> log) { trafficLog_ = std::move(log); }
  // Begins the graceful shutdown: from now on every answer says that the connection closes, and a request that may
  // take longer than until `endsAt`, when the process ends, is rejected before it runs. Thread-safe.
  void shutDown(base::TimePoint endsAt) {
    endsAt_ = endsAt;
    shuttingDown_ = true;
  }
  // Closes the connections that wait for a next request; for when no new ones come any more. Thread-safe.
  void closeIdleConnections() { idle_.cancelAll(); }
  const Counters& counters() const { return counters_; }
  Pool& pool() { return pool_; }
  RequestQueue& queue() { return queue_; }

 private:
  http::asio::awaitable<void> session(http::tcp::socket socket);
  // Answers one request; false when the connection cannot be used further.
  http::asio::awaitable<bool> serve(http::beast::tcp_stream& client, http::Request& request, base::TimePoint arrivedAt);
  http::asio::awaitable<CallOutcome> attempt(Exchange& exchange, routing::PassTo& to);
  // Whether a stream may go from one version of the weights to another.
  bool mayChange(const Exchange& exchange, std::uint64_t from, std::uint64_t to) const;
  http::asio::awaitable<CallOutcome> answerWhole(Exchange& exchange, Connection& connection,
                                                 http::wire::response_parser<http::wire::buffer_body>& parser,
                                                 const std::string& instanceId);
  http::asio::awaitable<CallOutcome> relayEvents(Exchange& exchange, Connection& connection,
                                                 http::wire::response_parser<http::wire::buffer_body>& parser);
  http::asio::awaitable<bool> reply(Exchange& exchange, int status, std::string body, double retryAfterS = 0);
  void record(const Exchange& exchange, base::TimePoint arrivedAt, int status, std::uint32_t tries) const;
  bool keepAlive(const http::Request& request) const { return request.keep_alive() && !shuttingDown_; }
  // Whether a request with this deadline might still be under way when the process ends.
  bool mayBeCutOff(base::TimePoint deadline) const { return shuttingDown_ && deadline > endsAt_.load(); }

  http::asio::any_io_executor executor_;
  routing::Table& table_;
  Pool pool_;
  RequestQueue queue_;
  Counters counters_;
  std::shared_ptr<spdlog::logger> trafficLog_;
  IdleConnections idle_;
  std::atomic<bool> shuttingDown_{false};
  std::atomic<base::TimePoint> endsAt_{base::TimePoint::max()};
};

}  // namespace indigohill::proxy
