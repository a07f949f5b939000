#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace indigohill::model {

// The states that a search has seen, by fingerprint: an open-addressing table of 16 bytes a state. Two states with one
// fingerprint count as one; for ten million states the chance of a single such pair is about 3e-6.
class Visited {
 public:
  struct Remaining {
    std::uint16_t depth = 0, deviations = 0;
  };

  // Notes a visit with so much of the bounds left. False if the state was visited before with at least as much.
  bool visit(std::uint64_t fingerprint, Remaining remaining) {
    if (10 * (size_ + 1) > 7 * entries_.size()) grow();
    auto& entry = find(entries_, fingerprint);
    if (entry.used) {
      if (remaining.depth <= entry.remaining.depth && remaining.deviations <= entry.remaining.deviations) return false;
      // Only one pair is kept: the later one, which has more of something.
      entry.remaining = remaining;
      return true;
    }
    entry = {fingerprint, remaining, true};
    ++size_;
    return true;
  }
  std::size_t size() const { return size_; }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    Remaining remaining;
    bool used = false;
  };

  static Entry& find(std::vector<Entry>& entries, std::uint64_t fingerprint) {
    auto at = fingerprint & (entries.size() - 1);
    while (entries[at].used && entries[at].fingerprint != fingerprint) at = (at + 1) & (entries.size() - 1);
    return entries[at];
  }
  void grow() {
    std::vector<Entry> larger(entries_.size() * 2);
    for (const auto& entry : entries_)
      if (entry.used) find(larger, entry.fingerprint) = entry;
    entries_ = std::move(larger);
  }

  std::vector<Entry> entries_ = std::vector<Entry>(1024);
  std::size_t size_ = 0;
};

}  // namespace indigohill::model
