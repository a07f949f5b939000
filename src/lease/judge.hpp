#pragma once
#include <optional>

#include "lease/store_clock.hpp"

// The conditional writes to the lease records, as the primary judges them.
namespace indigohill::lease {

struct Judgement {
  schema::LeaseReply reply;
  // The duty state after the request; nothing if the request changes none of it. It has to be replicated before the
  // reply is sent; a reply without one needs the voters' confirmation that nobody else leads.
  std::optional<schema::DutyState> next;
};

// Whether the request holds heartbeats alone, which write nothing: the end of a lease is kept by the clock.
bool isRenewalOnly(const schema::LeaseRequest& request);

// Judges the operations of a request one after the other. `duties` is the newest state that the primary holds. Grants
// and renewals enter the clock at once: one that is never acknowledged only delays a takeover.
Judgement judge(const schema::LeaseRequest& request, const schema::DutyState& duties, StoreClock& clock,
                base::TimePoint now);

// The table of the leases, as the other daemons are told of it.
schema::LeaseTable tableOf(const schema::DutyState& duties, const StoreClock& clock, std::uint64_t epoch,
                           std::uint64_t sequence, base::TimePoint now);

// The record of a subject; null if there has been no attempt.
const schema::LeaseRecord* findRecord(const schema::DutyState& duties, const Subject& subject);

}  // namespace indigohill::lease
