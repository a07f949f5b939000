// Who asks to join, and who has to wait.
#include "membership/joiner_list.hpp"

#include "views.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using membership::JoinerList;

namespace {
constexpr membership::Times kTimes;
constexpr base::TimePoint kNow{std::chrono::hours(1)};
}  // namespace

Test(joiner_list, a_joiner_that_asks_no_more_is_not_taken_in_and_then_dropped) {
  JoinerList joiners(kTimes);
  joiners.put({memberOf("r", 0), kNow, 3});
  const auto* joiner = joiners.find("r");
  cr_assert(joiner != nullptr && joiner->watermark == 3);
  cr_assert(joiners.isCurrent(*joiner, kNow + 4 * kTimes.joinInterval));
  cr_assert_not(joiners.isCurrent(*joiner, kNow + 4 * kTimes.joinInterval + Millis(1)));
  joiners.expire(kNow + 5 * kTimes.joinInterval);
  cr_assert(joiners.find("r") != nullptr);
  joiners.expire(kNow + 5 * kTimes.joinInterval + Millis(1));
  cr_assert(joiners.find("r") == nullptr);
}

Test(joiner_list, a_denied_joiner_waits_and_twice_as_long_if_it_failed_again) {
  JoinerList joiners(kTimes);
  const auto wait = 2 * kTimes.suspicionTimeout;
  joiners.deny("r", kNow);
  cr_assert(joiners.isDenied("r", kNow + wait - Millis(1)) && !joiners.isDenied("r", kNow + wait));
  for (int again = 0; again < 3; ++again) {
    joiners.deny("r", kNow);
    cr_assert(joiners.isDenied("r", kNow + 2 * wait - Millis(1)) && !joiners.isDenied("r", kNow + 2 * wait));
  }
  joiners.expire(kNow + 2 * wait + 4 * kTimes.suspicionTimeout);
  joiners.deny("r", kNow);
  cr_assert_not(joiners.isDenied("r", kNow + wait), "long ago is forgotten");
}

Test(joiner_list, one_that_the_view_has_taken_in_is_dropped_but_not_its_next_life) {
  JoinerList joiners(kTimes);
  auto restarted = memberOf("c2", 2, "v2");
  restarted.bootId = 77;
  joiners.put({memberOf("r", 4), kNow, 0});
  joiners.put({restarted, kNow, 0});
  joiners.install(viewOfThree());
  cr_assert(joiners.find("r") == nullptr && joiners.find("c2") != nullptr);
}
