#include "proxy/connection_pool.hpp"

#include "proxy/socket_timer.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;

namespace {
constexpr base::Millis kConnectTimeout{700};
constexpr base::Millis kUserTimeout{2000};
constexpr std::size_t kMaxIdlePerInstance = 32, kMaxIdleBufferBytes = 4096;
constexpr base::Millis kFirstAgeLimit{50}, kHalvingInterval{30000};
constexpr double kMinResets = 2, kMinResetRatio = 0.1;

// Whether it is still open, with no bytes that belong to no request.
bool isClean(http::tcp::socket& socket) {
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  const auto bytes = socket.receive(asio::buffer(&byte, 1), http::tcp::socket::message_peek, error);
  return bytes == 0 && error == asio::error::would_block;
}
}  // namespace

void IdleLimit::recordReuse(base::Clock::duration idleFor, bool reset, base::TimePoint now) {
  if (now - halvedAt_ >= kHalvingInterval) {
    for (auto& age : ages_) age = {age.intact / 2, age.reset / 2};
    halvedAt_ = now;
  }
  std::size_t i = 0;
  for (base::Clock::duration from = kFirstAgeLimit; idleFor >= from && i + 1 < ages_.size(); from *= 2) ++i;
  (reset ? ages_[i].reset : ages_[i].intact) += 1;
}

base::Clock::duration IdleLimit::maxIdle(bool idempotent) const {
  auto resetsBegin = base::Clock::duration::max();
  for (std::size_t i = 0; i < ages_.size(); ++i)
    if (ages_[i].reset >= kMinResets && ages_[i].reset > kMinResetRatio * (ages_[i].reset + ages_[i].intact)) {
      resetsBegin = i == 0 ? base::Clock::duration::zero() : kFirstAgeLimit * (1u << (i - 1));
      break;
    }
  return idempotent ? resetsBegin : resetsBegin / 2;
}

std::unique_ptr<Connection> ConnectionPool::acquireIdle(const std::string& service, const std::string& instanceId,
                                                        bool idempotent) {
  const auto now = base::Clock::now();
  for (;;) {
    std::unique_ptr<Connection> found;
    {
      const std::lock_guard lock(mutex_);
      const auto list = idle_.find(instanceId);
      if (list == idle_.end() || list->second.empty()) return nullptr;
      // The one used last: the others may then run out and be closed.
      const auto& last = *list->second.back();
      // When the youngest is too old, all are. They stay for idempotent requests; others keep to half of the time that
      // the runner announced, too.
      const auto announced = (last.idleUntil - last.idleSince) / (idempotent ? 1 : 2);
      if (now - last.idleSince >= std::min(announced, limits_[service].maxIdle(idempotent))) {
        if (idempotent) list->second.clear();
        return nullptr;
      }
      found = std::move(list->second.back());
      list->second.pop_back();
    }
    if (now >= found->idleUntil) continue;
    found->idleFor = now - found->idleSince;
    if (isClean(found->stream.socket())) {
      found->reused = true;
      return found;
    }
  }
}

void ConnectionPool::recordReuse(const std::string& service, const Connection& connection, bool reset) {
  const std::lock_guard lock(mutex_);
  limits_[service].recordReuse(connection.idleFor, reset, base::Clock::now());
}

std::unique_ptr<Connection> ConnectionPool::create() {
  if (*open_ >= mostOpen_ && !closeLongestIdle()) return nullptr;
  ++opened_;
  return std::make_unique<Connection>(executor_, open_);
}

bool ConnectionPool::closeLongestIdle() {
  const std::lock_guard lock(mutex_);
  std::list<std::unique_ptr<Connection>>* longest = nullptr;
  for (auto& [id, list] : idle_)
    if (!list.empty() && (longest == nullptr || list.front()->idleSince < longest->front()->idleSince)) longest = &list;
  if (longest == nullptr) return false;
  longest->pop_front();
  return true;
}

asio::awaitable<std::optional<base::Error>> ConnectionPool::connect(Connection& connection, settings::Endpoint address,
                                                                    base::TimePoint deadline) {
  SocketTimer timer(co_await asio::this_coro::executor, connection.stream.socket(),
                    std::min(deadline, base::Clock::now() + kConnectTimeout));
  http::openOutgoing(connection.stream.socket());
  http::boundBuffers(connection.stream.socket());
  auto [error] = co_await connection.stream.async_connect(http::tcpEndpoint(address), http::kTuple);
  if (timer.expired()) co_return base::Error{base::ErrorCode::Unavailable, "connecting: no answer in time"};
  if (error) co_return base::Error{base::ErrorCode::Unavailable, "connecting: " + error.message()};
  http::tune(connection.stream.socket(), kUserTimeout);
  co_return std::nullopt;
}

void ConnectionPool::release(const std::string& instanceId, std::unique_ptr<Connection> connection,
                             base::Millis maxIdle) {
  if (connection->buffer.size() != 0) return;
  if (connection->buffer.capacity() > kMaxIdleBufferBytes) connection->buffer.shrink_to_fit();
  connection->idleSince = base::Clock::now();
  connection->idleUntil = connection->idleSince + maxIdle;
  const std::lock_guard lock(mutex_);
  auto& list = idle_[instanceId];
  list.push_back(std::move(connection));
  if (list.size() > kMaxIdlePerInstance) list.pop_front();
}

std::size_t ConnectionPool::idle() const {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto& [id, connections] : idle_) count += connections.size();
  return count;
}

void ConnectionPool::closeStale(const std::set<std::string>& knownInstances, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [&](const auto& item) { return !knownInstances.contains(item.first); });
  for (auto& [id, list] : idle_)
    std::erase_if(list, [&](const auto& connection) { return now >= connection->idleUntil; });
}

}  // namespace indigohill::proxy
