#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// The platform's list of runners.
namespace indigohill::runners {

struct Page {
  std::vector<schema::RunnerEntry> runners;
  std::string nextPageToken;
};

base::Result<Page> parsePage(std::string_view body);

// How often a list of so many pages, each a call, is read: often enough that a runner that drains is known well within
// the drain bound, with a small part of the calls that the platform takes. Where both cannot be, up to half of the
// calls.
base::Millis listReadInterval(const settings::Settings& settings, std::size_t pages);

// The same runners in the same states. What only counts down (the rest of a warm-up) makes no news by itself.
bool sameRunners(const std::vector<schema::RunnerEntry>& a, const std::vector<schema::RunnerEntry>& b,
                 base::Millis between);

}  // namespace indigohill::runners
