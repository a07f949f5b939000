#include "http/resource_limiter.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace indigohill::http {

namespace {

// Evicted connections that have not ended yet: so many may exist beyond the bound.
constexpr std::size_t kMaxEvicting = 16;
// Bodies up to this size may use all of the memory, larger ones three quarters.
constexpr std::uint64_t kSmallBodyBytes = 64u << 10;
// A body has stalled when nothing has come for so long, or when it came slower than this since it began.
constexpr base::Millis kStalledAfter{500}, kRateAfter{1000};
constexpr std::uint64_t kLeastBytesPerMs = 64;

}  // namespace

struct ResourceLimiter::Entry {
  beast::tcp_stream* stream = nullptr;  // null once the connection has ended
  bool waiting = false, evicted = false;
  base::TimePoint waitingSince{}, bodyBeganAt{};
  std::uint64_t bodyBytes = 0;

  bool mayBeEvicted() const { return waiting && !evicted; }
  bool hasStalled(base::TimePoint now) const {
    const auto age = std::chrono::duration_cast<base::Millis>(now - bodyBeganAt);
    const bool slow = age >= kRateAfter && bodyBytes < kLeastBytesPerMs * static_cast<std::uint64_t>(age.count());
    return slow || now - waitingSince >= kStalledAfter;
  }
};

struct ResourceLimiter::Registry : std::enable_shared_from_this<Registry> {
  explicit Registry(Limits bounds) : limits(bounds) {}

  // The rest: under `mutex`.
  void evict(const std::shared_ptr<Entry>& entry) {
    entry->evicted = true;
    ++evicting;
    ++counts.evicted;
    asio::post(entry->stream->get_executor(), [self = shared_from_this(), entry] { self->cancel(*entry); });
  }
  void callOff(Entry& entry) {
    if (!std::exchange(entry.evicted, false)) return;
    --evicting;
  }
  // Evicts stalled bodies, the longest stalled first, until so many bytes come free. Whether that is so.
  bool evictBodies(std::uint64_t bytes, base::TimePoint now) {
    std::uint64_t coming = 0;
    std::vector<std::shared_ptr<Entry>> stalled;
    for (const auto& entry : entries) {
      if (entry->evicted) coming += entry->bodyBytes;
      if (entry->mayBeEvicted() && entry->bodyBytes > 0 && entry->hasStalled(now)) stalled.push_back(entry);
    }
    std::sort(stalled.begin(), stalled.end(),
              [](const auto& a, const auto& b) { return a->waitingSince < b->waitingSince; });
    for (const auto& entry : stalled) {
      if (coming >= bytes) break;
      coming += entry->bodyBytes;
      evict(entry);
    }
    return coming >= bytes;
  }
  // On the connection's strand.
  void cancel(Entry& entry) {
    beast::tcp_stream* stream = nullptr;
    {
      const std::lock_guard lock(mutex);
      if (entry.evicted && entry.waiting) stream = entry.stream;
    }
    if (stream != nullptr) stream->cancel();
  }

  const Limits limits;
  mutable std::mutex mutex;
  std::set<std::shared_ptr<Entry>> entries;
  std::size_t evicting = 0;
  Counts counts;
};

ResourceLimiter::ResourceLimiter(Limits limits) : registry_(std::make_shared<Registry>(limits)) {}

bool ResourceLimiter::admit() {
  auto& registry = *registry_;
  const std::lock_guard lock(registry.mutex);
  if (registry.counts.connections >= registry.limits.connections + registry.evicting) {
    std::shared_ptr<Entry> longest;
    for (const auto& entry : registry.entries)
      if (entry->mayBeEvicted() && (!longest || entry->waitingSince < longest->waitingSince)) longest = entry;
    if (!longest || registry.evicting >= kMaxEvicting) {
      ++registry.counts.refusedConnections;
      return false;
    }
    registry.evict(longest);
  }
  ++registry.counts.connections;
  return true;
}

ResourceLimiter::Counts ResourceLimiter::counts() const {
  const std::lock_guard lock(registry_->mutex);
  return registry_->counts;
}

ResourceLimiter::Connection::Connection(const ResourceLimiter& limiter, beast::tcp_stream& stream)
    : registry_(limiter.registry_), entry_(std::make_shared<Entry>()) {
  entry_->stream = &stream;
  const std::lock_guard lock(registry_->mutex);
  registry_->entries.insert(entry_);
}

ResourceLimiter::Connection::~Connection() {
  releaseBody();
  const std::lock_guard lock(registry_->mutex);
  registry_->callOff(*entry_);
  entry_->stream = nullptr;
  registry_->entries.erase(entry_);
  --registry_->counts.connections;
}

void ResourceLimiter::Connection::beginWait(base::TimePoint now) {
  const std::lock_guard lock(registry_->mutex);
  entry_->waiting = true;
  entry_->waitingSince = now;
}

bool ResourceLimiter::Connection::endWait(bool failed) {
  const std::lock_guard lock(registry_->mutex);
  entry_->waiting = false;
  if (failed) return entry_->evicted;
  registry_->callOff(*entry_);
  return false;
}

ResourceLimiter::Room ResourceLimiter::Connection::holdBody(std::uint64_t bytes, base::TimePoint now) {
  auto& registry = *registry_;
  const std::lock_guard lock(registry.mutex);
  const auto ofOthers = registry.counts.bodyBytes - entry_->bodyBytes;
  const auto most = bytes <= kSmallBodyBytes ? registry.limits.bodyBytes : registry.limits.bodyBytes / 4 * 3;
  if (ofOthers > 0 && ofOthers + bytes > most)
    return registry.evictBodies(ofOthers + bytes - most, now) ? Room::Later : Room::None;
  if (entry_->bodyBytes == 0) entry_->bodyBeganAt = now;
  registry.counts.bodyBytes = ofOthers + bytes;
  entry_->bodyBytes = bytes;
  return Room::Held;
}

void ResourceLimiter::Connection::releaseBody() {
  const std::lock_guard lock(registry_->mutex);
  registry_->counts.bodyBytes -= entry_->bodyBytes;
  entry_->bodyBytes = 0;
}

void ResourceLimiter::Connection::onBodyRefused() {
  const std::lock_guard lock(registry_->mutex);
  ++registry_->counts.refusedBodies;
}

}  // namespace indigohill::http
