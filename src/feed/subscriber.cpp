#include "feed/subscriber.hpp"

#include <algorithm>

namespace indigohill::feed {

namespace {
constexpr int kPollRemembered = 2;  // retry intervals for which an answer to a poll is still of use
}  // namespace

void Subscriber::tick(base::TimePoint now, const std::vector<settings::Endpoint>& targets,
                      const schema::StateVersion& state, const schema::StateVersion& runners, net::Outbox& out) {
  if (targets.empty()) return;
  const auto timeout = everAnswered_ ? times_.retryInterval : times_.initialRetryInterval;
  if (awaitsAnswer_ && now - polledAt_ < timeout) return;
  if (awaitsAnswer_ || rotate_) ++target_;
  rotate_ = false;
  awaitsAnswer_ = true;
  polledAt_ = now;
  ++token_;
  recentPolls_.push_back({token_, now});
  out.push_back({targets[target_ % targets.size()], schema::Poll{token_, state, runners}});
}

std::optional<base::TimePoint> Subscriber::receive(const schema::Update& update, base::TimePoint now) {
  while (!recentPolls_.empty() && now - recentPolls_.front().sentAt > kPollRemembered * times_.retryInterval)
    recentPolls_.pop_front();
  const auto poll = std::find_if(recentPolls_.begin(), recentPolls_.end(),
                                 [&](const SentPoll& sent) { return sent.token == update.token; });
  // Also by an update that was not polled for: a controller is up, holds polls, and must be given the time to answer.
  everAnswered_ = true;
  if (poll == recentPolls_.end()) return std::nullopt;
  awaitsAnswer_ = false;
  const bool unconfirmed = base::Millis(update.stateAgeMs) >= times_.confirmationLife;
  if (rotateWhen_ == Rotate::WhenUnconfirmed && unconfirmed && update.token == token_) rotate_ = true;
  return std::min(now, poll->sentAt + base::Millis(update.heldMs));
}

}  // namespace indigohill::feed
