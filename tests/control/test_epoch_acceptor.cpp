// The voter's side of the agreement on epoch records.
#include "control/epoch_acceptor.hpp"

#include "members.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using control::EpochAcceptor;

namespace {
constexpr base::TimePoint kNow{std::chrono::hours(1)};
}  // namespace

Test(epoch_acceptor, a_lower_ballot_is_not_promised) {
  EpochAcceptor acceptor({});
  cr_assert(acceptor.promise(6, 10));
  cr_assert(acceptor.promise(6, 10), "the same again");
  cr_assert_not(acceptor.promise(6, 9));
  cr_assert_eq(acceptor.vote().promised, 10u);
  cr_assert(acceptor.promise(6, 11));
}

Test(epoch_acceptor, a_lower_ballot_or_an_earlier_slot_is_not_accepted) {
  EpochAcceptor acceptor({});
  const auto record = recordOf("b", {"c"}, {"a", "b", "c"}, 6);
  cr_assert(acceptor.promise(6, 10));
  cr_assert_not(acceptor.accept(6, 9, record, kNow));
  cr_assert(acceptor.acceptedAfter(5) == nullptr);
  cr_assert(acceptor.accept(6, 12, record, kNow));
  cr_assert(*acceptor.acceptedAfter(5) == record && acceptor.vote().promised == 12);
  cr_assert(acceptor.acceptedAfter(6) == nullptr, "of a slot that is decided");
  cr_assert(acceptor.acceptedAt() == kNow);
  cr_assert_not(acceptor.accept(5, 99, record, kNow));
}

Test(epoch_acceptor, a_later_slot_voids_the_vote_and_keeps_the_seal) {
  EpochAcceptor acceptor({});
  acceptor.seal(6, 5);
  cr_assert(acceptor.isSealed(5) && acceptor.isSealed(4) && !acceptor.isSealed(6));
  cr_assert(acceptor.accept(6, 10, recordOf("b", {}, {"a"}, 6), kNow));
  cr_assert(acceptor.promise(7, 1));
  cr_assert(acceptor.acceptedAfter(6) == nullptr);
  cr_assert(acceptor.isSealed(5));
  acceptor.seal(7, 3);
  cr_assert(acceptor.isSealed(5), "a seal is never taken back");
}

Test(epoch_acceptor, a_vote_that_was_on_disk_binds_after_a_restart) {
  EpochAcceptor before({});
  cr_assert(before.promise(6, 10));
  EpochAcceptor after(before.vote());
  cr_assert_not(after.promise(6, 9));
}
