#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.hpp"
#include "net/codec.hpp"

// How news reaches the daemons that carry traffic: each asks with the versions it holds and is answered when there is
// something newer, or after a while with how old the list of runners is by now. One that has asked lately is told of
// what is newer whether or not it asks just then, and told again until it shows by its next ask that it has it: a lost
// message costs one repeat.
// Of the list of runners the changes since the asker's version are sent, with a digest of the whole.
namespace indigohill::feed {

struct Times {
  base::Millis hold{700};       // an ask without news is answered after this
  base::Millis again{1000};     // an ask without an answer is sent again after this, to another daemon
  base::Millis first{150};      // the same as long as nothing has ever been answered: the other side may just start too
  base::Millis repeat{150};     // news that nobody shows to have is told again after this, twice this, and so on
  base::Millis relayHold{350};  // a controller that follows the primary's state is answered at this pace
  // A configuration confirmed longer ago than this counts as unconfirmed; its holder is asked no further.
  base::Millis confirmedFor{1400};
  // A machine in touch applies a configuration within this (bounds.configApplyMs).
  base::Millis applyWithin{2000};

  // The same proportions for another bound on applying a configuration.
  static constexpr Times within(base::Millis configApply);
  // The longest time after an acknowledgement at which a machine in touch still has the version before it, if the
  // controller that it asks has just lost the primary: that controller's confirmation runs out, its next tick tells
  // the machine, and the next controller is asked, both exchanges lost once.
  constexpr base::Millis appliedAfter(base::Millis controllerTick) const {
    return confirmedFor + controllerTick + 2 * repeat;
  }
};

constexpr Times Times::within(base::Millis configApply) {
  Times times;
  const auto usual = times.applyWithin;
  if (configApply >= usual) return times;
  for (auto* span : {&times.hold, &times.again, &times.first, &times.repeat, &times.relayHold, &times.confirmedFor,
                     &times.applyWithin})
    *span = *span * configApply.count() / usual.count();
  return times;
}

// The age of what was never confirmed, or never read.
constexpr std::uint32_t kUnknownAgeMs = 1'000'000;
// The version with which nothing of a kind is asked for.
constexpr schema::StateVersion kNothingWanted{~0ULL, ~0ULL};

// Holds the newest of everything and the asks that wait for newer.
class Publisher {
 public:
  explicit Publisher(Times times) : times_(times) {}

  // Versions only rise within one life: what is older than what is held is not taken.
  bool setState(const schema::ControlState& state);
  // Looks whether what is held under a version is what the answering daemon holds under it. What is digestMismatch is
  // given up before long and so fetched whole again; until then, and until it has come, the daemon is not ready.
  void compare(const schema::Update& news);
  // What is held here was the newest acknowledged configuration at this moment. The primary says so while it holds its
  // lease; everybody else concludes it from an answer, by the time of the poll. Nothing is said about later: each
  // answer carries the age, so that a process that stood still cannot confirm what it knew before.
  void confirmAt(base::TimePoint at) { confirmedAt_ = std::max(confirmedAt_, at); }
  base::TimePoint confirmedAt() const { return confirmedAt_; }
  std::uint32_t stateAgeMs(base::TimePoint now) const;
  // Whether a confirmation of this age still counts.
  bool confirms(const schema::Update& news) const { return base::Millis(news.stateAgeMs) < times_.confirmedFor; }
  void doubt() { digestMismatch_ = true; }
  bool digestMismatch() const { return digestMismatch_; }
  bool setRunners(const schema::StateVersion& version, std::vector<schema::RunnerEntry> runners,
                  base::TimePoint listedAt);
  // The same from another's news, whole or as changes. Changes of a version that is not held here, or that don't give
  // the list they should, are not taken; the whole is asked for next.
  bool takeRunners(const schema::Update& news, const schema::UpdateContent& content, base::TimePoint listedAt);

