#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"

// Suspects members from which nothing is received, or that receive nothing (a cut of one direction), for longer than a
// time-out: the failure detector of "Reliable Communication in the Presence of Failures", section 4.1.
//
// Members are known by their incarnations. Each heartbeat carries the sender's timestamp; the newest one received is
// reported back in the next heartbeat, which tells a member when it was last received.
namespace indigohill::membership {

class FailureDetector {
 public:
  explicit FailureDetector(base::Millis suspicionTimeout) : suspicionTimeout_(suspicionTimeout) {}

  // Any sign of life.
  void onReceived(std::uint64_t incarnation, base::TimePoint now) { receivedAt_[incarnation] = now; }
  // A sign that the member has received something that was sent now.
  void onReceipt(std::uint64_t incarnation, base::TimePoint now) { receiptAt_[incarnation] = now; }
  void onHeartbeat(const schema::Heartbeat& heartbeat, base::TimePoint now);

  // Suspects those of the watched members that were silent for too long. One that is received again is cleared, unless
  // `isBoundFailed` says that a proposal rests on its failure.
  void update(const std::vector<const schema::Member*>& watched,
              const std::function<bool(std::uint64_t incarnation)>& isBoundFailed, base::TimePoint now);
  void suspect(std::uint64_t incarnation) { suspected_.insert(incarnation); }
  bool isSuspected(std::uint64_t incarnation) const { return suspected_.contains(incarnation); }
  const std::set<std::uint64_t>& suspected() const { return suspected_; }

  // When the member was last received; nothing if it never was.
  std::optional<base::TimePoint> receivedAt(std::uint64_t incarnation) const;
  // Whether something was received from the member since then, and something that was sent to it since then has been
  // received there.
  bool isInTouch(std::uint64_t incarnation, base::TimePoint since) const;
  // The member's newest timestamp, in its own milliseconds, for the next heartbeat to it; 0: none yet.
  std::int64_t newestTimestampMs(std::uint64_t incarnation) const;

  // Another view is installed: forgets those that are not in it. New ones count as just received.
  void install(const schema::View& view, base::TimePoint now);
  void clear();

 private:
  base::Millis suspicionTimeout_;
  std::map<std::uint64_t, base::TimePoint> receivedAt_;
  std::map<std::uint64_t, base::TimePoint> receiptAt_;       // when the newest thing that the member received was sent
  std::map<std::uint64_t, std::int64_t> newestTimestampMs_;  // of each member, under whatever view
  std::map<std::uint64_t, base::TimePoint> watchedSince_;
  std::set<std::uint64_t> suspected_;
};

}  // namespace indigohill::membership
