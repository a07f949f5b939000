#pragma once
#include <array>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "base/result.hpp"
#include "http/types.hpp"

namespace indigohill::proxy {

// A connection to a runner. It goes back to the pool only when the last answer on it was whole and nothing follows.
struct Connection {
  explicit Connection(http::asio::any_io_executor executor) : stream(executor) {}
  http::beast::tcp_stream stream;
  http::beast::flat_buffer buffer;
  base::TimePoint idleUntil{}, idleSince{};
  base::Clock::duration idleFor{};  // how long it had stood idle when it was taken again
  bool reused = false;
};

// What runners of a service have been seen to keep of idle connections. They may forget one early and without notice;
// what is then sent on it is reset, and whether it ran is not known. Runners that crash reset connections of every age,
// so single resets say nothing: counted is how many of the reused ones were reset, by how long they had stood.
class IdleLimit {
 public:
  void reused(base::Clock::duration idleFor, bool reset, base::TimePoint now);
  // How long one may have stood to carry a request: less than where resets begin, and half of that for what must not be
  // repeated.
  base::Clock::duration most(bool repeatable) const;

 private:
  struct Age {
    double kept = 0, reset = 0;
  };
  // Ages from 0, 50, 100, 200 ms and so on, each twice the one before.
  std::array<Age, 12> ages_{};
  base::TimePoint halvedAt_{};
};

class Pool {
 public:
  explicit Pool(http::asio::any_io_executor executor) : executor_(executor) {}

  // An idle connection to that very instance that is still clean and not too old for the request, else a new one.
  http::asio::awaitable<base::Result<std::unique_ptr<Connection>>> take(const std::string& service,
                                                                        const std::string& instanceId,
                                                                        const settings::Endpoint& address,
                                                                        bool repeatable, base::TimePoint deadline);
  // How a reused connection fared: reset before a byte of an answer came, or not.
  void reused(const std::string& service, const Connection& connection, bool reset);
  void giveBack(const std::string& instanceId, std::unique_ptr<Connection> connection, base::Millis idle);
  // Forgets the connections to instances for which `keep` says no, and those idle for too long.
  void sweep(const std::set<std::string>& keep, base::TimePoint now);
  std::uint64_t opened() const { return opened_; }

 private:
  std::unique_ptr<Connection> takeIdle(const std::string& service, const std::string& instanceId, bool repeatable);

  http::asio::any_io_executor executor_;
  std::mutex mutex_;  // lock order: docs/design.md, "Threads and locks"
  std::map<std::string, std::list<std::unique_ptr<Connection>>> idle_;
  std::map<std::string, IdleLimit> limits_;  // by service
  std::atomic<std::uint64_t> opened_ = 0;
};

}  // namespace indigohill::proxy