  void receive(const schema::Poll& ask, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void tick(base::TimePoint now, net::Outbox& out);
  // Answers the asks for which there is news.
  void publish(base::TimePoint now, net::Outbox& out);

  const std::optional<schema::ControlState>& state() const { return state_; }
  const std::vector<schema::RunnerEntry>& runners() const { return runners_; }
  const schema::StateVersion& runnersVersion() const { return runnersStamp_; }
  // The version to ask with: none when the changes would be of no use here.
  schema::StateVersion askRunners() const { return wholeWanted_ ? schema::StateVersion{} : runnersStamp_; }
  base::TimePoint listedAt() const { return listedAt_; }
  bool hasRunners() const { return hasRunners_; }

 private:
  struct Asker {
    schema::Poll ask;
    base::TimePoint at, sentAt{}, answeredAt{};
    base::TimePoint staleToldAt{};        // when it was told that nothing is confirmed here; none once it is again
    bool open = true;                     // not answered yet
    std::uint32_t tries = 0;              // how often the newest was sent
    std::size_t sentBytes = 0;            // of what was sent last
    schema::StateVersion state, runners;  // what was sent
  };
  // One daemon may follow the configuration and the runners by asks of their own, and fetch for a flush besides.
  struct Key {
    settings::Endpoint from;
    std::uint8_t what = 0;
    auto operator<=>(const Key&) const = default;
  };
  // The runners that differ between a version held earlier and the one after it.
  struct Change {
    schema::StateVersion from;
    std::vector<std::string> ids;
  };
  bool hasNews(const schema::Poll& ask) const;
  bool pollDue(const Asker& asker, base::TimePoint now) const;
  bool confirmed(base::TimePoint now) const { return base::Millis(stateAgeMs(now)) < times_.confirmedFor; }
  bool confirmationChanged(const Asker& asker, base::TimePoint now) const;
  bool newsDue(Asker& asker, base::TimePoint now) const;
  void consider(const Key& key, Asker& asker, base::TimePoint now, net::Outbox& out) const;
  void answer(const settings::Endpoint& to, Asker& asker, base::TimePoint now, net::Outbox& out) const;
  const std::string& content(const schema::Poll& ask) const;
  void putRunners(const schema::StateVersion& base, schema::UpdateContent& content) const;

  Times times_;
  std::optional<schema::ControlState> state_;
  schema::StateVersion runnersStamp_;
  std::vector<schema::RunnerEntry> runners_;
  base::TimePoint listedAt_{}, confirmedAt_{};
  bool hasRunners_ = false, wholeWanted_ = false, digestMismatch_ = false;
  std::uint64_t frameDigest_ = 0, runnersDigest_ = 0;
  schema::StateVersion floor_;  // of what was given up: nothing older is taken
  base::TimePoint givenUpAt_{};
  std::deque<Change> changes_;
  std::map<Key, Asker> askers_;
  // What is new, encoded, by what the asker lacks: the configuration, the runners, and the version it has of these.
  mutable std::map<std::tuple<bool, bool, schema::StateVersion>, std::string> contents_;
};

// What the news hold that is new; empty if nothing is, or if it cannot be read.
schema::UpdateContent contentOf(const schema::Update& news);

// Asks one daemon after the other.
class Subscriber {
 public:
  // When another daemon is asked: only after silence, or also after an answer that confirms no configuration.
  enum class Rotate { WhenSilent, WhenUnconfirmed };
  Subscriber(Times times, std::uint64_t seed, Rotate rotate) : times_(times), token_(seed), rotateWhen_(rotate) {}

  void tick(base::TimePoint now, const std::vector<settings::Endpoint>& targets, const schema::StateVersion& state,
            const schema::StateVersion& runners, net::Outbox& out);
  // When the news answers one of the last polls: a moment that its ages may be counted from. That is when the poll was
  // sent and the time that it was held, not when the answer is handled: it may have lain in the socket of a process
  // that stood still. The next poll may then be sent.
  std::optional<base::TimePoint> receive(const schema::Update& news, base::TimePoint now);

 private:
  struct SentPoll {
    std::uint64_t token;
    base::TimePoint sentAt;
  };

  Times times_;
  std::uint64_t token_;
  Rotate rotateWhen_;
  std::size_t target_ = 0;
  std::deque<SentPoll> recent_;
  bool waiting_ = false, rotate_ = false;
  base::TimePoint askedAt_{}, answeredAt_{};
};

}  // namespace indigohill::feed
