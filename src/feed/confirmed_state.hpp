#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/time.hpp"
#include "feed/rising_version.hpp"
#include "schema/messages.hpp"

// The newest control state that one daemon holds, and until when it is known to have been the newest acknowledged one.
namespace indigohill::feed {

class ConfirmedState {
 public:
  const std::optional<schema::ControlState>& state() const { return state_; }
  schema::StateVersion version() const { return state_ ? state_->version : schema::StateVersion{}; }
  // Over all but the digests of orders, which the primary keeps to itself. 0 when nothing is held.
  std::uint64_t digest() const { return digest_; }

  // Versions only rise within one life: false for one that is not newer than what is held or was dropped.
  bool set(const schema::ControlState& state);

  // What is held here was the newest acknowledged state at this moment. The primary says so while it holds its lease;
  // everybody else concludes it from an answer, by the time of the poll. Nothing is said about later: each answer
  // carries the age, so that a process that stood still cannot confirm what it knew before.
  void confirmAt(base::TimePoint at) { confirmedAt_ = std::max(confirmedAt_, at); }
  base::TimePoint confirmedAt() const { return confirmedAt_; }
  // Milliseconds since the last confirmation; kUnknownAgeMs if there is none, or the digest does not match.
  std::uint32_t confirmationAgeMs(base::TimePoint now) const;

  // What is held under this version is not what others hold under it, or cannot be used. It is dropped before long and
  // so fetched completely again; until then, and until it has come, the daemon is not ready.
  void markMismatch() { mismatch_ = true; }
  bool hasMismatch() const { return mismatch_; }
  // Compares what is held with a confirmed answer.
  void compare(const schema::Update& confirmed);
  // Drops a state with a mismatch, at most once in `interval`: what comes again may not match again. True if it did.
  bool dropMismatched(base::TimePoint now, base::Millis interval);

 private:
  std::optional<schema::ControlState> state_;
  std::uint64_t digest_ = 0;
  base::TimePoint confirmedAt_{};
  bool mismatch_ = false;
  RisingVersion rising_;
  schema::StateVersion droppedVersion_;  // nothing older is taken any more
  base::TimePoint droppedAt_{};
};

}  // namespace indigohill::feed
