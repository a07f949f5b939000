#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"

// How a primary knows until when it was the only one. A lease does not tell: a backup that sees the primary removed
// from the view takes over while the lease of the primary, which may have been removed by mistake, still runs.
//
// The primary asks the voters of its record, round after round, whether they have accepted a later one. When a majority
// says no, none had been decided when the round began: the majority that decides it shares a voter with this one, and
// that voter had not accepted it yet. So nothing had been acknowledged by a later primary at that moment.
namespace indigohill::control {

class LeadershipCheck {
 public:
  explicit LeadershipCheck(base::Millis period) : period_(period) {}

  // The number of the round to ask about, if one is due. Another epoch begins anew.
  std::optional<std::uint64_t> nextRound(std::uint64_t epoch, base::TimePoint now);
  // A voter has accepted no record after `epoch`, and answered so to this round.
  void confirm(const std::string& voter, std::uint64_t round, std::uint64_t epoch,
               const std::vector<std::string>& voters);
  // This was the primary, and nobody else, at least until then.
  base::TimePoint confirmedAt() const { return confirmedAt_; }

 private:
  // Above the numbers of the rounds by which the replica confirms its answers to operators.
  static constexpr std::uint64_t kFirstRound = 1ULL << 63;
  struct Round {
    std::uint64_t number;
    base::TimePoint beganAt;
    std::set<std::string> confirmedBy;
  };

  base::Millis period_;
  std::uint64_t epoch_ = 0, lastRound_ = kFirstRound;
  std::deque<Round> rounds_;  // the newest last
  base::TimePoint confirmedAt_{};
};

}  // namespace indigohill::control
