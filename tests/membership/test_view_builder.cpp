// What the next view holds.
#include "membership/view_builder.hpp"

#include "views.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;

namespace {

constexpr membership::Times kTimes;
constexpr base::TimePoint kNow{std::chrono::hours(1)};

// What the manager c1 (incarnation 1) knows.
struct Manager {
  std::string id = "c1";
  membership::FailureDetector failures{kTimes.suspicionTimeout};
  std::set<std::uint64_t> leaving;
  membership::JoinerList joiners{kTimes};
  membership::VoterSet voters{5, {"v1", "v2", "v3"}};
  std::uint64_t successor = 0;

  std::optional<schema::ViewChange> extend(schema::View& view, bool joinsAlone = true) const {
    return membership::extend(view, {id, 1, failures, leaving, joiners, voters, successor, kNow}, joinsAlone);
  }
};

}  // namespace

Test(view_builder, without_changes_there_is_no_extension) {
  auto view = viewOfThree();
  cr_assert_not(Manager().extend(view).has_value());
  cr_assert(view == viewOfThree());
}

Test(view_builder, failed_and_leaving_members_go_and_joiners_get_incarnations) {
  Manager manager;
  manager.failures.suspect(3);
  manager.leaving.insert(4);
  manager.joiners.put({memberOf("new", 0), kNow, 0});
  auto view = viewOfThree();
  const auto change = manager.extend(view);
  cr_assert(change.has_value());
  cr_assert(change->failures == std::vector<std::uint64_t>({3, 4}));
  cr_assert(change->joins.size() == 1 && change->joins[0].incarnation == 101);
  cr_assert(view.number == 102 && view.members.size() == 3);
}

Test(view_builder, joins_wait_for_the_round_under_way) {
  Manager manager;
  manager.joiners.put({memberOf("new", 0), kNow, 0});
  auto view = viewOfThree();
  cr_assert_not(manager.extend(view, false).has_value());
  manager.failures.suspect(4);
  cr_assert_eq(manager.extend(view, false)->joins.size(), 1u, "they come along with a failure");
}

Test(view_builder, a_daemon_with_another_boot_id_has_restarted) {
  Manager manager;
  auto restarted = memberOf("r", 4);
  restarted.bootId = 77;
  manager.joiners.put({restarted, kNow, 0});
  auto view = viewOfThree();
  const auto change = manager.extend(view);
  cr_assert(change && change->failures == std::vector<std::uint64_t>({4}) && change->joins.size() == 1);
}

Test(view_builder, denied_joiners_stay_outside) {
  Manager manager;
  manager.joiners.put({memberOf("new", 0), kNow, 0});
  manager.joiners.deny("new", kNow);
  auto view = viewOfThree();
  cr_assert_not(manager.extend(view).has_value());
}

Test(view_builder, the_voters_of_a_newer_record_take_the_view_over_with_a_gap_in_its_numbers) {
  Manager manager;
  manager.voters = {6, {"v1", "v2", "v4"}};
  auto view = viewOfThree();
  const auto change = manager.extend(view);
  cr_assert(change && change->failures.empty() && change->joins.empty());
  cr_assert(view.epoch == 6 && view.voters == manager.voters.voters);
  cr_assert_eq(view.number, 100u + (1u << 16) + 1);
}

Test(view_builder, a_lost_discovery_leader_is_followed_by_its_successor_or_the_oldest_controller) {
  Manager manager;
  auto view = viewOfThree();
  view.discoveryLeader = 2;
  manager.failures.suspect(2);
  auto named = view;
  cr_assert(manager.extend(view) && view.discoveryLeader == 1);
  manager.successor = 3;
  cr_assert(manager.extend(named) && named.discoveryLeader == 3);
}

Test(view_builder, an_extension_of_an_older_view_is_made_to_the_present_one) {
  schema::Propose old;
  old.result.number = 150;
  auto ghost = memberOf("ghost", 120), joiner = memberOf("new", 121), known = memberOf("r", 122);
  old.steps = {{{3}, {ghost, joiner, known}}, {{120}, {}}};
  schema::Propose proposal;
  membership::rebase(old, viewOfThree(), proposal);
  const auto& change = proposal.steps.at(0);
  cr_assert(change.failures == std::vector<std::uint64_t>({3}));
  cr_assert(change.joins.size() == 1 && change.joins[0].id == "new" && change.joins[0].incarnation == 151);
  cr_assert_eq(proposal.result.number, 152u);
}

Test(view_builder, controllers_found_the_group_voters_first_and_far_above_all_numbers_used) {
  membership::JoinerList joiners(kTimes);
  joiners.put({memberOf("c9", 0, "v9"), kNow, 500});
  joiners.put({memberOf("c2", 0, "v2"), kNow, 900});
  joiners.put({memberOf("c1", 0, "v1"), kNow, 0});
  joiners.put({memberOf("r", 0), kNow, 700});
  const membership::VoterSet voters{5, {"v1", "v2", "v3"}};
  auto plan = membership::planFounding("v2", 100, voters, joiners, kNow);
  cr_assert(plan.watermark == 900 && plan.votersBefore == 1 && plan.view.members.size() == 3);
  const auto proposal = membership::foundingProposal(std::move(plan), "c2");
  cr_assert(proposal.founding);
  const auto& view = proposal.result;
  cr_assert_eq(view.members[0].incarnation, 900u + (1u << 20) + 1);
  cr_assert(view.members[0].id == "c1" && view.members[1].id == "c2" && view.members[2].id == "c9");
  cr_assert(proposal.proposer == view.members[1].incarnation && view.discoveryLeader == view.members[0].incarnation);
  cr_assert_eq(view.number, view.members[2].incarnation + 1);
}
