#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "control/effects.hpp"
#include "control/order.hpp"
#include "schema/messages.hpp"

// The control state of one replica, and the write by which a primary replicates the next one: it is in force once it is
// on the primary's disk and on the disk of every backup of the epoch. One write at a time.
namespace indigohill::control {

// The message that brings a replica of the state: in the form without duties as long as there is no duty state.
schema::Message replicateMessage(const std::string& from, std::uint64_t token, bool install,
                                 const schema::EpochRecord& record, const schema::ReplicatedState& state);

class StateReplication {
 public:
  explicit StateReplication(std::optional<schema::ReplicatedState> state) : state_(std::move(state)) {}

  // The newest state that this replica holds: as a primary with the write in progress, as a backup with every replica
  // that came. It may not be in force.
  const std::optional<schema::ReplicatedState>& state() const { return state_; }
  // What is in force, at the primary alone.
  const std::optional<schema::ReplicatedState>& published() const { return published_; }
  void clearPublished() { published_.reset(); }

  bool isOlderThanHeld(const schema::ReplicatedState& replica) const {
    return state_ && std::pair(replica.control.version, replica.duties.sequence) <
                         std::pair(state_->control.version, state_->duties.sequence);
  }
  // Takes a replica from the primary or a candidate. An older one never takes the place of what is held: it may come
  // late, when the later one has been acknowledged.
  void take(const schema::ReplicatedState& replica) {
    if (!isOlderThanHeld(replica)) state_ = replica;
  }

  // Begins the write of a new state. `token` is that of the write to the own disk and names the write to the backups;
  // `order` is answered when it is complete, none at the activation of an epoch.
  void begin(schema::ReplicatedState state, std::uint64_t token, std::optional<QueuedOrder> order, base::TimePoint now);
  bool inProgress() const { return write_.has_value(); }
  bool isInProgress(std::uint64_t token) const { return write_ && write_->token == token; }
  // Whether a write is in progress that this backup has on disk.
  bool isAcknowledgedBy(const std::string& backup) const { return write_ && write_->acknowledged.contains(backup); }
  // REQUIRES for all below: a write is in progress.
  void onOwnDisk() { write_->onOwnDisk = true; }
  void addAcknowledgement(const std::string& backup) { write_->acknowledged.insert(backup); }
  bool isOnOwnDisk() const { return write_->onOwnDisk; }
  std::vector<std::string> unacknowledged(const std::vector<std::string>& backups) const;
  bool isComplete(const std::vector<std::string>& backups) const;
  base::Clock::duration age(base::TimePoint now) const { return now - write_->startedAt; }
  base::Clock::duration sinceSent(base::TimePoint now) const { return now - write_->sentAt; }
  // The state for each backup that has not acknowledged it.
  std::vector<PeerMessage> messages(const std::string& self, const schema::EpochRecord& inForce, base::TimePoint now);
  // The state of the write becomes what is in force. Returns the order that it was for.
  std::optional<QueuedOrder> publish();

  // Gives a write in progress up. Returns the order that it was for. The state stays: it may be at a backup already.
  std::optional<QueuedOrder> abandon();

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  struct Write {
    schema::ReplicatedState state;
    std::uint64_t token = 0;
    std::optional<QueuedOrder> order;
    bool onOwnDisk = false;
    std::set<std::string> acknowledged;  // by these backups
    base::TimePoint startedAt, sentAt;
  };

  std::optional<schema::ReplicatedState> state_, published_;
  std::optional<Write> write_;
};

}  // namespace indigohill::control
