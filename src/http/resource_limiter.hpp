#pragma once
#include <cstdint>
#include <memory>

#include "http/types.hpp"

namespace indigohill::http {

// Bounds what the clients of a listener may hold of the process together: connections, and memory for the bodies of
// their requests. Where a bound is reached, a connection that keeps the process waiting for its client gives way (it is
// evicted); where none does, the newcomer is refused. In calm nothing is bounded here: a single body always has room.
// Thread-safe; a connection itself is used on its own strand.
class ResourceLimiter {
  struct Entry;
  struct Registry;

 public:
  struct Limits {
    std::size_t connections = 256;
    std::uint64_t bodyBytes = 16u << 20;  // of requests that are read or in progress
  };
  struct Counts {
    std::size_t connections = 0;
    std::uint64_t bodyBytes = 0;
    // Since the start: connections that gave way, connections and bodies that were refused.
    std::uint64_t evicted = 0, refusedConnections = 0, refusedBodies = 0;
  };
  enum class Room {
    Held,   // the bytes may be kept
    Later,  // bodies that have stalled are being given up for them
    None    // there is none, and nobody who stalls
  };

  explicit ResourceLimiter(Limits limits);

  // Whether a connection that has just been accepted may be served; it is counted then, and is to become a Connection.
  // At the bound the one that has kept waiting longest is evicted for it.
  bool admit();
  Counts counts() const;

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
    // `failed`: the wait has brought nothing. Whether that was by an eviction; one that came too late is called off.
    bool endWait(bool failed);
    // The body of the current request has so many bytes now.
    Room holdBody(std::uint64_t bytes, base::TimePoint now);
    // The body is not kept any more.
    void releaseBody();
    // Counts a body as refused.
    void onBodyRefused();

   private:
    std::shared_ptr<Registry> registry_;
    std::shared_ptr<Entry> entry_;
  };

 private:
  std::shared_ptr<Registry> registry_;
};

}  // namespace indigohill::http
