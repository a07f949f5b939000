#include "http/resource_limiter.hpp"

#include <utility>

namespace indigohill::http {

namespace {

// Evicted connections that have not ended yet: so many may exist beyond the bound.
constexpr std::size_t kMaxEvicting = 16;
// Bodies up to this size may use all of the memory, larger ones three quarters.
constexpr std::uint64_t kSmallBodyBytes = 64u << 10;

}  // namespace

struct ResourceLimiter::Listener {
  Listener(Limits bounds, std::shared_ptr<MemoryBudget> ofProcess) : limits(bounds), memory(std::move(ofProcess)) {}

  const Limits limits;
  const std::shared_ptr<MemoryBudget> memory;
  // Under the lock of `memory`.
  ListenerUse use;
  std::uint64_t refusedConnections = 0, refusedBodies = 0;
};

ResourceLimiter::ResourceLimiter(Limits limits, std::shared_ptr<MemoryBudget> memory)
    : listener_(std::make_shared<Listener>(limits, std::move(memory))) {}

bool ResourceLimiter::admit(base::TimePoint now) {
  auto& use = listener_->use;
  auto& memory = *listener_->memory;
  const auto guard = memory.lock();
  if (use.connections >= listener_->limits.connections + use.evicting) {
    std::shared_ptr<ConnectionUse> longest;
    for (const auto& other : memory.connections()) {
      const bool isCandidate =
          &other->listener == &use && other->mayBeEvicted() && (!other->answering || other->hasStalled(now));
      if (isCandidate && (!longest || other->waitingSince < longest->waitingSince)) longest = other;
    }
    if (!longest || use.evicting >= kMaxEvicting) {
      ++listener_->refusedConnections;
      return false;
    }
    memory.evict(longest);
  }
  ++use.connections;
  return true;
}

ResourceLimiter::Counts ResourceLimiter::counts() const {
  const auto guard = listener_->memory->lock();
  const auto& use = listener_->use;
  return {use.connections, use.bodyBytes, use.evicted, listener_->refusedConnections, listener_->refusedBodies};
}

const MemoryBudget& ResourceLimiter::memory() const { return *listener_->memory; }

ResourceLimiter::Connection::Connection(const ResourceLimiter& limiter, beast::tcp_stream& stream)
    : listener_(limiter.listener_), use_(std::make_shared<ConnectionUse>(listener_->use)) {
  use_->stream = &stream;
  const auto guard = listener_->memory->lock();
  listener_->memory->add(use_);
}

ResourceLimiter::Connection::~Connection() {
  const auto guard = listener_->memory->lock();
  listener_->memory->remove(use_);
  --listener_->use.connections;
}

void ResourceLimiter::Connection::beginWait(base::TimePoint now) { wait(now, false); }

void ResourceLimiter::Connection::beginAnswerWait(base::TimePoint now) { wait(now, true); }

void ResourceLimiter::Connection::wait(base::TimePoint now, bool answering) {
  const auto guard = listener_->memory->lock();
  use_->waiting = true;
  use_->answering = answering;
  use_->waitingSince = now;
}

bool ResourceLimiter::Connection::endWait(bool failed) {
  const auto guard = listener_->memory->lock();
  use_->waiting = false;
  if (failed) return use_->evicted;
  MemoryBudget::callOff(*use_);
  return false;
}

void ResourceLimiter::Connection::beginAnswer(base::TimePoint now) {
  const auto guard = listener_->memory->lock();
  use_->transferBeganAt = now;
  use_->transferred = 0;
}

void ResourceLimiter::Connection::onAnswerTaken(std::uint64_t bytes) {
  const auto guard = listener_->memory->lock();
  use_->transferred += bytes;
}

ResourceLimiter::Room ResourceLimiter::Connection::holdBody(std::uint64_t bytes, base::TimePoint now) {
  auto& memory = *listener_->memory;
  const auto guard = memory.lock();
  const auto before = use_->of(MemoryKind::Body);
  const auto ofOthers = listener_->use.bodyBytes - before;
  const auto& limits = listener_->limits;
  const auto most = bytes <= kSmallBodyBytes ? limits.bodyBytes : limits.bodyBytes / 4 * 3;
  if (ofOthers > 0 && ofOthers + bytes > most) return memory.evictStalledBodies(*use_, ofOthers + bytes - most, now);
  const auto room = memory.hold(*use_, MemoryKind::Body, bytes, now);
  if (room != Room::Held) return room;
  if (before == 0) use_->transferBeganAt = now;
  use_->transferred = bytes;
  return room;
}

ResourceLimiter::Room ResourceLimiter::Connection::hold(MemoryKind kind, std::uint64_t bytes, base::TimePoint now) {
  // Changed on the connection's strand alone, so it may be read there without the lock.
  if (use_->of(kind) == bytes) return Room::Held;
  const auto guard = listener_->memory->lock();
  return listener_->memory->hold(*use_, kind, bytes, now);
}

void ResourceLimiter::Connection::release(MemoryKind kind) {
  if (use_->of(kind) == 0 && !use_->awaitsRoom) return;
  const auto guard = listener_->memory->lock();
  listener_->memory->release(*use_, kind);
}

void ResourceLimiter::Connection::onBodyRefused() {
  const auto guard = listener_->memory->lock();
  ++listener_->refusedBodies;
}

}  // namespace indigohill::http
