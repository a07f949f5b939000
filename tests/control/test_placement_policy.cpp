// The choice of voters and backups.
#include "control/placement_policy.hpp"

#include "members.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using control::PlacementPolicy;

namespace {

using Names = std::vector<std::string>;

constexpr Millis kReplacementDelay{3000}, kNewcomerWindow{1000};
const std::string kSelf = "a";
const Names kZones{"z1", "z2", "z3"};

// A primary `a` with backup `b` among the voters a, b, c in three zones, and what it has observed.
struct Setting {
  control::ClusterView cluster = clusterOf({"a", "b", "c"}, kZones);
  schema::EpochRecord record = recordOf("a", {"b"}, {"a", "b", "c"});
  control::MemberTracker members{kSelf};
  std::size_t faultTolerance = 1;
  base::TimePoint now{std::chrono::hours(1)};

  Setting() { observe(); }
  void observe() { members.observe(cluster, record, now); }
  void add(const std::string& zone, const std::string& voterId) {
    cluster.controllers.push_back(controllerIn(zone, voterId));
  }
  void lose(const std::string& voterId) {
    std::erase_if(cluster.controllers, [&](const auto& member) { return member.voterId == voterId; });
    observe();
  }
  PlacementPolicy policy() const {
    return PlacementPolicy({kSelf, record, cluster, members, faultTolerance, kReplacementDelay, kNewcomerWindow, now});
  }
};

}  // namespace

Test(placement_policy, nothing_changes_while_all_are_there) {
  Setting setting;
  setting.add("z1", "d");
  setting.observe();
  const auto next = setting.policy().nextRecord();
  cr_assert(next.has_value());
  cr_assert(next->epoch == 6 && next->primary == "a");
  cr_assert(next->voters == setting.record.voters && next->backups == setting.record.backups);
}

Test(placement_policy, a_missing_voter_is_replaced_after_the_delay_best_in_its_zone) {
  Setting setting;
  setting.add("z2", "d");
  setting.add("z3", "e");
  setting.observe();
  setting.now += kNewcomerWindow + Millis(1);  // what has been there for longer is no newcomer
  setting.lose("c");
  setting.now += kReplacementDelay - Millis(1);
  cr_assert(setting.policy().chooseVoters() == Names({"a", "b", "c"}));
  setting.now += Millis(1);
  cr_assert(setting.policy().chooseVoters() == Names({"a", "b", "e"}));
}

Test(placement_policy, a_newcomer_replaces_a_lost_voter_without_delay) {
  Setting setting;
  setting.now += Millis(10'000);
  setting.add("z3", "e");
  setting.observe();
  setting.lose("c");
  cr_assert(setting.policy().chooseVoters() == Names({"a", "b", "e"}));
}

Test(placement_policy, a_wiped_machine_takes_the_place_of_its_former_voter_at_once) {
  Setting setting;
  setting.add("z3", "c/0001");
  setting.lose("c");
  cr_assert(setting.policy().chooseVoters() == Names({"a", "b", "c/0001"}));
}

Test(placement_policy, a_retiring_voter_is_replaced_and_a_retiring_candidate_is_not_chosen) {
  Setting setting;
  setting.add("z3", "d");
  setting.add("z3", "e");
  setting.observe();
  setting.members.markRetiring("c", setting.now);
  setting.members.markRetiring("d", setting.now);
  cr_assert(setting.policy().chooseVoters() == Names({"a", "b", "e"}));
}

Test(placement_policy, voters_grow_to_what_the_fault_tolerance_calls_for_and_stay_odd) {
  Setting setting;
  setting.faultTolerance = 2;
  setting.add("z1", "d");
  setting.observe();
  cr_assert_eq(setting.policy().chooseVoters().size(), 3u, "four storage nodes tolerate no more than three");
  setting.add("z2", "e");
  setting.observe();
  cr_assert(setting.policy().chooseVoters() == Names({"a", "b", "c", "d", "e"}));
}

Test(placement_policy, no_zone_keeps_more_voters_than_may_be_lost) {
  Setting setting;
  setting.cluster = clusterOf({"a", "b", "c", "d"}, {"z1", "z1", "z2", "z3"});
  setting.observe();
  const auto voters = setting.policy().chooseVoters();
  cr_assert(voters == Names({"a", "c", "d"}));
}

Test(placement_policy, backups_are_chosen_by_doubt_then_zone_then_standing) {
  Setting setting;
  setting.cluster = clusterOf({"a", "b", "c", "d"}, {"z1", "z1", "z2", "z2"});
  setting.record = recordOf("a", {"b"}, {"a", "b", "d"});
  setting.observe();
  // The backup in force shares the primary's zone: one of another zone, a voter first.
  cr_assert(setting.policy().replicasShareOneZone());
  cr_assert(setting.policy().nextRecord()->backups == Names({"d"}));
  setting.members.markUnresponsive("d", setting.now);
  cr_assert(setting.policy().nextRecord()->backups == Names({"c"}));
}

Test(placement_policy, without_enough_backups_there_is_no_record) {
  Setting setting;
  setting.lose("b");
  setting.lose("c");
  cr_assert_not(setting.policy().nextRecord().has_value());
  cr_assert(setting.policy().chooseInstalledBackups(1, {"b"}).empty());
}

Test(placement_policy, installed_backups_count_as_responsive) {
  Setting setting;
  setting.members.markUnresponsive("b", setting.now);
  cr_assert(setting.policy().chooseInstalledBackups(1, {"b"}) == Names({"b"}));
}

Test(placement_policy, who_may_retire) {
  Setting setting;
  setting.members.markSelfRetiring();
  setting.cluster.voters = setting.record.voters;
  cr_assert_not(setting.policy().mayRetire(), "a primary hands over first");
  setting.record.primary = "b";
  setting.record.backups = {"a"};
  cr_assert_not(setting.policy().mayRetire(), "another can be the backup");
  setting.record.backups = {"c"};
  cr_assert(setting.policy().mayRetire(), "nobody can take its vote");
  setting.add("z1", "d");
  setting.observe();
  cr_assert_not(setting.policy().mayRetire(), "another can take its vote");
  setting.record.voters = {"b", "c", "d"};
  cr_assert_not(setting.policy().mayRetire(), "the view still rests on it");
  setting.cluster.voters = setting.record.voters;
  cr_assert(setting.policy().mayRetire());
}
