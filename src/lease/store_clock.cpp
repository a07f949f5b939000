#include "lease/store_clock.hpp"

#include <algorithm>

#include "base/fingerprint.hpp"

namespace indigohill::lease {

using base::Millis;

void StoreClock::activate(std::uint64_t epoch, const schema::DutyState& duties, base::TimePoint now) {
  const bool continues = epoch_ != 0 && epoch == epoch_ + 1;
  epoch_ = epoch;
  if (!continues) {
    ends_.clear();
    lostAt_.clear();
  }
  for (const auto& record : duties.leases) {
    const auto subject = subjectOf(record);
    ends_.try_emplace(subject, now + times_.length);
    for (const auto& former : record.formerHolders) lostAt_.try_emplace({subject, former}, now);
  }
}

Millis StoreClock::remaining(const schema::LeaseRecord& record, base::TimePoint now) const {
  const auto found = ends_.find(subjectOf(record));
  if (static_cast<Status>(record.status) != Status::Running || found == ends_.end()) return Millis(0);
  return std::max(Millis(0), std::chrono::ceil<Millis>(found->second - now));
}

Millis StoreClock::barredFor(const Subject& subject, const std::string& holder, base::TimePoint now) const {
  const auto found = lostAt_.find({subject, holder});
  if (found == lostAt_.end()) return Millis(0);
  return std::max(Millis(0), std::chrono::ceil<Millis>(found->second + times_.reclaimDelay - now));
}

void StoreClock::addTo(base::Fingerprint& out, base::TimePoint now, Millis horizon) const {
  out.add(epoch_, ends_.size(), lostAt_.size());
  for (const auto& [subject, end] : ends_) {
    out.add(subject.duty, subject.name);
    out.age(end, now, horizon);
  }
  for (const auto& [key, at] : lostAt_) {
    out.add(key.first.duty, key.first.name, key.second);
    out.age(at, now, horizon);
  }
}

}  // namespace indigohill::lease
