// Who is suspected.
#include "membership/failure_detector.hpp"

#include "views.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using membership::FailureDetector;

namespace {

constexpr Millis kTimeout{2000};
constexpr base::TimePoint kNow{std::chrono::hours(1)};
const schema::Member kPeer = memberOf("c2", 2, "v2");

void update(FailureDetector& failures, base::TimePoint now, bool isBoundFailed = false) {
  failures.update(
      {&kPeer}, [=](std::uint64_t) { return isBoundFailed; }, now);
}

}  // namespace

Test(failure_detector, a_silent_member_is_suspected_after_the_timeout_and_cleared_when_received) {
  FailureDetector failures(kTimeout);
  update(failures, kNow);
  update(failures, kNow + kTimeout);
  cr_assert_not(failures.isSuspected(2));
  update(failures, kNow + kTimeout + Millis(1));
  cr_assert(failures.isSuspected(2));
  failures.onReceived(2, kNow + kTimeout + Millis(2));
  update(failures, kNow + kTimeout + Millis(2), true);
  cr_assert(failures.isSuspected(2), "a proposal rests on its failure");
  update(failures, kNow + kTimeout + Millis(2));
  cr_assert_not(failures.isSuspected(2));
}

Test(failure_detector, a_member_that_receives_nothing_is_suspected_though_it_is_received) {
  FailureDetector failures(kTimeout);
  update(failures, kNow);
  schema::Heartbeat heartbeat;
  heartbeat.incarnation = 2;
  heartbeat.timestampMs = 77;
  heartbeat.receivedMs = base::toMs(kNow);
  for (Millis t{0}; t <= kTimeout + Millis(500); t += Millis(500)) {
    failures.onReceived(2, kNow + t);
    failures.onHeartbeat(heartbeat, kNow + t);
    update(failures, kNow + t);
  }
  cr_assert(failures.isSuspected(2));
  cr_assert_eq(failures.newestTimestampMs(2), 77);
  cr_assert_eq(failures.newestTimestampMs(3), 0);
}

Test(failure_detector, a_new_view_forgets_those_that_are_not_in_it) {
  FailureDetector failures(kTimeout);
  failures.suspect(2);
  failures.suspect(9);
  failures.install(viewOfThree(), kNow);
  cr_assert(failures.isSuspected(2) && !failures.isSuspected(9));
  cr_assert(failures.receivedAt(4) == kNow, "a new member counts as just received");
  failures.clear();
  cr_assert(failures.suspected().empty() && !failures.receivedAt(4));
}
