// When a backup takes over from the primary.
#include "control/primary_monitor.hpp"

#include "members.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using control::PrimaryMonitor;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr control::ReplicaTimes kTimes;

struct Setting {
  control::ClusterView cluster = clusterOf({"a", "b", "c"}, {"z1", "z2", "z3"});
  schema::EpochRecord record = recordOf("a", {"b", "c"}, {"a", "b", "c"});
  PrimaryMonitor monitor;

  Setting() { monitor.reset(kStart); }
  bool takesOver(const std::string& backup, base::TimePoint now) {
    return monitor.shouldTakeOver(backup, record, cluster, kTimes, now);
  }
};

}  // namespace

Test(primary_monitor, a_silent_primary_is_taken_over_by_one_backup_after_the_other) {
  Setting setting;
  const auto timeout = kStart + kTimes.electionTimeout;
  cr_assert_not(setting.takesOver("b", timeout));
  cr_assert(setting.takesOver("b", timeout + Millis(1)));
  cr_assert_not(setting.takesOver("c", timeout + kTimes.electionStagger));
  cr_assert(setting.takesOver("c", timeout + kTimes.electionStagger + Millis(1)));
  setting.monitor.onHeartbeat({5, 1}, timeout);
  cr_assert_not(setting.takesOver("b", timeout + Millis(1)));
  cr_assert(setting.monitor.announcedVersion() == (schema::StateVersion{5, 1}));
}

Test(primary_monitor, a_primary_that_left_the_view_is_taken_over_at_once) {
  Setting setting;
  std::erase_if(setting.cluster.controllers, [](const auto& member) { return member.voterId == "a"; });
  cr_assert(setting.takesOver("b", kStart));
  cr_assert_not(setting.takesOver("c", kStart));
  cr_assert(setting.takesOver("c", kStart + kTimes.electionStagger));
}

Test(primary_monitor, a_backup_that_is_asked_takes_over) {
  Setting setting;
  setting.monitor.onTransferRequest();
  cr_assert(setting.takesOver("c", kStart));
  setting.monitor.reset(kStart);
  cr_assert_not(setting.takesOver("c", kStart), "the request was about the epoch before");
}

Test(primary_monitor, a_primary_is_fresh_for_some_heartbeats) {
  PrimaryMonitor monitor;
  cr_assert_not(monitor.isFresh(kStart, Millis(400)));
  monitor.onHeartbeat({}, kStart);
  cr_assert(monitor.isFresh(kStart + Millis(1599), Millis(400)));
  cr_assert_not(monitor.isFresh(kStart + Millis(1600), Millis(400)));
}
