#include "membership/joiner_list.hpp"

#include <algorithm>

namespace indigohill::membership {

namespace {

// In intervals between two requests to join.
constexpr int kCurrentFor = 4;
constexpr int kKeptFor = 5;
// In suspicion time-outs.
constexpr int kDeniedFor = 2;
constexpr int kDenialRemembered = 4;           // after its end; a further denial until then is longer
constexpr std::uint32_t kDenialDoublings = 1;  // one that never acknowledges waits at most twice the first time

}  // namespace

const Joiner* JoinerList::find(const std::string& id) const {
  const auto found = joiners_.find(id);
  return found == joiners_.end() ? nullptr : &found->second;
}

bool JoinerList::isCurrent(const Joiner& joiner, base::TimePoint now) const {
  return now - joiner.requestedAt <= kCurrentFor * times_.joinInterval;
}

void JoinerList::install(const schema::View& view) {
  for (const auto& member : view.members)
    if (const auto* joiner = find(member.id); joiner != nullptr && joiner->member.bootId == member.bootId)
      joiners_.erase(member.id);
}

void JoinerList::deny(const std::string& id, base::TimePoint now) {
  auto& denial = denied_[id];
  denial.until = now + (kDeniedFor * times_.suspicionTimeout) * (1 << std::min(denial.count, kDenialDoublings));
  ++denial.count;
}

bool JoinerList::isDenied(const std::string& id, base::TimePoint now) const {
  const auto found = denied_.find(id);
  return found != denied_.end() && now < found->second.until;
}

void JoinerList::expire(base::TimePoint now) {
  std::erase_if(joiners_,
                [&](const auto& entry) { return now - entry.second.requestedAt > kKeptFor * times_.joinInterval; });
  std::erase_if(denied_, [&](const auto& entry) {
    return now >= entry.second.until + kDenialRemembered * times_.suspicionTimeout;
  });
}

void JoinerList::clear() {
  joiners_.clear();
  denied_.clear();
}

}  // namespace indigohill::membership
