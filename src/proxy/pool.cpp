#include "proxy/pool.hpp"

#include "proxy/socket_timer.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;

namespace {
constexpr base::Millis kConnect{700};
constexpr base::Millis kSilent{2000};
constexpr std::size_t kIdleEach = 32;
constexpr base::Millis kFirstAge{50}, kCountsHalve{30000};
constexpr double kResetsToTell = 2, kResetShare = 0.1;

// Closed by the other side, or with bytes that belong to no request.
bool clean(http::tcp::socket& socket) {
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  const auto bytes = socket.receive(asio::buffer(&byte, 1), http::tcp::socket::message_peek, error);
  return bytes == 0 && error == asio::error::would_block;
}
}  // namespace

void IdleLimit::reused(base::Clock::duration idleFor, bool reset, base::TimePoint now) {
  if (now - halvedAt_ >= kCountsHalve) {
    for (auto& age : ages_) age = {age.kept / 2, age.reset / 2};
    halvedAt_ = now;
  }
  std::size_t i = 0;
  for (base::Clock::duration from = kFirstAge; idleFor >= from && i + 1 < ages_.size(); from *= 2) ++i;
  (reset ? ages_[i].reset : ages_[i].kept) += 1;
}

base::Clock::duration IdleLimit::most(bool repeatable) const {
  auto begins = base::Clock::duration::max();
  for (std::size_t i = 0; i < ages_.size(); ++i)
    if (ages_[i].reset >= kResetsToTell && ages_[i].reset > kResetShare * (ages_[i].reset + ages_[i].kept)) {
      begins = i == 0 ? base::Clock::duration::zero() : kFirstAge * (1u << (i - 1));
      break;
    }
  return repeatable ? begins : begins / 2;
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
      // What must not be repeated keeps to half of the time that the runner told, too.
      const auto told = (last.idleUntil - last.idleSince) / (repeatable ? 1 : 2);
      if (now - last.idleSince >= std::min(told, limits_[service].most(repeatable))) {
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
  }
}

void Pool::reused(const std::string& service, const Connection& connection, bool reset) {
  const std::lock_guard lock(mutex_);
  limits_[service].reused(connection.idleFor, reset, base::Clock::now());
}

asio::awaitable<base::Result<std::unique_ptr<Connection>>> Pool::take(const std::string& service,
                                                                      const std::string& instanceId,
                                                                      const settings::Endpoint& address,
                                                                      bool repeatable, base::TimePoint deadline) {
  if (auto idle = takeIdle(service, instanceId, repeatable)) co_return idle;
  auto connection = std::make_unique<Connection>(executor_);
  ++opened_;
  SocketTimer timer(co_await asio::this_coro::executor, connection->stream.socket(),
                    std::min(deadline, base::Clock::now() + kConnect));
  auto [error] = co_await connection->stream.async_connect(http::tcpEndpoint(address), http::kTuple);
  if (timer.expired()) co_return base::Error{base::Verdict::NotRun, "connecting: no answer in time"};
  if (error) co_return base::Error{base::Verdict::NotRun, "connecting: " + error.message()};
  http::tune(connection->stream.socket(), kSilent);
  co_return connection;
}

void Pool::giveBack(const std::string& instanceId, std::unique_ptr<Connection> connection, base::Millis idle) {
  if (connection->buffer.size() != 0) return;
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

}  // namespace indigohill::proxy
