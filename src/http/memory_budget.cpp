#include "http/memory_budget.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

namespace indigohill::http {

namespace {

// A transfer has stalled when nothing has moved for so long, or when it was slower than this since it began.
constexpr base::Millis kStalledAfter{500}, kRateAfter{1000};
constexpr std::uint64_t kLeastBytesPerMs = 64;
// A peer may take one part in so many of what is left.
constexpr std::uint64_t kPartsOfFree = 2;
constexpr std::size_t kMaxAwaitingRoom = 16;

}  // namespace

bool ConnectionUse::hasStalled(base::TimePoint now) const {
  const auto age = std::chrono::duration_cast<base::Millis>(now - transferBeganAt);
  const bool slow = age >= kRateAfter && transferred < kLeastBytesPerMs * static_cast<std::uint64_t>(age.count());
  return slow || now - waitingSince >= kStalledAfter;
}

std::uint64_t ConnectionUse::total() const {
  return std::accumulate(reserved.begin(), reserved.end(), std::uint64_t{0});
}

std::shared_ptr<MemoryBudget> MemoryBudget::unlimited() {
  return std::make_shared<MemoryBudget>(std::numeric_limits<std::uint64_t>::max() / 2);
}

std::uint64_t MemoryBudget::reserved() const {
  const auto guard = lock();
  return reserved_;
}

void MemoryBudget::remove(const std::shared_ptr<ConnectionUse>& connection) {
  for (auto kind : {MemoryKind::Buffer, MemoryKind::Head, MemoryKind::Body, MemoryKind::Answer})
    release(*connection, kind);
  callOff(*connection);
  connection->stream = nullptr;
  connections_.erase(connection);
}

Room MemoryBudget::hold(ConnectionUse& connection, MemoryKind kind, std::uint64_t bytes, base::TimePoint now) {
  const auto before = connection.of(kind), ofAll = connection.total();
  const bool isAlone = kind != MemoryKind::Answer && reserved_ == ofAll;
  if (ofAll == 0) {
    connection.transferBeganAt = now;
    connection.transferred = 0;
  }
  if (bytes > before && !isAlone) {
    const auto wanted = (bytes - before) * kPartsOfFree;
    if (reserved_ + wanted > bytes_) return evictStalled(connection, reserved_ + wanted - bytes_, now);
  }
  endAwaitingRoom(connection);
  set(connection, kind, bytes);
  return Room::Held;
}

void MemoryBudget::release(ConnectionUse& connection, MemoryKind kind) {
  endAwaitingRoom(connection);
  set(connection, kind, 0);
}

Room MemoryBudget::awaitRoom(ConnectionUse& connection) {
  if (connection.awaitsRoom) return Room::Later;
  if (awaitingRoom_ >= kMaxAwaitingRoom) return Room::None;
  connection.awaitsRoom = true;
  ++awaitingRoom_;
  return Room::Later;
}

void MemoryBudget::endAwaitingRoom(ConnectionUse& connection) {
  if (std::exchange(connection.awaitsRoom, false)) --awaitingRoom_;
}

void MemoryBudget::set(ConnectionUse& connection, MemoryKind kind, std::uint64_t bytes) {
  auto& reserved = connection.of(kind);
  reserved_ = reserved_ - reserved + bytes;
  if (kind == MemoryKind::Body) connection.listener.bodyBytes = connection.listener.bodyBytes - reserved + bytes;
  reserved = bytes;
}

void MemoryBudget::evict(const std::shared_ptr<ConnectionUse>& connection) {
  connection->evicted = true;
  ++connection->listener.evicting;
  ++connection->listener.evicted;
  asio::post(connection->stream->get_executor(),
             [self = shared_from_this(), connection] { self->cancel(*connection); });
}

void MemoryBudget::callOff(ConnectionUse& connection) {
  if (!std::exchange(connection.evicted, false)) return;
  --connection.listener.evicting;
}

// On the connection's strand.
void MemoryBudget::cancel(const ConnectionUse& connection) const {
  beast::tcp_stream* stream = nullptr;
  {
    const auto guard = lock();
    if (connection.evicted && connection.waiting) stream = connection.stream;
  }
  if (stream != nullptr) stream->cancel();
}

Room MemoryBudget::evictStalled(ConnectionUse& connection, std::uint64_t bytes, base::TimePoint now) {
  const bool comes = evictStalledBy(bytes, now, [](const ConnectionUse& other) { return other.total(); });
  if (comes) return awaitRoom(connection);
  endAwaitingRoom(connection);
  return Room::None;
}

Room MemoryBudget::evictStalledBodies(ConnectionUse& connection, std::uint64_t bytes, base::TimePoint now) {
  const bool comes = evictStalledBy(bytes, now, [&](const ConnectionUse& other) {
    return &other.listener == &connection.listener ? other.reserved[static_cast<std::size_t>(MemoryKind::Body)] : 0;
  });
  if (comes) return awaitRoom(connection);
  endAwaitingRoom(connection);
  return Room::None;
}

template <class BytesOf>
bool MemoryBudget::evictStalledBy(std::uint64_t bytes, base::TimePoint now, const BytesOf& bytesOf) {
  std::uint64_t coming = 0;
  std::vector<std::shared_ptr<ConnectionUse>> stalled;
  for (const auto& connection : connections_) {
    if (connection->evicted) coming += bytesOf(*connection);
    if (connection->mayBeEvicted() && bytesOf(*connection) > 0 && connection->hasStalled(now))
      stalled.push_back(connection);
  }
  std::sort(stalled.begin(), stalled.end(),
            [](const auto& a, const auto& b) { return a->waitingSince < b->waitingSince; });
  for (const auto& connection : stalled) {
    if (coming >= bytes) break;
    coming += bytesOf(*connection);
    evict(connection);
  }
  return coming >= bytes;
}

}  // namespace indigohill::http
