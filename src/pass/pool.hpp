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
  base::TimePoint idleUntil{}, idleSince{};
  base::Clock::duration idleFor{};  // how long it had stood idle when it was taken again
  bool reused = false;
};

// What runners of a service have been seen to keep of idle connections. They may forget one early and without notice;
// what is then sent on it is reset, and whether it ran is not known.
class IdleLimit {
 public:
  // One that had stood for so long turned out to be closed or was reset.
  void forgotten(base::Clock::duration idleFor, base::TimePoint now);
  // How long one may have stood to carry a request. What must not be repeated gets one well below what was seen, and
  // a short-lived one while nothing was seen.
  base::Clock::duration most(bool repeatable, base::TimePoint now) const;

 private:
  base::Clock::duration shortest_ = base::Clock::duration::max();
  base::TimePoint seenAt_{};
};

class Pool {
 public:
  explicit Pool(http::asio::any_io_executor executor) : executor_(executor) {}

  // An idle connection to that very instance that is still clean and not too old for the request, else a new one.
  http::asio::awaitable<base::Result<std::unique_ptr<Connection>>> take(const std::string& service,
                                                                        const std::string& instanceId,
                                                                        const settings::Endpoint& address,
                                                                        bool repeatable, base::TimePoint deadline);
  // A reused connection was reset before a byte of an answer came.
  void forgotten(const std::string& service, const Connection& connection);
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

}  // namespace indigohill::pass
