#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.hpp"
#include "feed/age.hpp"
#include "feed/confirmed_state.hpp"
#include "feed/runner_list.hpp"
#include "feed/times.hpp"
#include "net/codec.hpp"

// How configurations and lists of runners reach the daemons that carry traffic: each polls with the versions it holds
// and is answered when there is something newer, or after a while with how old all of it is by now (a long poll). A
// subscriber that has polled lately is sent what is newer whether or not it has a poll open, and again until it shows
// by its next poll that it has it: a lost message costs one resend.
namespace indigohill::feed {

// The version with which a poll requests nothing of a kind.
constexpr schema::StateVersion kNothingWanted{~0ULL, ~0ULL};

// Holds the newest of everything and answers the polls.
class Publisher {
 public:
  explicit Publisher(Times times) : times_(times) {}

  // The control state; see ConfirmedState for what is confirmed and what a mismatch is.
  const std::optional<schema::ControlState>& state() const { return state_.state(); }
  schema::StateVersion stateVersion() const { return state_.version(); }
  bool setState(const schema::ControlState& state);
  void confirmAt(base::TimePoint at) { state_.confirmAt(at); }
  base::TimePoint confirmedAt() const { return state_.confirmedAt(); }
  std::uint32_t stateAgeMs(base::TimePoint now) const { return state_.confirmationAgeMs(now); }
  void markDigestMismatch() { state_.markMismatch(); }
  bool hasDigestMismatch() const { return state_.hasMismatch(); }
  // Whether what the update says was confirmed lately enough to count.
  bool confirms(const schema::Update& update) const {
    return base::Millis(update.stateAgeMs) < times_.confirmationLife;
  }
  // Compares what is held with another daemon's answer, if that is confirmed.
  void compare(const schema::Update& update);

  // The list of runners; see RunnerList.
  const RunnerList& runnerList() const { return runners_; }
  const std::vector<schema::RunnerEntry>& runners() const { return runners_.runners(); }
  bool setRunners(const schema::StateVersion& version, std::vector<schema::RunnerEntry> runners,
                  base::TimePoint listedAt);
  bool applyRunners(const schema::Update& update, const schema::UpdateContent& content, base::TimePoint listedAt);

  void receive(const schema::Poll& poll, const settings::Endpoint& from, base::TimePoint now, net::Outbox& out);
  void tick(base::TimePoint now, net::Outbox& out);
  // Answers the polls for which there is an update.
  void publish(base::TimePoint now, net::Outbox& out);

 private:
  // A subscriber's last poll, and what it was sent since.
  struct Subscription {
    schema::Poll poll;
    base::TimePoint polledAt, sentAt{}, answeredAt{};
    base::TimePoint unconfirmedSentAt{};  // when it was notified that nothing is confirmed here; none once it is again
    bool open = true;                     // not answered yet
    std::uint32_t sends = 0;              // of the newest versions
    std::size_t sentBytes = 0;            // of what was sent last
    schema::StateVersion sentState, sentRunners;
  };
  // One daemon may subscribe to the configuration and to the runners separately, and fetch for a flush besides.
  struct Key {
    settings::Endpoint from;
    std::uint8_t kind = 0;
    auto operator<=>(const Key&) const = default;
  };
  static Key keyOf(const settings::Endpoint& from, const schema::Poll& poll);

  bool isConfirmed(base::TimePoint now) const { return base::Millis(stateAgeMs(now)) < times_.confirmationLife; }
  bool hasStateFor(const schema::Poll& poll) const { return state() && state()->version > poll.state; }
  bool hasUpdateFor(const schema::Poll& poll) const { return hasStateFor(poll) || runners_.isNewerThan(poll.runners); }
  bool isPollDue(const Subscription& subscription, base::TimePoint now) const;
  bool isConfirmationChanged(const Subscription& subscription, base::TimePoint now) const;
  bool isUpdateDue(const Subscription& subscription, base::TimePoint now) const;
  bool hasNewerThanSent(const Subscription& subscription) const;
  void considerAnswer(const Key& key, Subscription& subscription, base::TimePoint now, net::Outbox& out);
  void noteSend(Subscription& subscription, base::TimePoint now) const;
  void answer(const settings::Endpoint& to, Subscription& subscription, base::TimePoint now, net::Outbox& out);
  const std::string& encodedContent(const schema::Poll& poll);

  Times times_;
  ConfirmedState state_;
  RunnerList runners_;
  std::map<Key, Subscription> subscriptions_;
  // Updates, encoded, by what the subscriber lacks: the state, the runners, and the version it has of these.
  std::map<std::tuple<bool, bool, schema::StateVersion>, std::string> encodedContents_;
};

// What the update holds that is new; empty if nothing is, or if it cannot be read.
schema::UpdateContent contentOf(const schema::Update& update);

}  // namespace indigohill::feed
