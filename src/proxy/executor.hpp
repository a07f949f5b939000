#pragma once
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "proxy/proxy_state.hpp"
#include "proxy/shutdown_schedule.hpp"

// The proxy: accepts clients' connections and does what the routing policy decides for each request. Its jobs lie in
// files of their own: ClientSession (a client's connection), RequestHandler (a request), RunnerCall (an attempt at a
// runner), StreamRelay (a stream). Thread-safe; each connection runs on a strand of its own.
namespace indigohill::proxy {

class Executor {
 public:
  // `limits`: what clients may hold together; `memory`: of the process, shared with its other listeners.
  Executor(http::asio::any_io_executor executor, routing::Table& table, ProxyLimits limits = {},
           std::shared_ptr<http::MemoryBudget> memory = http::MemoryBudget::unlimited())
      : executor_(executor), state_(executor, table, limits, std::move(memory)) {}

  // Serves the connections that come, until the acceptor is closed.
  http::asio::awaitable<void> accept(http::tcp::acceptor& acceptor);
  // Where a line about each request goes; nowhere at first. Not thread-safe: before the first connection.
  void setTrafficLog(std::shared_ptr<spdlog::logger> log) { state_.trafficLog = std::move(log); }
  // Who counts the requests that begin to run; nobody at first. It must outlive the sessions. Not thread-safe: before
  // the first connection.
  void setUsageCounter(usage::Counter& counter) { state_.usage = &counter; }
  // The requests of each service now, and those rejected since the last call.
  std::vector<schema::ServiceLoad> takeLoads() { return state_.loads->take(); }
  // Begins the graceful shutdown: from now on every response says that the connection closes, and a request that may
  // take longer than until requests are ended is rejected before it runs. Not thread-safe.
  void shutDown(const ShutdownSchedule& schedule);
  // Does what the schedule has for this time; nothing before `shutDown`. Not thread-safe.
  void advanceShutdown(base::TimePoint now);
  // Closes the clients' connections that wait for a next request; for when no new ones come any more.
  void closeIdleConnections() { state_.idleClients.cancelAll(); }
  // The process is about to end: what waits is answered that it has not run, what is at a runner that it may have, and
  // streams are cut visibly.
  void endRequests() {
    state_.ending = true;
    state_.calls.cancelAll();
    state_.queue.wakeAll();
  }
  // Something has changed for all queued requests: a configuration, runners.
  void wakeQueuedRequests() { state_.queue.wakeAll(); }
  // Closes connections to runners that are not known any more, or were idle for too long.
  void closeStaleRunnerConnections(const std::set<std::string>& knownInstances, base::TimePoint now) {
    state_.pool.closeStale(knownInstances, now);
  }

  http::ResourceLimiter::Counts clientCounts() const { return state_.limiter.counts(); }
  const http::MemoryBudget& memory() const { return state_.limiter.memory(); }
  const Counters& counters() const { return state_.counters; }
  const ProxyMetrics& metrics() const { return *state_.metrics; }
  std::size_t queuedRequests() const { return state_.queue.size(); }
  std::size_t idleRunnerConnections() const { return state_.pool.idle(); }
  std::uint64_t runnerConnectionsOpened() const { return state_.pool.opened(); }

 private:
  http::asio::any_io_executor executor_;
  ProxyState state_;
  std::optional<ShutdownSchedule> shutdown_;
};

}  // namespace indigohill::proxy
