#pragma once
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "control/order.hpp"
#include "control/pending_answers.hpp"

// The operators' orders of one primary: those that wait to be processed, oldest first, and the answers that wait for
// the voters' confirmation.
namespace indigohill::control {

class OrderQueue {
 public:
  // Orders and unconfirmed answers that a primary holds at once; further orders are rejected.
  static constexpr std::size_t kCapacity = 64;

  explicit OrderQueue(std::uint64_t firstConfirmationRound) : unconfirmed_(firstConfirmationRound) {}

  bool isFull() const { return orders_.size() + unconfirmed_.size() >= kCapacity; }
  bool hasWaiting() const { return !orders_.empty(); }
  const Order& front() const { return orders_.front().order; }
  void push(Order order, base::TimePoint now) { orders_.push_back({std::move(order), now}); }
  QueuedOrder takeFront();

  // Answers that wait for confirmation.
  PendingAnswers& unconfirmed() { return unconfirmed_; }
  const PendingAnswers& unconfirmed() const { return unconfirmed_; }

  // The caller has gone: its order is dropped if it has not been begun.
  void forget(std::uint64_t call);
  // Puts the order that was being written, and those with unconfirmed answers, back in front of the queue, as they
  // arrived: they are judged again under the next record.
  void requeue(std::optional<QueuedOrder> written);
  // Takes out what arrived longer than `timeout` ago, with its answer: 503.
  std::vector<Answer> takeExpired(base::TimePoint now, base::Millis timeout);
  // Takes out all that waits to be processed, answered 503 with `reason`.
  std::vector<Answer> rejectAll(const std::string& reason);

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  std::deque<QueuedOrder> orders_;
  PendingAnswers unconfirmed_;
};

}  // namespace indigohill::control
