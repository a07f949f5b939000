#include "control/state_replication.hpp"

#include <algorithm>
#include <utility>

#include "base/fingerprint.hpp"

namespace indigohill::control {

schema::Message replicateMessage(const std::string& from, std::uint64_t token, bool install,
                                 const schema::EpochRecord& record, const schema::ReplicatedState& state) {
  if (state.duties.sequence == 0) return schema::ReplicateState{from, token, install, record, state.control};
  return schema::ReplicateStateWithDuties{from, token, install, record, state};
}

void StateReplication::begin(schema::ReplicatedState state, std::uint64_t token, std::optional<QueuedOrder> order,
                             base::TimePoint now) {
  state_ = std::move(state);
  write_ = Write{*state_, token, std::move(order), false, {}, now, now};
}

std::vector<std::string> StateReplication::unacknowledged(const std::vector<std::string>& backups) const {
  std::vector<std::string> out;
  for (const auto& backup : backups)
    if (!write_->acknowledged.contains(backup)) out.push_back(backup);
  return out;
}

bool StateReplication::isComplete(const std::vector<std::string>& backups) const {
  return write_->onOwnDisk && std::all_of(backups.begin(), backups.end(),
                                          [&](const auto& backup) { return write_->acknowledged.contains(backup); });
}

std::vector<PeerMessage> StateReplication::messages(const std::string& self, const schema::EpochRecord& inForce,
                                                    base::TimePoint now) {
  write_->sentAt = now;
  std::vector<PeerMessage> out;
  for (const auto& backup : unacknowledged(inForce.backups))
    out.push_back({backup, replicateMessage(self, write_->token, false, inForce, write_->state)});
  return out;
}

std::optional<QueuedOrder> StateReplication::publish() {
  published_ = std::move(write_->state);
  return abandon();
}

std::optional<QueuedOrder> StateReplication::abandon() {
  if (!write_) return std::nullopt;
  auto order = std::move(write_->order);
  write_.reset();
  return order;
}

void StateReplication::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(state_, published_, write_.has_value());
  if (!write_) return;
  out.add(write_->state, write_->token, write_->onOwnDisk, write_->acknowledged, write_->order.has_value());
  if (write_->order) addToFingerprint(out, *write_->order, now, horizon);
  out.age(write_->startedAt, now, horizon);
  out.age(write_->sentAt, now, horizon);
}

}  // namespace indigohill::control
