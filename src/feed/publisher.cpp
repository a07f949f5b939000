#include "feed/publisher.hpp"

#include <algorithm>

namespace indigohill::feed {

namespace {

constexpr std::uint32_t kMaxSends = 4;   // beyond that the subscriber is taken to be gone until it polls again
constexpr int kSubscriptionLife = 3;     // in long-poll time-outs
constexpr int kUnconfirmedInterval = 2;  // in long-poll time-outs, between two answers that confirm nothing

// How long what does not fit a datagram may be on its way, on a link of half a megabit a second.
base::Millis transferTime(std::size_t bytes) {
  constexpr std::size_t kDatagramBytes = 8000, kBytesPerMs = 64;
  return base::Millis(bytes <= kDatagramBytes ? 0 : bytes / kBytesPerMs);
}

}  // namespace

schema::UpdateContent contentOf(const schema::Update& update) {
  if (update.content.empty()) return {};
  auto content = net::decodeUpdateContent(update.content);
  return base::errorIn(content) != nullptr ? schema::UpdateContent{} : std::get<0>(std::move(content));
}

bool Publisher::setState(const schema::ControlState& state) {
  if (!state_.set(state)) return false;
  encodedContents_.clear();
  return true;
}

void Publisher::compare(const schema::Update& update) {
  if (confirms(update)) state_.compare(update);
}

bool Publisher::setRunners(const schema::StateVersion& version, std::vector<schema::RunnerEntry> runners,
                           base::TimePoint listedAt) {
  if (!runners_.set(version, std::move(runners), listedAt)) return false;
  encodedContents_.clear();
  return true;
}

bool Publisher::applyRunners(const schema::Update& update, const schema::UpdateContent& content,
                             base::TimePoint listedAt) {
  if (!runners_.apply(update, content, listedAt)) return false;
  encodedContents_.clear();
  return true;
}

Publisher::Key Publisher::keyOf(const settings::Endpoint& from, const schema::Poll& poll) {
  const unsigned kind = (poll.state == kNothingWanted ? 1U : 0U) | (poll.runners == kNothingWanted ? 2U : 0U) |
                        (poll.token == 0 ? 4U : 0U);
  return {from, static_cast<std::uint8_t>(kind)};
}

void Publisher::receive(const schema::Poll& poll, const settings::Endpoint& from, base::TimePoint now,
                        net::Outbox& out) {
  const auto key = keyOf(from, poll);
  auto& subscription = subscriptions_[key];
  const auto unconfirmedSentAt = subscription.unconfirmedSentAt;
  subscription = Subscription{};
  subscription.poll = poll;
  subscription.polledAt = now;
  subscription.unconfirmedSentAt = unconfirmedSentAt;
  considerAnswer(key, subscription, now, out);
}

void Publisher::tick(base::TimePoint now, net::Outbox& out) {
  if (state_.dropMismatched(now, times_.retryInterval)) encodedContents_.clear();
  publish(now, out);
  std::erase_if(subscriptions_, [&](const auto& entry) {
    return now - entry.second.polledAt > kSubscriptionLife * times_.longPollTimeout;
  });
}

void Publisher::publish(base::TimePoint now, net::Outbox& out) {
  for (auto& [key, subscription] : subscriptions_) considerAnswer(key, subscription, now, out);
}

void Publisher::considerAnswer(const Key& key, Subscription& subscription, base::TimePoint now, net::Outbox& out) {
  bool due = false;
  if (hasUpdateFor(subscription.poll)) {
    // One version is on its way to a subscriber and the newest comes next: once the subscriber shows that it has the
    // one, or after the time in which it should have come.
    if (hasNewerThanSent(subscription)) subscription.sends = std::min(subscription.sends, 1U);
    due = isUpdateDue(subscription, now);
    if (due) noteSend(subscription, now);
  } else {
    due = isPollDue(subscription, now);
  }
  if (due || isConfirmationChanged(subscription, now)) answer(key.from, subscription, now, out);
}

// Whether a poll has waited long enough. A controller's last poll is answered again and again: each answer counts from
// the time of that poll and how long ago it came, so that neither a lost answer nor a lost poll costs a confirmation.
bool Publisher::isPollDue(const Subscription& subscription, base::TimePoint now) const {
  const auto& poll = subscription.poll;
  const bool fromController = poll.token != 0 && poll.runners == kNothingWanted;
  if (fromController)
    return now - std::max(subscription.polledAt, subscription.answeredAt) >= times_.observerPollInterval;
  return subscription.open && now - subscription.polledAt >= times_.longPollTimeout;
}

// A subscriber learns at once that nothing is confirmed here any more, so that it turns to another controller, and at
// once that it is confirmed again. One that was notified lately waits: with nobody to confirm anything it would poll
// one after the other without a pause.
bool Publisher::isConfirmationChanged(const Subscription& subscription, base::TimePoint now) const {
  const auto& poll = subscription.poll;
  if (!state() || poll.token == 0 || poll.state == kNothingWanted) return false;
  if (isConfirmed(now)) return subscription.unconfirmedSentAt != base::TimePoint{};
  return subscription.open && now - subscription.unconfirmedSentAt >= kUnconfirmedInterval * times_.longPollTimeout;
}

bool Publisher::hasNewerThanSent(const Subscription& subscription) const {
  const bool newerState = hasStateFor(subscription.poll) && state()->version > subscription.sentState;
  return newerState ||
         (runners_.isNewerThan(subscription.sentRunners) && runners_.isNewerThan(subscription.poll.runners));
}

// Whether a subscriber that lacks something is sent it now: at once what it was not sent yet, and again with a backoff.
bool Publisher::isUpdateDue(const Subscription& subscription, base::TimePoint now) const {
  if (subscription.sends >= kMaxSends) return false;
  if (subscription.sends == 0) return true;
  const auto backoff = times_.resendInterval * (1 << (subscription.sends - 1));
  return now - subscription.sentAt >= backoff + transferTime(subscription.sentBytes);
}

void Publisher::noteSend(Subscription& subscription, base::TimePoint now) const {
  ++subscription.sends;
  subscription.sentAt = now;
  if (state()) subscription.sentState = state()->version;
  if (runners_.isKnown()) subscription.sentRunners = runners_.version();
}

void Publisher::answer(const settings::Endpoint& to, Subscription& subscription, base::TimePoint now,
                       net::Outbox& out) {
  subscription.open = false;
  subscription.answeredAt = now;
  subscription.unconfirmedSentAt = isConfirmed(now) ? base::TimePoint{} : now;
  schema::Update update;
  update.token = subscription.poll.token;
  update.heldMs = ageMs(subscription.polledAt, now);
  update.stateAgeMs = stateAgeMs(now);
  if (state()) {
    update.stateVersion = state()->version;
    update.stateDigest = state_.digest();
  }
  update.runnersVersion = runners_.version();
  update.runnersAgeMs = runners_.isKnown() ? ageMs(runners_.listedAt(), now) : kUnknownAgeMs;
  update.content = encodedContent(subscription.poll);
  subscription.sentBytes = update.content.size();
  out.push_back({to, std::move(update)});
}

// The same for all subscribers that lack the same, so it is encoded once.
const std::string& Publisher::encodedContent(const schema::Poll& poll) {
  const bool withState = hasStateFor(poll);
  const bool withRunners = runners_.isNewerThan(poll.runners);
  const auto [entry, isNew] =
      encodedContents_.try_emplace({withState, withRunners, withRunners ? poll.runners : schema::StateVersion{}});
  if (!isNew) return entry->second;
  schema::UpdateContent content;
  if (withState) {
    content.states.push_back(*state());
    // The digests of orders are for the primary alone.
    content.states.back().takenOrders.clear();
  }
  if (withRunners) runners_.addTo(content, poll.runners);
  if (withState || withRunners) entry->second = net::encodeUpdateContent(content);
  return entry->second;
}

}  // namespace indigohill::feed
