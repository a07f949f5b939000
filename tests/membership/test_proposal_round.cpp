// The coordinator's side of one proposed view.
#include "membership/proposal_round.hpp"

#include "views.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using membership::ProposalRound;

namespace {

constexpr base::TimePoint kNow{std::chrono::hours(1)};

ProposalRound roundOfThree() {
  schema::Propose proposal;
  proposal.proposalId = 7;
  proposal.result = viewOfThree();
  return {proposal, kNow, kNow};
}

}  // namespace

Test(proposal_round, is_complete_with_all_members_and_has_a_quorum_before) {
  auto round = roundOfThree();
  round.acknowledge(1, {1, 1});
  cr_assert_not(round.isAcknowledgedByQuorum());
  round.acknowledge(4, {1, 1});
  cr_assert_not(round.isAcknowledgedByQuorum(), "a router is no voter");
  round.acknowledge(2, {1, 1});
  cr_assert(round.isAcknowledgedByQuorum() && !round.isAcknowledgedByAll());
  cr_assert(round.unacknowledged().size() == 1 && round.unacknowledged()[0]->incarnation == 3);
  round.acknowledge(3, {1, 1});
  cr_assert(round.isAcknowledgedByAll());
}

Test(proposal_round, the_commit_names_who_holds_the_newest_state) {
  auto round = roundOfThree();
  round.acknowledge(1, {2, 1});
  round.acknowledge(2, {2, 5});
  round.acknowledge(3, {2, 5});
  round.acknowledge(4, {1, 9});
  const auto commit = round.commit();
  cr_assert(commit.flushVersion == (schema::StateVersion{2, 5}) && commit.flushHolder == 2);
  cr_assert(commit.result == viewOfThree());
}

Test(proposal_round, the_complete_view_is_sent_again_only_after_a_pause_in_the_answers) {
  auto round = roundOfThree();
  round.noteFullSent(kNow);
  cr_assert_not(round.isFullSendDue(kNow + Millis(199), Millis(200)));
  round.noteAnswer(kNow + Millis(100));
  cr_assert_not(round.isFullSendDue(kNow + Millis(200), Millis(200)));
  cr_assert(round.isFullSendDue(kNow + Millis(300), Millis(200)));
}
