// The tool that measures how the control side grows, at its smallest size. Nothing here rests on wall time.
#include <criterion/criterion.h>

#include <cmath>

#include "hollow/heap.hpp"
#include "hollow/report.hpp"

namespace hollow = indigohill::hollow;
using indigohill::base::Millis;

namespace {

hollow::Course shortCourse() {
  hollow::Course course;
  course.steady = Millis(5000);
  course.repeats = 2;
  course.parted = Millis(6000);
  return course;
}

std::vector<hollow::Figure> simulated(std::uint64_t seed) {
  hollow::Shape shape;
  shape.seed = seed;
  auto figures = hollow::measureFleet(shape, shortCourse());
  std::erase_if(figures, [](const auto& f) { return !f.simulated; });
  return figures;
}

double valueOf(const std::vector<hollow::Figure>& figures, const std::string& scenario, const std::string& measure,
               const std::string& role = "", const std::string& kind = "") {
  for (const auto& f : figures)
    if (f.scenario == scenario && f.measure == measure && f.role == role && f.kind == kind) return f.value;
  cr_assert_fail("no figure %s %s %s %s", scenario.c_str(), measure.c_str(), role.c_str(), kind.c_str());
  return std::nan("");
}

}  // namespace

Test(hollow, the_same_seed_gives_the_same_simulated_figures) {
  cr_assert_eq(hollow::csv(simulated(7)), hollow::csv(simulated(7)));
  cr_assert_neq(hollow::csv(simulated(7)), hollow::csv(simulated(8)));
}

Test(hollow, every_course_reaches_its_end) {
  const auto figures = simulated(1);
  for (const auto& f : figures) cr_assert(!std::isnan(f.value), "%s %s", f.scenario.c_str(), f.measure.c_str());
  // The bounds of the deployment, in simulated time: a configuration everywhere within 4 s, and a view within the
  // time-out and a margin for its agreement.
  cr_assert_leq(valueOf(figures, "change", "inForceEverywhereSlowest"), 4000);
  cr_assert_leq(valueOf(figures, "fault", "viewEverywhereSlowest"), 4000);
  cr_assert_leq(valueOf(figures, "zone lost", "viewEverywhere"), 4000);
  cr_assert_eq(valueOf(figures, "steady", "daemons", "router"), 8);
  for (const auto* role : {"primary", "backup", "witness", "lister"})
    cr_assert_eq(valueOf(figures, "steady", "daemons", role), 1, "%s", role);
}

Test(hollow, what_one_sends_another_receives) {
  hollow::Shape shape;
  shape.loss = 0;
  hollow::Fleet fleet(shape);
  cr_assert(fleet.runUntil(Millis(20000), [&] { return fleet.viewEverywhere() && fleet.primary(); }));
  fleet.change(1);
  cr_assert(fleet.runUntil(Millis(20000), [&] { return fleet.inForceEverywhere(1); }));
  fleet.run(Millis(5000));  // the configuration may be under way a second time to some
  fleet.setBack();
  fleet.run(Millis(10000));
  std::uint64_t sent = 0, received = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    sent += fleet.totals(i).sent();
    received += fleet.totals(i).received();
  }
  cr_assert_gt(sent, 0);
  // What is under way at either end of the span is all that they may differ by.
  cr_assert_lt(std::abs(static_cast<double>(sent) - static_cast<double>(received)), 0.02 * static_cast<double>(sent));
}

Test(hollow, a_view_with_a_killed_daemon_is_not_everywhere) {
  hollow::Shape shape;
  hollow::Fleet fleet(shape);
  cr_assert(fleet.runUntil(Millis(20000), [&] { return fleet.viewEverywhere(); }));
  fleet.kill(10);
  cr_assert_not(fleet.viewEverywhere());
  // As many daemons as the view has members, but one of them under a new incarnation.
  fleet.start(10);
  cr_assert_not(fleet.viewEverywhere());
  cr_assert(fleet.runUntil(Millis(20000), [&] { return fleet.viewEverywhere(); }));
}

Test(hollow, the_table_chooses_and_the_journal_is_bounded) {
  hollow::Shape shape;
  const auto figures = hollow::measureRouter(shape, 50);
  cr_assert_eq(valueOf(figures, "choice", "passed", "router"), 1);
  cr_assert_gt(valueOf(figures, "journal", "fullOfViews", "router"), 0);
}

Test(hollow, memory_is_put_down_to_the_account_that_was_open) {
  constexpr std::size_t kAccount = hollow::kAccounts - 2;
  std::unique_ptr<std::string> kept;
  const auto before = hollow::heapOf(kAccount).live;
  {
    const hollow::HeapScope scope(kAccount);
    kept = std::make_unique<std::string>(10000, 'x');
    const std::string dropped(50000, 'x');
  }
  const auto use = hollow::heapOf(kAccount);
  cr_assert_geq(use.live - before, 10000);
  cr_assert_lt(use.live - before, 10200);
  cr_assert_geq(use.most, before + 60000);
  kept.reset();  // freed outside: still off the same account
  cr_assert_eq(hollow::heapOf(kAccount).live, before);
}

Test(hollow, line_through_points) {
  const auto line = hollow::fit({{11, 32}, {88, 186}, {380, 770}, {500, std::nan("")}});
  cr_assert_float_eq(line.slope, 2, 1e-9);
  cr_assert_float_eq(line.start, 10, 1e-6);
  cr_assert_float_eq(hollow::power({{11, 121}, {88, 88 * 88}, {380, 380 * 380}}), 2, 1e-9);
}
