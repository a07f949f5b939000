#include "base/fingerprint.hpp"
#include "control/replica.hpp"

// The fingerprint by which the model checker knows a replica's state again. Every member that a decision may rest on
// belongs here; times count by how long ago they are. Left out is the generator of random numbers: it draws ballots,
// tokens and time-outs alone, and those are put in where they are held.
namespace indigohill::control {

namespace {
constexpr base::Millis kHorizon{6000};  // longer than every time-out of the replica
}  // namespace

std::uint64_t Replica::fingerprint(base::TimePoint now) const {
  base::Fingerprint out;
  const auto age = [&](base::TimePoint at) { out.age(at, now, kHorizon); };
  out.add(self_.voterId, record_, phase_);
  out.add(cluster_.controllers, cluster_.voters);
  age(cluster_.leaseUntil);
  acceptor_.addTo(out, now, kHorizon);
  replication_.addTo(out, now, kHorizon);
  orders_.addTo(out, now, kHorizon);
  members_.addTo(out, now, kHorizon);
  primary_.addTo(out, now, kHorizon);
  out.add(campaign_.has_value());
  if (campaign_) campaign_->addTo(out, now, kHorizon);
  leaseClock_.addTo(out, now, kHorizon);
  out.add(nextToken_, diskFailing_, replies_.size());
  for (const auto& [token, reply] : replies_) out.add(token, reply.to, reply.message);
  for (const auto at :
       {campaignNotBefore_, activeSince_, heartbeatSentAt_, recordSentAt_, retirementSentAt_, zoneSpreadAt_})
    age(at);
  return out.value();
}

}  // namespace indigohill::control
