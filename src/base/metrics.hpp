#pragma once
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "base/time.hpp"

// What cores and the proxy count of their own work: counters, levels and histograms of durations. They are only ever
// added to, without a lock; src/metrics reads them when the daemon's figures are asked for. Thread-safe.
namespace indigohill::base {

// Only rises.
class Counter {
 public:
  void add(std::uint64_t count = 1) { value_.fetch_add(count, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// How many there are at present of something that comes and goes.
class Level {
 public:
  void add() { value_.fetch_add(1, std::memory_order_relaxed); }
  void remove() { value_.fetch_sub(1, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// One `Item` for each value of an enum, whose last value is `kLast`.
template <class Key, Key kLast, class Item = Counter>
class PerValue {
 public:
  static constexpr std::size_t kSize = static_cast<std::size_t>(kLast) + 1;

  Item& operator[](Key key) { return items_[static_cast<std::size_t>(key)]; }
  const Item& operator[](Key key) const { return items_[static_cast<std::size_t>(key)]; }
  // Calls `visit(key, item)` for each value.
  template <class Visit>
  void forEach(Visit visit) const {
    for (std::size_t i = 0; i < kSize; ++i) visit(static_cast<Key>(i), items_[i]);
  }

 private:
  std::array<Item, kSize> items_{};
};

// How often durations were up to each of a few bounds, with their sum.
class DurationHistogram {
 public:
  // Upper bounds in seconds. Half a second is one of them, as it is the bound on what a client's close may leave
  // behind.
  static constexpr std::array<double, 11> kBoundsS{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};

  void record(Clock::duration span) {
    const double spanS = seconds(span);
    std::size_t i = 0;
    while (i < kBoundsS.size() && spanS > kBoundsS[i]) ++i;
    counts_[i].add();
    sumNs_.add(span.count() > 0 ? static_cast<std::uint64_t>(std::chrono::nanoseconds(span).count()) : 0);
  }
  // Durations in the bucket that ends at the bound of this index; the last one has no bound.
  std::uint64_t count(std::size_t bucket) const { return counts_[bucket].value(); }
  double sumS() const { return static_cast<double>(sumNs_.value()) / kNsPerS; }

 private:
  static constexpr double kNsPerS = 1e9;
  std::array<Counter, kBoundsS.size() + 1> counts_;
  Counter sumNs_;
};

}  // namespace indigohill::base
