// Until when a daemon may act on its view.
#include "membership/lease.hpp"

#include "views.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using membership::Lease;

namespace {

constexpr membership::Times kTimes;
constexpr base::TimePoint kNow{std::chrono::hours(1)};

schema::EpochRecord recordOf(std::uint64_t epoch, std::vector<std::string> voters) {
  schema::EpochRecord record;
  record.epoch = epoch;
  record.voters = std::move(voters);
  return record;
}

}  // namespace

Test(lease, runs_from_the_second_newest_echo_of_three_voters) {
  const auto view = viewOfThree();
  Lease lease(kTimes);
  lease.onEcho(1, kNow - Millis(100));
  lease.renew(view, "", kNow);
  cr_assert_not(lease.isHeld(kNow), "one of three is no majority");
  lease.onEcho(2, kNow - Millis(300));
  lease.onEcho(3, kNow - Millis(900));
  lease.renew(view, "", kNow);
  cr_assert(lease.until() == kNow - Millis(300) + kTimes.lease);
  lease.onEcho(2, kNow - Millis(500));
  lease.renew(view, "", kNow);
  cr_assert(lease.until() == kNow - Millis(300) + kTimes.lease, "an older echo takes nothing back");
}

Test(lease, a_voter_counts_itself_while_it_grants) {
  auto view = viewOfThree();
  Lease lease(kTimes);
  lease.onEcho(2, kNow);
  lease.renew(view, "v1", kNow);
  cr_assert(lease.isHeld(kNow));
}

Test(lease, a_voter_that_accepted_other_voters_grants_for_the_handover_alone) {
  const auto view = viewOfThree();
  Lease lease(kTimes);
  lease.onAccepted(recordOf(6, view.voters), kNow);
  cr_assert(lease.grants(view, kNow + std::chrono::hours(1)), "the same voters");
  lease.onAccepted(recordOf(6, {"v1", "v2", "v4"}), kNow);
  cr_assert(lease.grants(view, kNow + kTimes.handover - Millis(1)));
  cr_assert_not(lease.grants(view, kNow + kTimes.handover));
  auto next = view;
  next.epoch = 6;
  lease.install(next);
  cr_assert(lease.grants(next, kNow + kTimes.handover), "the view has taken the record over");
}

Test(lease, voters_that_took_over_alone_wait_until_older_leases_have_run_out) {
  auto view = viewOfThree();
  view.unilateralEpoch = view.epoch;
  Lease lease(kTimes);
  lease.onVotersDecided(view.voters, kNow);
  const auto granted = kNow + kTimes.handover + kTimes.lease;
  cr_assert_not(lease.grants(view, granted - Millis(1)));
  cr_assert(lease.grants(view, granted));
}

Test(lease, ends_with_the_view) {
  Lease lease(kTimes);
  lease.onEcho(1, kNow);
  lease.onEcho(2, kNow);
  lease.setTimestamp(1, 5);
  lease.renew(viewOfThree(), "", kNow);
  cr_assert(lease.isHeld(kNow) && lease.timestampMs(1) == 5);
  lease.clear();
  cr_assert(!lease.isHeld(kNow) && !lease.timestampMs(1));
}
