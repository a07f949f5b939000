#pragma once
#include <list>
#include <map>
#include <memory>
#include <atomic>
#include <mutex>
#include <set>
#include <string>

#include "base/result.hpp"
#include "http/types.hpp"

namespace indigohill::pass {

// A connection to a runner. It goes back to the pool only when the last answer on it was whole and nothing follows.
struct Connection {
  explicit Connection(http::asio::any_io_executor executor) : stream(executor) {}
  http::beast::tcp_stream stream;
  http::beast::flat_buffer buffer;
  base::TimePoint idleUntil{};
  bool reused = false;
};

class Pool {
 public:
  explicit Pool(http::asio::any_io_executor executor) : executor_(executor) {}

  // An idle connection to that very instance that is still clean, else a new one.
  http::asio::awaitable<base::Result<std::unique_ptr<Connection>>> take(const std::string& instanceId,
                                                                        const settings::Endpoint& address,
                                                                        base::TimePoint deadline);
  void giveBack(const std::string& instanceId, std::unique_ptr<Connection> connection, base::Millis idle);
  // Forgets the connections to instances for which `keep` says no, and those idle for too long.
  void sweep(const std::set<std::string>& keep, base::TimePoint now);
  std::uint64_t opened() const { return opened_; }

 private:
  std::unique_ptr<Connection> takeIdle(const std::string& instanceId);

  http::asio::any_io_executor executor_;
  std::mutex mutex_;  // lock order: docs/design.md, "Threads and locks"
  std::map<std::string, std::list<std::unique_ptr<Connection>>> idle_;
  std::atomic<std::uint64_t> opened_ = 0;
};

}  // namespace indigohill::pass
