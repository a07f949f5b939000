#include "control/primary_monitor.hpp"

#include <algorithm>

#include "base/fingerprint.hpp"

namespace indigohill::control {

namespace {

constexpr int kHeartbeatsMissed = 4;  // until the primary no longer counts as known to be there

// How long this backup waits for those before it in the record.
base::Millis staggerOf(const std::string& self, const schema::EpochRecord& record, const ClusterView& cluster,
                       base::Millis step) {
  base::Millis out{0};
  for (const auto& backup : record.backups) {
    if (backup == self) break;
    if (cluster.controller(backup) != nullptr) out += step;
  }
  return out;
}

}  // namespace

void PrimaryMonitor::reset(base::TimePoint now) {
  heartbeatAt_.reset();
  transferRequested_ = false;
  absentSince_.reset();
  watchingSince_ = now;
}

void PrimaryMonitor::onHeartbeat(const schema::StateVersion& version, base::TimePoint now) {
  heartbeatAt_ = now;
  announcedVersion_ = version;
}

bool PrimaryMonitor::isFresh(base::TimePoint now, base::Millis heartbeatInterval) const {
  return heartbeatAt_ && now - *heartbeatAt_ < kHeartbeatsMissed * heartbeatInterval;
}

bool PrimaryMonitor::shouldTakeOver(const std::string& self, const schema::EpochRecord& record,
                                    const ClusterView& cluster, const ReplicaTimes& times, base::TimePoint now) {
  if (cluster.controller(record.primary) != nullptr)
    absentSince_.reset();
  else if (!absentSince_)
    absentSince_ = now;
  const auto stagger = staggerOf(self, record, cluster, times.electionStagger);
  const auto heardAt = heartbeatAt_ ? std::max(*heartbeatAt_, watchingSince_) : watchingSince_;
  return transferRequested_ || (absentSince_ && now - *absentSince_ >= stagger) ||
         now - heardAt > times.electionTimeout + stagger;
}

void PrimaryMonitor::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(heartbeatAt_.has_value(), absentSince_.has_value(), transferRequested_, announcedVersion_);
  for (const auto at :
       {heartbeatAt_.value_or(base::TimePoint{}), watchingSince_, absentSince_.value_or(base::TimePoint{})})
    out.age(at, now, horizon);
}

}  // namespace indigohill::control
