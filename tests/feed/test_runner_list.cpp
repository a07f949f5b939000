// The versioned list of runners and its changes.
#include "feed/runner_list.hpp"

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using feed::RunnerList;

namespace {

constexpr base::TimePoint kNow{std::chrono::hours(1)};

std::vector<schema::RunnerEntry> runnersOf(std::uint32_t count, std::uint32_t slots = 4) {
  std::vector<schema::RunnerEntry> out;
  for (std::uint32_t i = 0; i < count; ++i) {
    schema::RunnerEntry entry;
    entry.instanceId = std::string("r") + std::to_string(i);
    entry.slots = slots;
    out.push_back(entry);
  }
  return out;
}

// What `from` publishes for one that holds `base`.
std::pair<schema::Update, schema::UpdateContent> updateOf(const RunnerList& from, const schema::StateVersion& base) {
  schema::Update update;
  schema::UpdateContent content;
  update.runnersVersion = from.version();
  from.addTo(content, base);
  return {update, content};
}

}  // namespace

Test(runner_list, an_older_or_the_same_version_changes_nothing_but_the_time) {
  RunnerList list;
  cr_assert_not(list.isNewerThan({}));
  cr_assert(list.set({7, 2}, runnersOf(3), kNow));
  cr_assert_not(list.set({7, 1}, runnersOf(1), kNow + Millis(9)));
  cr_assert_not(list.set({7, 2}, runnersOf(1), kNow + Millis(5)));
  cr_assert(list.runners().size() == 3 && list.listedAt() == kNow + Millis(5));
  cr_assert(list.isNewerThan({7, 1}) && !list.isNewerThan({7, 2}));
}

Test(runner_list, changes_since_a_known_version_give_the_same_list) {
  RunnerList source, copy;
  source.set({7, 1}, runnersOf(9), kNow);
  copy.set({7, 1}, runnersOf(9), kNow);
  auto next = runnersOf(8);  // one is gone
  next[2].slots = 9;         // one differs
  source.set({7, 2}, next, kNow);
  const auto [update, content] = updateOf(source, {7, 1});
  cr_assert(content.runnersBase == (schema::StateVersion{7, 1}));
  cr_assert(content.runners.size() == 1 && content.gone == std::vector<std::string>({"r8"}));
  cr_assert(copy.apply(update, content, kNow));
  cr_assert(copy.runners() == source.runners() && copy.version() == source.version());
}

Test(runner_list, an_unknown_base_or_as_many_changes_gives_the_complete_list) {
  RunnerList source;
  source.set({7, 1}, runnersOf(3), kNow);
  source.set({7, 2}, runnersOf(3, 9), kNow);
  for (const auto& base : {schema::StateVersion{6, 1}, schema::StateVersion{7, 1}}) {
    const auto content = updateOf(source, base).second;
    cr_assert(content.runnersBase == schema::StateVersion{} && content.runners.size() == 3);
  }
}

Test(runner_list, changes_that_do_not_fit_are_not_taken_and_the_complete_list_is_requested) {
  RunnerList source, other;
  source.set({7, 1}, runnersOf(9), kNow);
  source.set({7, 2}, runnersOf(8), kNow);
  auto [update, content] = updateOf(source, {7, 1});
  other.set({7, 0}, runnersOf(9), kNow);
  cr_assert_not(other.apply(update, content, kNow), "of a base that is not held");
  cr_assert(other.versionToRequest() == schema::StateVersion{});
  RunnerList spoilt;
  spoilt.set({7, 1}, runnersOf(9), kNow);
  ++content.runnersDigest;
  cr_assert_not(spoilt.apply(update, content, kNow));
  cr_assert(spoilt.versionToRequest() == schema::StateVersion{} && spoilt.version() == (schema::StateVersion{7, 1}));
  const auto [completeUpdate, complete] = updateOf(source, {});
  cr_assert(spoilt.apply(completeUpdate, complete, kNow) && spoilt.versionToRequest() == source.version());
}
