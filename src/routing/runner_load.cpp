#include "routing/runner_load.hpp"

#include <algorithm>

#include "base/invariant.hpp"

namespace indigohill::routing {

namespace {
// The notice that a prompt has been read may be lost: after this time it is taken to have been.
constexpr base::Millis kAnnouncedLife{3000};
constexpr std::size_t kAnnouncedMost = 256;

base::Invariant admissionReleasedOnce("admission_released_once",
                                      "A slot at a runner is given back once: never more of them than were taken.");
}  // namespace

void RunnerLoad::admit(std::uint32_t promptTokens) {
  ++ownRequests_;
  ownUnreadTokens_ += promptTokens;
}

void RunnerLoad::promptRead(std::uint32_t promptTokens) {
  ownUnreadTokens_ -= std::min<std::uint64_t>(ownUnreadTokens_, promptTokens);
}

void RunnerLoad::requestEnded() {
  const bool admitted = admissionReleasedOnce.check(ownRequests_ > 0, [](base::LogEvent event) { return event; });
  if (admitted) --ownRequests_;
}

void RunnerLoad::report(std::uint32_t running, std::uint32_t waiting, base::TimePoint now) {
  const double others = static_cast<double>(running) + waiting - ownRequests_;
  reported_ = std::max(0.0, others);
  reportedAt_ = now;
}

void RunnerLoad::announce(std::uint64_t id, std::uint32_t promptTokens, base::TimePoint now) {
  if (promptTokens == 0)
    announced_.erase(id);
  else if (announced_.size() < kAnnouncedMost)
    announced_[id] = {promptTokens, now + kAnnouncedLife};
}

double RunnerLoad::unreadTokens(base::TimePoint now) {
  std::erase_if(announced_, [&](const auto& item) { return item.second.until <= now; });
  auto sum = static_cast<double>(ownUnreadTokens_);
  for (const auto& [id, prompt] : announced_) sum += prompt.tokens;
  return sum;
}

}  // namespace indigohill::routing
