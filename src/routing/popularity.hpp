#pragma once
#include <boost/unordered/unordered_flat_map.hpp>
#include <cmath>
#include <cstdint>

#include "base/time.hpp"

namespace indigohill::routing {

// How many tokens a second are requested for the same shared prompt parts at this router. Clients spread over routers
// by chance, so what comes to one is a fair sample of what comes to all.
class Popularity {
 public:
  // Tokens a second that had come for the key before these.
  double add(std::uint64_t key, double tokens, base::TimePoint now) {
    if (entries_.size() >= kMaxEntries) sweep(now);
    auto& entry = entries_[key];
    const double before = entry.tokens * left(entry, now);
    entry = {before + tokens, now};
    return before / base::seconds(kFadeTime);
  }

 private:
  struct Entry {
    double tokens = 0;
    base::TimePoint at{};
  };
  static constexpr base::Millis kFadeTime{4000};
  static constexpr std::size_t kMaxEntries = 4096;
  static double left(const Entry& entry, base::TimePoint now) {
    return std::exp(-base::seconds(now - entry.at) / base::seconds(kFadeTime));
  }
  // All that has nearly faded goes; if that is not enough, everything does.
  void sweep(base::TimePoint now) {
    erase_if(entries_, [&](const auto& item) { return left(item.second, now) < 0.1; });
    if (entries_.size() > kMaxEntries / 2) entries_.clear();
  }
  boost::unordered_flat_map<std::uint64_t, Entry> entries_;
};

}  // namespace indigohill::routing
