#pragma once
#include <optional>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "control/cluster_view.hpp"
#include "control/replica_times.hpp"
#include "schema/messages.hpp"

// What a replica knows of the primary of the epoch in force, and when a backup should take over from it.
namespace indigohill::control {

class PrimaryMonitor {
 public:
  // Another record is in force: nothing has been received from its primary yet.
  void reset(base::TimePoint now);
  void onLeaseGained(base::TimePoint now) { watchingSince_ = now; }
  void onHeartbeat(const schema::StateVersion& version, base::TimePoint now);
  void onTransferRequest() { transferRequested_ = true; }

  // Whether a heartbeat has come lately.
  bool isFresh(base::TimePoint now, base::Millis heartbeatInterval) const;
  // The version that the primary announced last.
  schema::StateVersion announcedVersion() const { return announcedVersion_; }
  // How long this replica has been able to receive heartbeats of the epoch.
  base::Clock::duration watchedFor(base::TimePoint now) const { return now - watchingSince_; }

  // Whether the backup `self` should campaign: the primary requested it, is not in the view, or has been silent for the
  // election time-out. Any backup holds all that was acknowledged; they campaign one after the other, as two at once
  // hold each other up. To be called with each tick.
  bool shouldTakeOver(const std::string& self, const schema::EpochRecord& record, const ClusterView& cluster,
                      const ReplicaTimes& times, base::TimePoint now);

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  std::optional<base::TimePoint> heartbeatAt_;  // in this epoch
  base::TimePoint watchingSince_{};
  std::optional<base::TimePoint> absentSince_;  // from the view
  bool transferRequested_ = false;
  schema::StateVersion announcedVersion_;
};

}  // namespace indigohill::control
