#pragma once
#include <cstdint>
#include <memory>

#include "http/memory_budget.hpp"

namespace indigohill::http {

// Bounds what the clients of a listener may hold of the process together: connections, memory for the bodies of their
// requests, and, shared with the other listeners of the process, memory for everything else. Where a bound is reached,
// a connection that keeps the process waiting for its client gives way (it is evicted); where none does, the newcomer
// is refused. In calm nothing is bounded here: a single request always has room. Thread-safe; a connection itself is
// used on its own strand.
class ResourceLimiter {
 public:
  struct Limits {
    std::size_t connections = 256;
    std::uint64_t bodyBytes = 16u << 20;  // of requests that are read or in progress
  };
  struct Counts {
    std::size_t connections = 0;
    std::uint64_t bodyBytes = 0;
    // Since the start: connections that gave way, connections that were refused, requests that found no memory.
    std::uint64_t evicted = 0, refusedConnections = 0, refusedBodies = 0;
  };
  using Room = http::Room;

  // `memory`: of the process; it is shared with the connections.
  explicit ResourceLimiter(Limits limits, std::shared_ptr<MemoryBudget> memory = MemoryBudget::unlimited());

  // Whether a connection that has just been accepted may be served; it is counted then, and is to become a Connection.
  // At the bound the one that has kept waiting longest is evicted for it.
  bool admit(base::TimePoint now = base::Clock::now());
  Counts counts() const;
  const MemoryBudget& memory() const;

 private:
  struct Listener;

 public:
  class Connection {
   public:
    // REQUIRES: admitted. The stream must outlive it.
    Connection(const ResourceLimiter& limiter, beast::tcp_stream& stream);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Until `endWait`, the process waits for the client: it may be evicted, which ends what is pending on the stream
    // with operation_aborted.
    void beginWait(base::TimePoint now);
    // The same for a client that is to take bytes of an answer. It is evicted only once it has stalled.
    void beginAnswerWait(base::TimePoint now);
    // `failed`: the wait has brought nothing. Whether that was by an eviction; one that came too late is called off.
    bool endWait(bool failed);
    // An answer begins to go to the client; so many bytes more of it have gone.
    void beginAnswer(base::TimePoint now);
    void onAnswerTaken(std::uint64_t bytes);
    // The body of the current request has so many bytes now.
    Room holdBody(std::uint64_t bytes, base::TimePoint now);
    // The body is not kept any more.
    void releaseBody() { release(MemoryKind::Body); }
    // So many bytes are kept for this now, instead of what was. What is not more than before always has room.
    Room hold(MemoryKind kind, std::uint64_t bytes, base::TimePoint now);
    // Nothing is kept for it, and no room is awaited any more.
    void release(MemoryKind kind);
    // Counts a request as refused for want of memory.
    void onBodyRefused();

   private:
    void wait(base::TimePoint now, bool answering);

    std::shared_ptr<Listener> listener_;
    std::shared_ptr<ConnectionUse> use_;
  };

 private:
  std::shared_ptr<Listener> listener_;
};

}  // namespace indigohill::http
