// Addresses at which the group may be found.
#include "membership/discovery.hpp"

#include <set>

#include "views.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using base::Millis;
using membership::Discovery;
using Addresses = std::vector<settings::Endpoint>;

namespace {

constexpr Millis kTimeout{2000};
constexpr base::TimePoint kNow{std::chrono::hours(1)};
const settings::Endpoint kSelf{1, 1}, kSeed{8, 1};

schema::Contacts contactsOf(std::vector<std::uint32_t> ips) {
  schema::Contacts out;
  for (const auto ip : ips) out.members.push_back({ip, 1});
  return out;
}

}  // namespace

Test(discovery, contacts_are_announced_members_seeds_and_the_last_controllers_without_the_own) {
  Discovery discovery(kSelf, {kSelf, kSeed}, kTimeout);
  cr_assert(discovery.contacts() == Addresses({kSeed}));
  discovery.install(nullptr, viewOfThree(), kNow);
  discovery.remember(contactsOf({1, 7, 8}), true, kNow);
  cr_assert(discovery.contacts() == Addresses({{7, 1}, {8, 1}, {2, 1}, {3, 1}}));
  discovery.expire(kNow + 2 * kTimeout + Millis(1));
  cr_assert(discovery.contacts() == Addresses({{8, 1}, {2, 1}, {3, 1}}));
}

Test(discovery, only_what_was_announced_here_is_passed_on) {
  Discovery discovery(kSelf, {}, kTimeout);
  discovery.remember(contactsOf({5}), false, kNow);
  cr_assert(discovery.announcedTo(kSeed).members.empty());
  discovery.remember(contactsOf({5, 6}), true, kNow);
  cr_assert_eq(discovery.announcedTo(kSeed).members.size(), 2u);
  cr_assert_eq(discovery.announcedTo({6, 1}).members.size(), 1u, "not to itself");
}

Test(discovery, missing_daemons_are_seeds_outside_the_view_and_failed_members_in_turn) {
  auto before = viewOfThree();
  for (std::uint64_t i = 10; i < 16; ++i) before.members.push_back(memberOf("r" + std::to_string(i), i));
  Discovery discovery(kSelf, {{2, 1}, kSeed}, kTimeout);
  discovery.install(nullptr, before, kNow);
  discovery.install(&before, viewOfThree(), kNow);
  std::set<settings::Endpoint> announced;
  for (int round = 0; round < 2; ++round) {
    const auto missing = discovery.missingDaemons(viewOfThree(), kNow);
    cr_assert(missing.size() == 5 && missing[0] == kSeed, "a seed that is a member needs no announcement");
    announced.insert(missing.begin(), missing.end());
  }
  cr_assert_eq(announced.size(), 7u);
  cr_assert(discovery.missingDaemons(viewOfThree(), kNow + 31 * kTimeout) == Addresses({kSeed}));
}
