// The settings file.
#include "settings/settings.hpp"

#include "settings_text.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using tests::settingsText;

namespace {

std::string faultOf(const base::Result<settings::Settings>& r) {
  const auto* bad = base::errorIn(r);
  return bad == nullptr ? "" : bad->message;
}

}  // namespace

Test(settings, reads_fields_with_dots_and_units) {
  auto read = settings::parse(settingsText());
  cr_assert_eq(faultOf(read), "");
  const auto& s = std::get<0>(read);
  cr_assert_eq(s.nodeName, "n1");
  cr_assert(s.gracePeriodS == std::chrono::seconds(8));
  cr_assert_float_eq(s.retryBudgetRatio, 0.2, 1e-9);
  cr_assert(s.bootstrap);
  cr_assert_eq(s.seedNodes.size(), 2u);
  cr_assert_eq(settings::text(s.seedNodes[1]), "10.0.0.2:8000");
  cr_assert_eq(settings::peerPort(s, true), 7001);
  cr_assert_eq(settings::missingFor(s, "router"), "");
}

Test(settings, a_fault_names_the_field) {
  const std::vector<std::pair<std::map<std::string, std::string>, std::string>> cases{
      {{{"nodeName", "-"}}, "nodeName"},
      {{{"zone", ""}}, "zone"},
      {{{"seedNodes", "10.0.0.1"}}, "seedNodes"},
      {{{"ipAddress", "10.0.0.256"}}, "ipAddress"},
      {{{"internalPortRange", "7000"}}, "internalPortRange"},
      {{{"internalPortRange", "7015,7000"}}, "internalPortRange"},
      {{{"bootstrap", "yes"}}, "bootstrap"},
      {{{"bounds.gracePeriodS", "-1"}}, "bounds.gracePeriodS"},
      {{{"bounds.retryBudgetRatio", "some"}}, "bounds.retryBudgetRatio"},
      {{{"limits.cpuCores", "1.5"}}, "limits.cpuCores"},
      {{{"logLevel", "loud"}}, "logLevel"}};
  for (const auto& [change, field] : cases)
    cr_assert(faultOf(settings::parse(settingsText(change))).starts_with(field + ":"), "%s: %s", field.c_str(),
              faultOf(settings::parse(settingsText(change))).c_str());
  auto noFront = settings::parse(settingsText({{"bindAddresses.frontend", "-"}}));
  cr_assert(settings::missingFor(std::get<0>(noFront), "router").starts_with("bindAddresses.frontend:"));
  cr_assert_eq(settings::missingFor(std::get<0>(noFront), "controller"), "");
  cr_assert(base::errorIn(settings::read("/nonexistent/file")) != nullptr);
}
