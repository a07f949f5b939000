#pragma once
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "schema/messages.hpp"
#include "usage/window_clock.hpp"

namespace indigohill::usage {

// Counts the requests of each tenant that begin to run, by window. Thread-safe.
class Counter {
 public:
  explicit Counter(const WindowClock& clock) : clock_(clock) {}

  // A runner has begun to answer a request of the tenant.
  void onBegan(const std::string& tenant, base::TimePoint now) {
    const auto window = clock_.windowAt(now);
    const std::lock_guard lock(mutex_);
    ++counts_[{window, tenant}];
  }

  // What was counted since the last call.
  std::vector<schema::UsageEntry> takeCounts() {
    std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> counts;
    {
      const std::lock_guard lock(mutex_);
      counts.swap(counts_);
    }
    std::vector<schema::UsageEntry> out;
    out.reserve(counts.size());
    for (const auto& [key, count] : counts) out.push_back({key.first, key.second, count});
    return out;
  }

 private:
  const WindowClock& clock_;
  std::mutex mutex_;
  std::map<std::pair<std::uint64_t, std::string>, std::uint64_t> counts_;  // by window and tenant
};

}  // namespace indigohill::usage
