#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "feed/times.hpp"
#include "net/codec.hpp"

namespace indigohill::feed {

// Polls one daemon after the other for updates.
class Subscriber {
 public:
  // When another daemon is polled: only after silence, or also after an answer that confirms no configuration.
  enum class Rotate { WhenSilent, WhenUnconfirmed };
  Subscriber(Times times, std::uint64_t seed, Rotate rotate) : times_(times), token_(seed), rotateWhen_(rotate) {}

  // Sends the next poll if it is due; `state` and `runners` are the versions held.
  void tick(base::TimePoint now, const std::vector<settings::Endpoint>& targets, const schema::StateVersion& state,
            const schema::StateVersion& runners, net::Outbox& out);
  // When the update answers one of the last polls: a moment that its ages may be counted from. That is when the poll
  // was sent and the time that it was held, not when the answer is handled: it may have lain in the socket of a process
  // that stood still. The next poll may then be sent.
  std::optional<base::TimePoint> receive(const schema::Update& update, base::TimePoint now);

 private:
  struct SentPoll {
    std::uint64_t token;
    base::TimePoint sentAt;
  };

  Times times_;
  std::uint64_t token_;  // of the newest poll
  Rotate rotateWhen_;
  std::size_t target_ = 0;
  std::deque<SentPoll> recentPolls_;
  bool awaitsAnswer_ = false, rotate_ = false;
  base::TimePoint polledAt_{};
  bool everAnswered_ = false;
};

}  // namespace indigohill::feed
