#pragma once
#include <map>
#include <optional>
#include <string>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "control/cluster_view.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// What a replica has observed of the other controllers: who is missing, unresponsive, new or retiring, and where each
// was last seen. All of it is a hint for the choice of voters and backups; no agreement rests on it.
namespace indigohill::control {

class MemberTracker {
 public:
  explicit MemberTracker(std::string selfId) : selfId_(std::move(selfId)) {}

  // Compares the view with the record in force.
  void observe(const ClusterView& cluster, const schema::EpochRecord& record, base::TimePoint now);

  // Since when a voter of the record has been absent from the view; nothing while it is there.
  std::optional<base::TimePoint> missingSince(const std::string& voterId) const;
  // The zone in which a voter of the record was last seen; empty if it never was.
  std::string lastZone(const std::string& voterId) const;
  // Whether the candidate came up no longer than `window` before the voter was missed: the voter's successor on new
  // hardware, which may have joined before the voter was suspected. What was in the first view of this replica, or a
  // voter that it has never seen, tells nothing.
  bool isNewcomerFor(const std::string& voterId, const schema::Member& candidate, base::Millis window) const;

  // A member did not answer in time; with its next answer, or after a while, it counts as responsive again.
  void markUnresponsive(const std::string& voterId, base::TimePoint now) { unresponsiveAt_[voterId] = now; }
  void markResponsive(const std::string& voterId) { unresponsiveAt_.erase(voterId); }
  bool isUnresponsive(const std::string& voterId, base::TimePoint now) const;

  // A member announces again and again that it shuts down gracefully.
  void markRetiring(const std::string& voterId, base::TimePoint now) { retiringAt_[voterId] = now; }
  void markSelfRetiring() { selfRetiring_ = true; }
  bool isRetiring(const std::string& voterId, base::TimePoint now) const;
  bool isSelfRetiring() const { return selfRetiring_; }
  // Whether its last announcement has not been dropped by `expire` yet.
  bool hasAnnouncedRetirement(const std::string& voterId) const { return retiringAt_.contains(voterId); }
  // Drops announcements that were not repeated.
  void expire(base::TimePoint now);

  // The address from which a member last sent something.
  void setAddress(const std::string& voterId, const settings::Endpoint& address) { lastAddress_[voterId] = address; }
  std::optional<settings::Endpoint> lastAddress(const std::string& voterId) const;

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  std::string selfId_;
  bool selfRetiring_ = false;
  std::map<std::string, settings::Endpoint> lastAddress_;
  std::map<std::string, base::TimePoint> missingSince_;
  std::map<std::string, base::TimePoint> firstSeen_;  // of storage nodes; TimePoint{}: was in the first view
  std::map<std::string, std::string> lastZone_;
  std::map<std::string, base::TimePoint> unresponsiveAt_;
  std::map<std::string, base::TimePoint> retiringAt_;
};

}  // namespace indigohill::control
