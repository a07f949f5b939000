#pragma once
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "lease/times.hpp"
#include "lease/types.hpp"

// The one clock by which leases end: the steady clock of the primary of the control state, with what the primary has
// granted. Nothing of it is kept on disk or sent to a successor. A primary that takes over cannot know what was granted
// last, so it counts every lease as granted anew at the moment at which it begins to serve, which is later than any
// grant before.
namespace indigohill::lease {

class StoreClock {
 public:
  explicit StoreClock(Times times) : times_(times) {}

  // This replica serves as the primary of `epoch` from now on. What it granted as primary of the epoch just before
  // stays as it was: nobody has granted anything since.
  void activate(std::uint64_t epoch, const schema::DutyState& duties, base::TimePoint now);

  // The lease of a subject is granted or renewed.
  void grant(const Subject& subject, base::TimePoint now) { ends_[subject] = now + times_.length; }
  // A holder has lost a subject to another.
  void onLost(const Subject& subject, const std::string& holder, base::TimePoint now) {
    lostAt_[{subject, holder}] = now;
  }

  // How long the lease of a record still runs; zero when it has run out or was released.
  base::Millis remaining(const schema::LeaseRecord& record, base::TimePoint now) const;
  // How long that holder must not claim the subject, as it has lost it lately.
  base::Millis barredFor(const Subject& subject, const std::string& holder, base::TimePoint now) const;

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  Times times_;
  std::uint64_t epoch_ = 0;  // served last
  std::map<Subject, base::TimePoint> ends_;
  std::map<std::pair<Subject, std::string>, base::TimePoint> lostAt_;  // by subject and holder
};

}  // namespace indigohill::lease
