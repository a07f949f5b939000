// A settings file that changes while a daemon runs.
#include "cli/settings_watch.hpp"

#include <filesystem>
#include <fstream>
#include "settings_text.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using tests::settingsText;

Test(settings, a_changed_file_is_taken_and_a_bad_one_is_not) {
  const std::string path = "/tmp/indigohill-settings-" + std::to_string(getpid());
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  write(settingsText());
  cli::SettingsWatch watch(path, "router", std::get<0>(settings::read(path)));
  write(settingsText({{"seedNodes", "10.0.0.9:8000"}}));
  cr_assert(watch.check(true));
  cr_assert_eq(watch.current().seedNodes.size(), 1u);
  write(settingsText({{"seedNodes", "nonsense"}}));
  cr_assert_not(watch.check(true));
  write(settingsText({{"bindAddresses.frontend", "-"}}));
  cr_assert_not(watch.check(true));
  cr_assert_eq(settings::text(watch.current().seedNodes.at(0)), "10.0.0.9:8000");
  write(settingsText({{"seedNodes", "10.0.0.8:8000"}, {"bounds.gracePeriodS", "-1"}}));
  cr_assert(watch.check(true));
  cr_assert_eq(settings::text(watch.current().seedNodes.at(0)), "10.0.0.8:8000");
  cr_assert(watch.current().gracePeriodS == std::chrono::seconds(8));
  std::remove(path.c_str());
}
