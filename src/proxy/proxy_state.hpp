#pragma once
#include <atomic>
#include <cstdint>
#include <memory>

#include "base/log.hpp"
#include "http/resource_limiter.hpp"
#include "http/types.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/idle_connections.hpp"
#include "proxy/proxy_metrics.hpp"
#include "proxy/request_queue.hpp"
#include "proxy/service_loads.hpp"
#include "routing/table.hpp"
#include "usage/counter.hpp"

namespace indigohill::proxy {

struct Counters {
  std::atomic<std::uint64_t> requests{0}, passed{0}, retried{0}, resumed{0}, rejected{0}, cut{0}, failed{0};
  std::atomic<std::int64_t> active{0};  // requests in progress
};

// What a router's traffic may take.
struct ProxyLimits {
  http::ResourceLimiter::Limits clients{};
  std::size_t runnerConnections = 4096;  // open at a time, idle ones among them
};

// What all client sessions of a router share. Thread-safe, but for `trafficLog` and `usage`, which are set before the
// first session.
struct ProxyState {
  static constexpr std::size_t kMaxQueuedRequests = 512;  // that wait for a free slot at a runner

  ProxyState(http::asio::any_io_executor executor, routing::Table& routingTable, const ProxyLimits& limits,
             std::shared_ptr<http::MemoryBudget> memory)
      : table(routingTable),
        limiter(limits.clients, std::move(memory)),
        pool(std::move(executor), limits.runnerConnections),
        queue(kMaxQueuedRequests) {}

  // Whether the client's connection may carry a further request.
  bool keepAlive(const http::Request& request) const { return request.keep_alive() && !shuttingDown; }
  // Whether a request with this deadline might still be in progress when requests are ended.
  bool mayBeCutOff(base::TimePoint deadline) const { return shuttingDown && deadline > requestsEndAt.load(); }

  routing::Table& table;
  http::ResourceLimiter limiter;  // of clients
  ConnectionPool pool;
  RequestQueue queue;
  IdleConnections idleClients;
  IdleConnections calls;  // connections to runners with a request in progress
  Counters counters;
  const std::shared_ptr<ProxyMetrics> metrics = std::make_shared<ProxyMetrics>();
  const std::shared_ptr<ServiceLoads> loads = std::make_shared<ServiceLoads>();
  std::shared_ptr<spdlog::logger> trafficLog;  // null: requests are not recorded
  usage::Counter* usage = nullptr;             // null: usage is not counted
  std::atomic<bool> shuttingDown{false};
  std::atomic<bool> ending{false};  // what is in progress is to be answered now, before the process ends
  std::atomic<base::TimePoint> requestsEndAt{base::TimePoint::max()};  // as in ShutdownSchedule
};

}  // namespace indigohill::proxy
