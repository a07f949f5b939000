// The platform's list of runners.
#include "runners/list.hpp"

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;

Test(runners, a_page_is_read_and_a_bad_one_refused) {
  auto page = runners::parsePage(
      R"({"instances":[{"targetService":"s","address":"10.0.0.9:80","zone":"z","capacitySlots":6,"state":"draining",)"
      R"("warmupLeftMs":120,"instanceId":"i-1"}],"nextPageToken":"p-50"})");
  cr_assert(base::errorIn(page) == nullptr);
  const auto& p = std::get<0>(page);
  cr_assert_eq(p.nextPageToken, "p-50");
  cr_assert(p.runners.at(0).draining);
  cr_assert_eq(p.runners.at(0).slots, 6u);
  for (const auto* bad : {"", "{}", R"({"instances":3})", R"({"instances":[{"instanceId":"i"}]})"})
    cr_assert(base::errorIn(runners::parsePage(bad)) != nullptr, "%s", bad);
}

Test(runners, the_list_is_read_as_often_as_the_platform_bears) {
  settings::Settings s;
  s.drainTimeoutMs = Millis(4000);
  s.ratePerS = 300;
  cr_assert_eq(runners::listReadInterval(s, 1), Millis(666));
  cr_assert_eq(runners::listReadInterval(s, 12), Millis(666), "twelve pages are still a small part");
  s.ratePerS = 10;
  cr_assert_eq(runners::listReadInterval(s, 1), Millis(800));
  cr_assert_eq(runners::listReadInterval(s, 12), Millis(2400), "half of the calls");
  s.ratePerS = 40;
  cr_assert_eq(runners::listReadInterval(s, 12), Millis(4000 / 3), "soon enough for one that drains");
}
