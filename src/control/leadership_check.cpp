#include "control/leadership_check.hpp"

#include <algorithm>

#include "base/lists.hpp"

namespace indigohill::control {

namespace {
constexpr std::size_t kRoundsKept = 4;
}  // namespace

std::optional<std::uint64_t> LeadershipCheck::nextRound(std::uint64_t epoch, base::TimePoint now) {
  if (epoch != epoch_) rounds_.clear();
  epoch_ = epoch;
  if (!rounds_.empty() && now - rounds_.back().beganAt < period_) return std::nullopt;
  rounds_.push_back({++lastRound_, now, {}});
  if (rounds_.size() > kRoundsKept) rounds_.pop_front();
  return lastRound_;
}

void LeadershipCheck::confirm(const std::string& voter, std::uint64_t round, std::uint64_t epoch,
                              const std::vector<std::string>& voters) {
  const auto asked =
      std::find_if(rounds_.begin(), rounds_.end(), [&](const Round& sent) { return sent.number == round; });
  if (epoch != epoch_ || asked == rounds_.end() || !base::contains(voters, voter)) return;
  asked->confirmedBy.insert(voter);
  if (asked->confirmedBy.size() > voters.size() / 2) confirmedAt_ = std::max(confirmedAt_, asked->beganAt);
}

}  // namespace indigohill::control
