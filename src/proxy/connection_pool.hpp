#pragma once
#include <array>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/result.hpp"
#include "http/types.hpp"

namespace indigohill::proxy {

// A connection to a runner. It goes back to the pool only when the last response on it was complete and nothing
// follows.
struct Connection {
  using OpenCount = std::shared_ptr<std::atomic<std::size_t>>;

  Connection(http::asio::any_io_executor executor, OpenCount open) : stream(executor), openCount(std::move(open)) {
    ++*openCount;
  }
  ~Connection() { --*openCount; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static constexpr std::size_t kBufferBytes = 16u << 10;  // twice the bound on a response's head

  http::beast::tcp_stream stream;
  http::beast::flat_buffer buffer{kBufferBytes};
  const OpenCount openCount;
  base::TimePoint idleUntil{}, idleSince{};
  base::Clock::duration idleFor{};  // how long it had been idle when it was acquired again
  bool reused = false;
};

// How long the runners of a service keep idle connections, as observed. They may drop one early and without notice;
// what is then sent on it is reset, and whether it ran is not known. Runners that crash reset connections of every age,
// so single resets say nothing: counted is how many of the reused ones were reset, by how long they had been idle.
class IdleLimit {
 public:
  void recordReuse(base::Clock::duration idleFor, bool reset, base::TimePoint now);
  // How long a connection may have been idle to carry a request: less than where resets begin, and half of that for a
  // request that is not idempotent.
  base::Clock::duration maxIdle(bool idempotent) const;

 private:
  struct Age {
    double intact = 0, reset = 0;
  };
  // Ages from 0, 50, 100, 200 ms and so on, each twice the one before.
  std::array<Age, 12> ages_{};
  base::TimePoint halvedAt_{};
};

// The idle connections to runners, shared by the worker threads.
class ConnectionPool {
 public:
  // `mostOpen`: connections at a time. For one more, the one that has been idle longest is closed.
  explicit ConnectionPool(http::asio::any_io_executor executor, std::size_t mostOpen = kDefaultMostOpen)
      : executor_(std::move(executor)), mostOpen_(mostOpen) {}

  // An idle connection to that very instance that is still clean and not too old for the request; null if there is
  // none.
  std::unique_ptr<Connection> acquireIdle(const std::string& service, const std::string& instanceId, bool idempotent);
  // A new one, not connected yet; null where all that may be open are in use.
  std::unique_ptr<Connection> create();
  // Connects it. It must not be used when that has failed.
  http::asio::awaitable<std::optional<base::Error>> connect(Connection& connection, settings::Endpoint address,
                                                            base::TimePoint deadline);
  // Whether a reused connection was reset before a byte of a response came.
  void recordReuse(const std::string& service, const Connection& connection, bool reset);
  // `maxIdle`: how long the runner keeps it.
  void release(const std::string& instanceId, std::unique_ptr<Connection> connection, base::Millis maxIdle);
  // Closes the connections to instances that are not known, and those idle for too long.
  void closeStale(const std::set<std::string>& knownInstances, base::TimePoint now);
  std::uint64_t opened() const { return opened_; }
  // Connections that wait for a request.
  std::size_t idle() const;

 private:
  static constexpr std::size_t kDefaultMostOpen = 4096;

  // Whether there was one to close.
  bool closeLongestIdle();

  http::asio::any_io_executor executor_;
  const std::size_t mostOpen_;
  const Connection::OpenCount open_ = std::make_shared<std::atomic<std::size_t>>(0);
  mutable std::mutex mutex_;  // lock order: docs/design.md, "Threads and locks"
  std::map<std::string, std::list<std::unique_ptr<Connection>>> idle_;
  std::map<std::string, IdleLimit> limits_;  // by service
  std::atomic<std::uint64_t> opened_ = 0;
};

}  // namespace indigohill::proxy
