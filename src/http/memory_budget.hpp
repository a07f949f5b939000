#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

#include "http/types.hpp"

namespace indigohill::http {

// What a connection's peer holds memory of the process for.
enum class MemoryKind { Buffer, Head, Body, Answer };
constexpr std::size_t kMemoryKinds = 4;

// Whether memory may be taken.
enum class Room {
  Held,   // the bytes may be kept
  Later,  // connections that have stalled are being given up for them
  None    // there is none, and nobody who stalls
};

// What the connections of one listener come to. Guarded by the budget's mutex.
struct ListenerUse {
  std::size_t connections = 0, evicting = 0;
  std::uint64_t bodyBytes = 0, evicted = 0;
};

// One connection, and what its peer holds. Guarded by the budget's mutex.
struct ConnectionUse {
  explicit ConnectionUse(ListenerUse& ofListener) : listener(ofListener) {}

  bool mayBeEvicted() const { return waiting && !evicted; }
  // The peer has let the process wait for too long, or lets a body or an answer pass too slowly.
  bool hasStalled(base::TimePoint now) const;
  std::uint64_t total() const;
  std::uint64_t& of(MemoryKind kind) { return reserved[static_cast<std::size_t>(kind)]; }

  ListenerUse& listener;
  beast::tcp_stream* stream = nullptr;  // null once the connection has ended
  bool waiting = false, evicted = false;
  bool awaitsRoom = false;  // others are being given up for it
  // Whether it is waited for the peer to take bytes, not to send them.
  bool answering = false;
  base::TimePoint waitingSince{}, transferBeganAt{};
  std::uint64_t transferred = 0;  // of the body that comes, or of the answer that goes
  std::array<std::uint64_t, kMemoryKinds> reserved{};
};

// The memory that the peers of all listeners of a process hold together, whatever for. Where it runs out, connections
// that have stalled give way, the longest stalled first; where none has, the newcomer finds no room. A request always
// finds room while no other peer holds any; an answer does not, as it can be passed on without being kept.
//
// Nobody is given more than half of what is left (Choudhury and Hahne, "Dynamic Queue Length Thresholds for
// Shared-Memory Packet Switches", IEEE/ACM ToN 6(2), 1998): what is small still passes where many have taken much.
//
// Thread-safe, but for what REQUIRES the lock.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  // As much memory as there is.
  static std::shared_ptr<MemoryBudget> unlimited();

  explicit MemoryBudget(std::uint64_t bytes) : bytes_(bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t reserved() const;

  std::unique_lock<std::mutex> lock() const { return std::unique_lock(mutex_); }
  // The rest REQUIRES the lock.
  void add(std::shared_ptr<ConnectionUse> connection) { connections_.insert(std::move(connection)); }
  void remove(const std::shared_ptr<ConnectionUse>& connection);
  const std::set<std::shared_ptr<ConnectionUse>>& connections() const { return connections_; }
  // The connection holds so many bytes for this now.
  Room hold(ConnectionUse& connection, MemoryKind kind, std::uint64_t bytes, base::TimePoint now);
  void release(ConnectionUse& connection, MemoryKind kind);
  // Ends what is pending on the connection's stream, later and on the stream's executor.
  void evict(const std::shared_ptr<ConnectionUse>& connection);
  static void callOff(ConnectionUse& connection);
  // Evicts stalled connections until so many bytes come free for this one.
  Room evictStalled(ConnectionUse& connection, std::uint64_t bytes, base::TimePoint now);
  // The same; bodies at its listener count alone.
  Room evictStalledBodies(ConnectionUse& connection, std::uint64_t bytes, base::TimePoint now);

 private:
  // What awaits room is in memory already and not counted yet, so few connections may do so at a time.
  Room awaitRoom(ConnectionUse& connection);
  void endAwaitingRoom(ConnectionUse& connection);
  // Whether so many bytes come free.
  template <class BytesOf>
  bool evictStalledBy(std::uint64_t bytes, base::TimePoint now, const BytesOf& bytesOf);
  void set(ConnectionUse& connection, MemoryKind kind, std::uint64_t bytes);
  void cancel(const ConnectionUse& connection) const;

  const std::uint64_t bytes_;
  mutable std::mutex mutex_;
  std::set<std::shared_ptr<ConnectionUse>> connections_;
  std::uint64_t reserved_ = 0;
  std::size_t awaitingRoom_ = 0;
};

}  // namespace indigohill::http
