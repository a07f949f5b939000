#include "pass/pool.hpp"

namespace indigohill::pass {

namespace asio = http::asio;

namespace {
constexpr base::Millis kConnect{700};
constexpr base::Millis kSilent{2000};
constexpr std::size_t kIdleEach = 32;

// Closed by the other side, or with bytes that belong to no request.
bool clean(http::tcp::socket& socket) {
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  const auto bytes = socket.receive(asio::buffer(&byte, 1), http::tcp::socket::message_peek, error);
  return bytes == 0 && error == asio::error::would_block;
}
}  // namespace

std::unique_ptr<Connection> Pool::takeIdle(const std::string& instanceId) {
  const auto now = base::Clock::now();
  for (;;) {
    std::unique_ptr<Connection> found;
    {
      const std::lock_guard lock(mutex_);
      const auto list = idle_.find(instanceId);
      if (list == idle_.end() || list->second.empty()) return nullptr;
      // The one used last: the others may then run out and be closed.
      found = std::move(list->second.back());
      list->second.pop_back();
    }
    if (now < found->idleUntil && clean(found->stream.socket())) {
      found->reused = true;
      return found;
    }
  }
}

asio::awaitable<base::Result<std::unique_ptr<Connection>>> Pool::take(const std::string& instanceId,
                                                                      const settings::Endpoint& address,
                                                                      base::TimePoint deadline) {
  if (auto idle = takeIdle(instanceId)) co_return idle;
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
  connection->idleUntil = base::Clock::now() + idle;
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
