#pragma once
#include <boost/asio/post.hpp>
#include <compare>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "http/types.hpp"
#include "proxy/fair_tags.hpp"
#include "proxy/queue_account.hpp"

namespace indigohill::proxy {

// One request's claim to a place in the queue. It keeps its turn while the request asks again.
struct QueueTicket {
  std::uint32_t priority = 0;  // 0 is the most urgent
  std::string tenant{};        // requests of one tenant share its turns

  // Set by the queue when the request first waits.
  struct Turn {
    std::uint32_t priority = 0;
    double startTag = 0;
    std::uint64_t number = 0;  // among equals the oldest is first
    auto operator<=>(const Turn&) const = default;
  };
  std::optional<Turn> turn{};
};

// Requests that wait for a free slot at a runner: the most urgent first, among equals by fair shares of the tenants
// (FairTags), among a tenant's the oldest. Bounded, so that what waits can still be served within its latency target.
// Thread-safe.
class RequestQueue {
 public:
  explicit RequestQueue(std::size_t capacity) : capacity_(capacity) {}

  // Waits until woken or until `until`; false at once when the queue is full.
  http::asio::awaitable<bool> wait(QueueTicket& ticket, base::TimePoint until) {
    auto timer = std::make_shared<http::asio::steady_timer>(co_await http::asio::this_coro::executor, until);
    {
      const std::lock_guard lock(mutex_);
      if (waiting_.size() >= capacity_) co_return false;
      if (!ticket.turn) ticket.turn = nextTurn(ticket);
      waiting_.emplace(*ticket.turn, timer);
      account_.onEntered(waiting_.size());
    }
    co_await timer->async_wait(http::kTuple);
    const std::lock_guard lock(mutex_);
    const bool timedOut = waiting_.erase(*ticket.turn) > 0;  // else woken: its place was taken from it
    account_.onLeft(!timedOut, waiting_.size());
    co_return true;
  }

  // A slot has come free: the first in the queue asks again.
  void wake() {
    std::shared_ptr<http::asio::steady_timer> first;
    {
      const std::lock_guard lock(mutex_);
      if (waiting_.empty()) return;
      const auto next = waiting_.begin();
      tags_[next->first.priority].onServed(next->first.startTag);
      first = std::move(next->second);
      waiting_.erase(next);
      account_.onWoken(waiting_.size());
    }
    // Timers belong to their strand; cancelling goes through it.
    http::asio::post(first->get_executor(), [first] { first->cancel(); });
  }

  // Wakes all that wait now.
  void wakeAll() {
    for (auto count = size(); count > 0; --count) wake();
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return waiting_.size();
  }

 private:
  QueueTicket::Turn nextTurn(const QueueTicket& ticket) {
    return {ticket.priority, tags_[ticket.priority].assign(ticket.tenant), ++turns_};
  }

  std::size_t capacity_;
  mutable std::mutex mutex_;
  std::map<QueueTicket::Turn, std::shared_ptr<http::asio::steady_timer>> waiting_;
  std::map<std::uint32_t, FairTags> tags_;  // by priority: each is fair in itself
  std::uint64_t turns_ = 0;
  QueueAccount account_;
};

}  // namespace indigohill::proxy
