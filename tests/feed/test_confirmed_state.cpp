// The control state that a daemon holds, and its confirmation.
#include "feed/confirmed_state.hpp"

#include "feed/age.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using feed::ConfirmedState;

namespace {

constexpr base::TimePoint kNow{std::chrono::hours(1)};

schema::ControlState stateOf(std::uint64_t sequence) {
  schema::ControlState state;
  state.version = {5, sequence};
  return state;
}

}  // namespace

Test(confirmed_state, versions_only_rise) {
  ConfirmedState held;
  cr_assert(held.set(stateOf(2)));
  cr_assert_not(held.set(stateOf(2)));
  cr_assert_not(held.set(stateOf(1)));
  cr_assert(held.set(stateOf(3)) && held.version() == (schema::StateVersion{5, 3}));
}

Test(confirmed_state, the_age_counts_from_the_newest_confirmation) {
  ConfirmedState held;
  held.set(stateOf(1));
  cr_assert_eq(held.confirmationAgeMs(kNow), feed::kUnknownAgeMs);
  held.confirmAt(kNow);
  held.confirmAt(kNow - Millis(500));
  cr_assert_eq(held.confirmationAgeMs(kNow + Millis(300)), 300u);
}

Test(confirmed_state, a_digest_leaves_out_what_the_primary_keeps_to_itself) {
  ConfirmedState primary, other;
  auto state = stateOf(1);
  other.set(state);
  state.takenOrders = {{1, 2}};
  primary.set(state);
  cr_assert_eq(primary.digest(), other.digest());
}

Test(confirmed_state, a_mismatch_confirms_nothing_and_is_dropped_and_replaced) {
  ConfirmedState held;
  held.set(stateOf(4));
  held.confirmAt(kNow);
  schema::Update update;
  update.stateVersion = {5, 3};
  update.stateDigest = held.digest() + 1;
  held.compare(update);
  cr_assert_not(held.hasMismatch(), "of another version");
  update.stateVersion = {5, 4};
  held.compare(update);
  cr_assert(held.hasMismatch());
  cr_assert_eq(held.confirmationAgeMs(kNow), feed::kUnknownAgeMs);
  cr_assert(held.dropMismatched(kNow, Millis(1000)) && !held.state());
  cr_assert_not(held.set(stateOf(3)), "older than what was dropped");
  cr_assert(held.set(stateOf(4)) && !held.hasMismatch());
  held.markMismatch();
  cr_assert_not(held.dropMismatched(kNow + Millis(999), Millis(1000)), "not so soon again");
}
