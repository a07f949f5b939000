#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "schema/messages.hpp"

// The memory of orders that were taken, by which one that is sent again is recognised. Orders are numbered (a
// configuration by the version it builds on, a rollout by its own number), numbers rise, and each number has at most
// one order that was taken.
namespace indigohill::rollout {

enum class Recall {
  Taken,      // this very order was taken
  NotTaken,   // it was not, and never will be: its number has been passed
  Forgotten,  // too old to tell
};

// `kept` holds the last `limit` orders taken, oldest first. Only for numbers that a new order can no longer use.
inline Recall recall(const std::vector<schema::TakenOrder>& kept, std::size_t limit, std::uint64_t number,
                     std::uint64_t digest) {
  const auto found =
      std::lower_bound(kept.begin(), kept.end(), number,
                       [](const schema::TakenOrder& taken, std::uint64_t n) { return taken.number < n; });
  if (found != kept.end() && found->number == number) return found->digest == digest ? Recall::Taken : Recall::NotTaken;
  // With room left, none has been dropped yet.
  return found == kept.begin() && kept.size() >= limit ? Recall::Forgotten : Recall::NotTaken;
}

// Adds an order with a number above all that are kept.
inline void remember(std::vector<schema::TakenOrder>& kept, std::size_t limit, std::uint64_t number,
                     std::uint64_t digest) {
  if (kept.size() >= limit) kept.erase(kept.begin());
  kept.push_back({number, digest});
}

}  // namespace indigohill::rollout
