#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "membership/times.hpp"
#include "schema/messages.hpp"

// The lease under which a daemon may act on its view, and how leases pass from the voters of one epoch record to those
// of the next.
//
// A majority of the view's voters renews the lease by echoing the daemon's timestamps: it runs from the timestamp, so
// that a message that was long on its way renews nothing. A record may replace all voters at once, so majorities of the
// voters before and after it need not share a member. docs/control/membership.md gives the argument why leases of the
// two do not overlap.
namespace indigohill::membership {

class Lease {
 public:
  explicit Lease(Times times) : times_(times) {}

  bool isHeld(base::TimePoint now) const { return now < until_; }
  base::TimePoint until() const { return until_; }

  // The daemon's side. A voter, by its incarnation, has echoed the timestamp `at` under the present view.
  void onEcho(std::uint64_t voterIncarnation, base::TimePoint at);
  // Renews the lease if a majority of the view's voters has echoed lately; `selfVoterId` is one of them without a word.
  void renew(const schema::View& view, const std::string& selfVoterId, base::TimePoint now);

  // The timestamp of a member's newest heartbeat under the present view, which this daemon echoes in its own.
  void setTimestamp(std::uint64_t incarnation, std::int64_t timestampMs) { timestampMs_[incarnation] = timestampMs; }
  std::optional<std::int64_t> timestampMs(std::uint64_t incarnation) const;

  // The voter's side. Whether it renews leases under its present view.
  bool grants(const schema::View& view, base::TimePoint now) const;
  // This voter has accepted a record, which may have been decided: from `since` on it renews leases under views of
  // older epochs and other voters only for the time of a handover.
  void onAccepted(const schema::EpochRecord& record, base::TimePoint since);
  // These are the voters of the newest record that is known to be decided.
  void onVotersDecided(const std::vector<std::string>& voters, base::TimePoint now);

  // Another view is installed.
  void install(const schema::View& view);
  // The daemon has no view any more. What this voter has accepted stays.
  void clear();

 private:
  Times times_;
  base::TimePoint until_{};
  std::map<std::uint64_t, base::TimePoint> echoAt_;  // the newest of each voter
  std::map<std::uint64_t, std::int64_t> timestampMs_;
  std::map<std::pair<std::uint64_t, std::vector<std::string>>, base::TimePoint> acceptedSince_;  // epoch and voters
  std::vector<std::string> decidedVoters_;
  base::TimePoint decidedSince_{};  // known in this life
};

}  // namespace indigohill::membership
