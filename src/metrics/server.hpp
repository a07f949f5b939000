#pragma once
#include <functional>
#include <memory>
#include <string>

#include "http/server.hpp"

namespace indigohill::metrics {

inline constexpr const char* kPath = "/metrics";

// Answers `GET /metrics` with the daemon's figures. They are put together at each call, on the executor given. A daemon
// serves without them: when the port cannot be had that is logged, and nothing is answered.
class Server {
 public:
  using Collect = std::function<std::string()>;

  // Port 0: no figures are wanted.
  Server(http::asio::any_io_executor executor, const settings::Endpoint& at, Collect collect,
         std::shared_ptr<http::MemoryBudget> memory = http::MemoryBudget::unlimited());
  // Whether the port is open.
  bool isOpen() const { return server_ != nullptr; }

 private:
  std::unique_ptr<http::Server> server_;  // null: not open
};

}  // namespace indigohill::metrics
