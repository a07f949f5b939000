// The bounded journal of events.
#include "base/journal.hpp"

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;

Test(journal, folds_every_event_and_keeps_a_bounded_number) {
  base::Journal<int, std::vector<int>> journal([](std::vector<int>& sum, int e) { sum.push_back(e); }, 4);
  const auto before = journal.state();
  for (int i = 0; i < 10; ++i) journal.append(i);
  cr_assert_eq(journal.kept(), 4u);
  cr_assert_eq(journal.appended(), 10u);
  cr_assert_eq(journal.state()->size(), 10u);
  cr_assert_eq(before->size(), 0u);
}
