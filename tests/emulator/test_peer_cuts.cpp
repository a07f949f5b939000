#include "emulator/peer_cuts.hpp"

#include <unistd.h>

#include <filesystem>
#include <memory>
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::emulator;

namespace {

// Two controllers and two routers in each of the three zones.
class Cutting {
 public:
  Cutting() {
    experiment_.controllers = experiment_.routers = 2 * experiment_.zones;
    cuts_ = std::make_unique<PeerCuts>(experiment_, network_, records_, path_);
  }
  ~Cutting() { std::filesystem::remove(path_); }
  Cutting(const Cutting&) = delete;
  Cutting& operator=(const Cutting&) = delete;

  PeerCuts& cuts() { return *cuts_; }
  const Records& records() const { return records_; }
  std::size_t count() const { return readCutFile(path_).size(); }
  bool isCut(Role from, std::size_t machine, Role to, std::size_t other) const {
    return readCutFile(path_).contains({network_.peer(from, machine), network_.peer(to, other)});
  }

 private:
  Experiment experiment_;
  Network network_{77};
  Records records_;
  std::string path_ = std::filesystem::temp_directory_path() / ("cuts-" + std::to_string(::getpid()));
  std::unique_ptr<PeerCuts> cuts_;
};

}  // namespace

Test(peer_cuts, a_zone_is_cut_off_in_both_directions_with_all_its_daemons) {
  Cutting cutting;
  cr_assert_eq(cutting.count(), 0u);
  const auto cut = cutting.cuts().begin(CutKind::Zone, 1);
  cr_assert_eq(cutting.count(), 2u * 4 * 8, "its four daemons and the eight others");
  cr_assert(cutting.isCut(Role::Router, 1, Role::Controller, 0) && cutting.isCut(Role::Controller, 0, Role::Router, 4));
  cr_assert(!cutting.isCut(Role::Router, 1, Role::Controller, 4) && !cutting.isCut(Role::Router, 0, Role::Router, 2));
  cr_assert(!cutting.cuts().reaches(1, 0) && cutting.cuts().reaches(0, 2));
  cutting.cuts().end(cut);
  cr_assert_eq(cutting.count(), 0u);
  cr_assert(cutting.records().cuts.front().until != base::TimePoint::max());
}

Test(peer_cuts, one_way_loses_what_goes_out_and_a_bridge_leaves_the_third_zone_in_touch) {
  Cutting cutting;
  const auto oneWay = cutting.cuts().begin(CutKind::OneWay, 0);
  cr_assert(cutting.isCut(Role::Router, 0, Role::Router, 1) && !cutting.isCut(Role::Router, 1, Role::Router, 0));
  cutting.cuts().end(oneWay);
  cutting.cuts().begin(CutKind::Bridge, 2);
  cr_assert(cutting.isCut(Role::Router, 2, Role::Router, 0) && cutting.isCut(Role::Router, 0, Role::Router, 2));
  cr_assert(!cutting.isCut(Role::Router, 2, Role::Router, 1) && !cutting.isCut(Role::Router, 0, Role::Router, 1));
}

Test(peer_cuts, controllers_are_cut_off_from_controllers_alone) {
  Cutting cutting;
  cutting.cuts().begin(CutKind::Controllers, 0);
  cr_assert(cutting.isCut(Role::Controller, 0, Role::Controller, 1));
  cr_assert(!cutting.isCut(Role::Router, 0, Role::Controller, 1) &&
            !cutting.isCut(Role::Controller, 0, Role::Router, 1));
  cr_assert(cutting.cuts().reaches(0, 1), "applications reach them");
}

Test(peer_cuts, cuts_overlap_and_end_each_for_itself) {
  Cutting cutting;
  const auto first = cutting.cuts().begin(CutKind::Zone, 0);
  cutting.cuts().begin(CutKind::Bridge, 0);
  cutting.cuts().end(first);
  cr_assert(cutting.isCut(Role::Router, 0, Role::Router, 1) && !cutting.isCut(Role::Router, 0, Role::Router, 2));
  cutting.cuts().endAll();
  cr_assert_eq(cutting.count(), 0u);
}
