#pragma once
#include <cstdint>
#include <set>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"

namespace indigohill::membership {

// Which members have not shown yet that they installed the view that this daemon has committed. A commit that was lost
// would be noticed by the next heartbeat; sent again at once, the view is everywhere sooner.
class CommitReminder {
 public:
  explicit CommitReminder(base::Millis interval) : interval_(interval) {}

  // The commit has just been sent to all members but `self`.
  void start(const schema::View& view, std::uint64_t self, base::TimePoint now) {
    missing_.clear();
    for (const auto& member : view.members)
      if (member.incarnation != self) missing_.insert(member.incarnation);
    reminders_ = 0;
    sentAt_ = now;
  }
  void onInstalled(std::uint64_t incarnation) { missing_.erase(incarnation); }
  void clear() { missing_.clear(); }

  // The members to be reminded now, if that is due; a few times in all.
  std::vector<std::uint64_t> takeDue(base::TimePoint now) {
    if (missing_.empty() || now - sentAt_ < interval_) return {};
    sentAt_ = now;
    std::vector<std::uint64_t> out(missing_.begin(), missing_.end());
    if (++reminders_ >= kMaxReminders) missing_.clear();
    return out;
  }

 private:
  static constexpr std::uint32_t kMaxReminders = 3;

  base::Millis interval_;
  std::set<std::uint64_t> missing_;
  std::uint32_t reminders_ = 0;
  base::TimePoint sentAt_{};
};

}  // namespace indigohill::membership
