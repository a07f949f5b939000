#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/fwd.hpp"
#include "base/log_event.hpp"
#include "base/time.hpp"
#include "lease/times.hpp"
#include "lease/types.hpp"
#include "settings/settings.hpp"

// One daemon's part in the election of duty holders: it claims, renews and releases leases by requests to the store,
// and says until when it may perform a duty. A pure state machine.
//
// A daemon that holds no lease of a subject is a backup. It follows the lease table, and once that shows the lease as
// run out it waits a random time of one to two heartbeats, and longer the less it is wanted as a holder, and claims.
//
// A holder counts its lease from the moment before it sent the claim or heartbeat that was granted, by its own clock,
// and stops a margin before the end. The store counts from when the request came, which is later, so no other attempt
// begins before the holder has stopped.
namespace indigohill::lease {

class DutyLoop {
 public:
  struct Self {
    std::string holder;  // name under which duties are performed
    settings::Endpoint address;
  };
  // A lease of this daemon.
  struct OwnLease {
    std::uint64_t attempt = 0;  // the fence
    base::TimePoint until{};    // duties may be performed until then; it may have passed
  };
  struct Event {
    enum class Kind { Won, Lost } kind = Kind::Won;
    Subject subject;
    std::uint64_t attempt = 0;
  };

  DutyLoop(Self self, Times times, std::uint64_t seed);

  // The subjects that are to be performed. One that is not among them any more is released.
  void setSubjects(std::set<Subject> subjects) { wanted_ = std::move(subjects); }
  // How much longer this daemon waits than the most wanted one before it claims.
  void setClaimDelay(base::Millis delay) { claimDelay_ = delay; }
  // The newest table of leases. False for one that is older than what is known.
  bool onTable(const schema::LeaseTable& table, base::TimePoint now);
  // The request that is due now, if one is. It is sent to whichever controller the caller knows.
  std::optional<schema::LeaseRequest> nextRequest(base::TimePoint now);
  // The reply to a request. False if it answers none that is still waited for.
  bool onReply(const schema::LeaseReply& reply, base::TimePoint now);
  // Releases all leases with the next requests and claims no more.
  void stop() { stopping_ = true; }
  // Whether no lease is left to be released.
  bool hasStopped() const { return stopping_ && ownLeases_.empty() && claims_.empty(); }

  // A report that is to be fixed with the next request; it takes the place of one that has not been sent.
  void setReport(std::optional<schema::UsageReport> report) { report_ = std::move(report); }
  void setUsageDelivered(std::uint64_t windowId) { usageDelivered_ = windowId; }

  // The lease of this daemon, whether or not its time has run out; nothing for a backup.
  std::optional<OwnLease> ownLease(const Subject& subject) const;
  // Whether a duty may be performed at this moment.
  bool mayPerform(const Subject& subject, base::TimePoint now) const;
  std::vector<Event> takeEvents() { return std::exchange(events_, {}); }
  const schema::LeaseTable& table() const { return table_; }
  const schema::LeaseSummary* summary(const Subject& subject) const;

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  struct Claim {
    std::uint64_t token = 0, attempt = 0;  // the new token, and the attempt that is to be succeeded
    base::TimePoint firstSentAt{};         // from which a win is counted
    bool sent = false;
  };
  struct OwnState {
    std::uint64_t attempt = 0, token = 0;
    base::TimePoint until{};
    bool releasing = false;
    bool lostReported = false;  // its time has run out and nobody was told otherwise since
  };
  struct Sent {
    schema::LeaseRequest request;
    base::TimePoint at{};
  };

  void checkAttempts(const schema::LeaseTable& next) const;
  bool isFree(const Subject& subject) const;
  void considerClaims(base::TimePoint now);
  void noteExpiries(base::TimePoint now);
  schema::LeaseRequest build(base::TimePoint now);
  void apply(const schema::LeaseOperation& operation, const schema::LeaseResult& result, base::TimePoint sentAt,
             base::TimePoint now);
  void lose(const Subject& subject);
  base::Millis drawCheckDelay();

  Self self_;
  Times times_;
  std::mt19937_64 random_;
  base::Millis claimDelay_{0};
  std::set<Subject> wanted_;
  schema::LeaseTable table_;
  std::map<Subject, base::TimePoint> claimAt_;    // subjects that were found free: when they are claimed
  std::map<Subject, base::TimePoint> notBefore_;  // subjects whose last claim was refused: not claimed before this
  std::map<Subject, Claim> claims_;
  std::map<Subject, OwnState> ownLeases_;
  std::optional<schema::UsageReport> report_;
  std::uint64_t usageDelivered_ = 0;
  std::optional<Sent> sent_;  // the request that waits for a reply
  std::uint64_t call_ = 0;
  base::TimePoint heartbeatAt_{};
  bool stopping_ = false;
  std::vector<Event> events_;
};

}  // namespace indigohill::lease
