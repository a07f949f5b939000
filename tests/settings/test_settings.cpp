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

Test(settings, whole_numbers_may_be_written_with_a_point_or_an_exponent) {
  for (const auto* text : {"8", "8.0", "8e0", "0.8e1"}) {
    auto read = settings::parse(settingsText({{"limits.memoryMb", text}}));
    cr_assert_eq(faultOf(read), "", "%s", text);
    cr_assert_eq(std::get<0>(read).memoryMb, 8u);
  }
  for (const auto* text : {"8.5", "-1", "-1.0", "true", "8x", "1e300", "inf", "nan"})
    cr_assert(faultOf(settings::parse(settingsText({{"limits.memoryMb", text}}))).starts_with("limits.memoryMb:"), "%s",
              text);
}

Test(settings, a_number_or_flag_that_cannot_be_read_is_as_before_for_a_daemon) {
  auto previous = settings::defaultSettings();
  previous.memoryMb = 78;
  const std::map<std::string, std::string> spoilt{{"limits.memoryMb", "8.5"},      {"bootstrap", "yes"},
                                                  {"bounds.gracePeriodS", "true"}, {"bounds.retryBudgetRatio", "-1"},
                                                  {"policy.blockTokens", "x"},     {"logLevel", "loud"}};
  auto read = settings::parseTolerantly(settingsText(spoilt), previous);
  cr_assert(base::errorIn(read) == nullptr);
  const auto& [taken, unreadable] = std::get<0>(read);
  cr_assert_eq(unreadable.size(), spoilt.size());
  for (const auto& field : unreadable)
    cr_assert(spoilt.count(field.substr(0, field.find(':'))) == 1, "%s", field.c_str());
  cr_assert_eq(taken.memoryMb, 78u);
  cr_assert_not(taken.bootstrap);
  cr_assert(taken.gracePeriodS == previous.gracePeriodS);
  cr_assert_eq(taken.policy.blockTokens, previous.policy.blockTokens);
  cr_assert_eq(taken.logLevel, "info");
  cr_assert_eq(taken.seedNodes.size(), 2u);
}

Test(settings, names_and_addresses_must_be_readable_for_a_daemon_too) {
  const auto previous = settings::defaultSettings();
  for (const auto& [field, text] : std::map<std::string, std::string>{
           {"nodeName", "-"}, {"seedNodes", "x"}, {"ipAddress", "x"}, {"internalPortRange", "1"}})
    cr_assert(faultOf(settings::parse(settingsText({{field, text}}))).starts_with(field));
  for (const auto& [field, text] : std::map<std::string, std::string>{
           {"nodeName", "-"}, {"seedNodes", "x"}, {"ipAddress", "x"}, {"internalPortRange", "1"}})
    cr_assert(base::errorIn(settings::parseTolerantly(settingsText({{field, text}}), previous)) != nullptr);
}
