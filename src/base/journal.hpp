#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace indigohill::base {

// A bounded journal in memory. Events are appended; the state is folded from them, one after the other, and
// handed to readers as a whole that never changes under them. The bound is on what is kept to be looked at later:
// every event is folded before it can fall out.
template <class Event, class State>
class Journal {
 public:
  using Fold = std::function<void(State&, const Event&)>;

  explicit Journal(Fold fold, std::size_t keep = 256)
      : fold_(std::move(fold)), keep_(keep), state_(std::make_shared<const State>()) {}

  std::shared_ptr<const State> append(Event event) {
    const std::lock_guard lock(mutex_);
    auto next = std::make_shared<State>(*state_);
    fold_(*next, event);
    events_.push_back(std::move(event));
    ++appended_;
    if (events_.size() > keep_) events_.pop_front();
    state_ = std::move(next);
    return state_;
  }

  std::shared_ptr<const State> state() const {
    const std::lock_guard lock(mutex_);
    return state_;
  }
  std::uint64_t appended() const {
    const std::lock_guard lock(mutex_);
    return appended_;
  }
  std::size_t kept() const {
    const std::lock_guard lock(mutex_);
    return events_.size();
  }

 private:
  Fold fold_;
  std::size_t keep_;
  mutable std::mutex mutex_;
  std::deque<Event> events_;
  std::uint64_t appended_ = 0;
  std::shared_ptr<const State> state_;
};

}  // namespace indigohill::base
