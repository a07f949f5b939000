// What a replica has observed of the other controllers.
#include "control/member_tracker.hpp"

#include "members.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using control::MemberTracker;

namespace {
constexpr base::TimePoint kNow{std::chrono::hours(1)};
const schema::EpochRecord kRecord = recordOf("a", {"b"}, {"a", "b", "c"});
}  // namespace

Test(member_tracker, a_voter_is_missing_from_the_first_view_without_it) {
  MemberTracker members("a");
  members.observe(clusterOf({"a", "b", "c"}, {"z1", "z2", "z3"}), kRecord, kNow);
  cr_assert_not(members.missingSince("c").has_value());
  members.observe(clusterOf({"a", "b"}, {"z1", "z2"}), kRecord, kNow + Millis(100));
  members.observe(clusterOf({"a", "b"}, {"z1", "z2"}), kRecord, kNow + Millis(200));
  cr_assert(members.missingSince("c") == kNow + Millis(100));
  cr_assert_eq(members.lastZone("c"), "z3");
  members.observe(clusterOf({"a", "b", "c"}, {"z1", "z2", "z3"}), kRecord, kNow + Millis(300));
  cr_assert_not(members.missingSince("c").has_value());
}

Test(member_tracker, a_newcomer_came_up_shortly_before_a_voter_was_missed) {
  MemberTracker members("a");
  const auto d = controllerIn("z3", "d"), e = controllerIn("z3", "e");
  auto cluster = clusterOf({"a", "b", "c", "d"}, {"z1", "z2", "z3", "z3"});
  members.observe(cluster, kRecord, kNow);
  cluster.controllers.push_back(e);
  members.observe(cluster, kRecord, kNow + Millis(1000));
  std::erase_if(cluster.controllers, [](const auto& member) { return member.voterId == "c"; });
  members.observe(cluster, kRecord, kNow + Millis(2000));
  cr_assert(members.isNewcomerFor("c", e, Millis(1000)));
  cr_assert_not(members.isNewcomerFor("c", e, Millis(999)), "too long before");
  cr_assert_not(members.isNewcomerFor("c", d, Millis(1000)), "was in the first view");
  cr_assert_not(members.isNewcomerFor("b", e, Millis(1000)), "is not missing");
}

Test(member_tracker, unresponsiveness_ends_with_an_answer_or_after_a_while) {
  MemberTracker members("a");
  members.markUnresponsive("b", kNow);
  cr_assert(members.isUnresponsive("b", kNow + Millis(4999)));
  cr_assert_not(members.isUnresponsive("b", kNow + Millis(5000)));
  members.markResponsive("b");
  cr_assert_not(members.isUnresponsive("b", kNow));
}

Test(member_tracker, an_announcement_to_retire_has_to_be_repeated) {
  MemberTracker members("a");
  members.markRetiring("b", kNow);
  cr_assert(members.isRetiring("b", kNow + Millis(1499)) && members.hasAnnouncedRetirement("b"));
  cr_assert_not(members.isRetiring("b", kNow + Millis(1500)));
  members.expire(kNow + Millis(1500));
  cr_assert_not(members.hasAnnouncedRetirement("b"));
  cr_assert_not(members.isRetiring("a", kNow));
  members.markSelfRetiring();
  cr_assert(members.isRetiring("a", kNow));
}
