#pragma once
#include <cstdint>
#include <map>

#include "base/hash.hpp"
#include "base/time.hpp"
#include "lease/types.hpp"
#include "settings/settings.hpp"

namespace indigohill::lease {

// Over what a backup decides by: which attempts there are, and which of their leases have run out.
inline std::uint64_t digestOf(const schema::LeaseTable& table) {
  std::uint64_t out = base::mix(table.epoch);
  for (const auto& lease : table.leases)
    out = base::mix(out ^ base::hash(lease.subject, lease.attempt * 4 + lease.duty * 2 + (lease.remainingMs == 0)));
  return out;
}

// Which lease table each receiver was sent last, and whether it is due another: when something has changed that
// decides, and from time to time in case one was lost.
class TableFeed {
 public:
  explicit TableFeed(base::Millis interval) : interval_(interval) {}

  // Whether the receiver is due the table now; it counts as sent if so.
  bool take(const settings::Endpoint& to, const schema::LeaseTable& table, base::TimePoint now) {
    const auto digest = digestOf(table);
    auto& sent = sent_[to];
    if (sent.digest == digest && now - sent.at < interval_) return false;
    sent = {digest, now};
    return true;
  }
  // Forgets receivers that were sent nothing for long.
  void forgetSilent(base::TimePoint now) {
    constexpr base::Millis kSilent{60000};
    std::erase_if(sent_, [&](const auto& entry) { return now - entry.second.at > kSilent; });
  }

 private:
  struct Sent {
    std::uint64_t digest = 0;
    base::TimePoint at{};
  };
  base::Millis interval_;
  std::map<settings::Endpoint, Sent> sent_;
};

}  // namespace indigohill::lease
