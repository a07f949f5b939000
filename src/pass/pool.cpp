#include "pass/pool.hpp"

namespace indigohill::pass {

namespace asio = http::asio;

namespace {
constexpr base::Millis kConnect{700};
constexpr base::Millis kSilent{2000};
constexpr std::size_t kIdleEach = 32;
constexpr base::Millis kIdleUnseen{400};          // for what must not be repeated, while nothing was seen
constexpr base::Millis kIdleLeast{50};
constexpr base::Millis kLimitLife{60000};         // runners change: what was seen is forgotten after this

// Closed by the other side, or with bytes that belong to no request.
bool clean(http::tcp::socket& socket) {
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  const auto bytes = socket.receive(asio::buffer(&byte, 1), http::tcp::socket::message_peek, error);
  return bytes == 0 && error == asio::error::would_block;
}
}  // namespace

void IdleLimit::forgotten(base::Clock::duration idleFor, base::TimePoint now) {
  if (now - seenAt_ >= kLimitLife) shortest_ = base::Clock::duration::max();
  shortest_ = std::min(shortest_, idleFor);
  seenAt_ = now;
}

base::Clock::duration IdleLimit::most(bool repeatable, base::TimePoint now) const {
  const auto seen = now - seenAt_ < kLimitLife ? shortest_ : base::Clock::duration::max();
  // A try costs little and the budget bears it, but each one that is reset comes late.
  if (repeatable) return seen == base::Clock::duration::max() ? seen : seen - seen / 8;
  // Where they are forgotten almost at once, none is used for it.
  if (seen / 2 < kIdleLeast) return base::Clock::duration::zero();
  return std::min<base::Clock::duration>(kIdleUnseen, seen / 2);
}

std::unique_ptr<Connection> Pool::takeIdle(const std::string& service, const std::string& instanceId, bool repeatable) {
  const auto now = base::Clock::now();
  for (;;) {
    std::unique_ptr<Connection> found;
    {
      const std::lock_guard lock(mutex_);
      const auto list = idle_.find(instanceId);
      if (list == idle_.end() || list->second.empty()) return nullptr;
      // The one used last: the others may then run out and be closed.
      const auto& last = *list->second.back();
      // When the youngest is too old, all are. They stay for what may be repeated.
      if (now - last.idleSince >= limits_[service].most(repeatable, now)) {
        if (repeatable) list->second.clear();
        return nullptr;
      }
      found = std::move(list->second.back());
      list->second.pop_back();
    }
    if (now >= found->idleUntil) continue;
    found->idleFor = now - found->idleSince;
    if (clean(found->stream.socket())) {
      found->reused = true;
      return found;
    }
    forgotten(service, *found);
  }
}

void Pool::forgotten(const std::string& service, const Connection& connection) {
  const std::lock_guard lock(mutex_);
  limits_[service].forgotten(connection.idleFor, base::Clock::now());
}

asio::awaitable<base::Result<std::unique_ptr<Connection>>> Pool::take(const std::string& service,
                                                                      const std::string& instanceId,
                                                                      const settings::Endpoint& address,
                                                                      bool repeatable, base::TimePoint deadline) {
  if (auto idle = takeIdle(service, instanceId, repeatable)) co_return idle;
  auto connection = std::make_unique<Connection>(executor_);
  ++opened_;
  connection->stream.expires_at(std::min(deadline, base::Clock::now() + kConnect));
  auto [error] = co_await connection->stream.async_connect(http::tcpEndpoint(address), http::kTuple);
  if (error) co_return base::Fault{base::Verdict::NotRun, "connecting: " + error.message()};
  http::tune(connection->stream.socket(), kSilent);
  co_return connection;
}

void Pool::giveBack(const std::string& instanceId, std::unique_ptr<Connection> connection, base::Millis idle) {
  if (connection->buffer.size() != 0) return;
  connection->stream.expires_never();
  connection->idleSince = base::Clock::now();
  connection->idleUntil = connection->idleSince + idle;
  const std::lock_guard lock(mutex_);
  auto& list = idle_[instanceId];
  list.push_back(std::move(connection));
  if (list.size() > kIdleEach) list.pop_front();
}

void Pool::sweep(const std::set<std::string>& keep, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [&](const auto& item) { return !keep.contains(item.first); });
  for (auto& [id, list] : idle_) std::erase_if(list, [&](const auto& c) { return now >= c->idleUntil; });
}

}  // namespace indigohill::pass
