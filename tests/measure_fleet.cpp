// Prints, for sizes given on the command line, how long the group and the news take after faults, and what it costs.
#include <fmt/format.h>

#include <cstdlib>

#include "fleet.hpp"

using namespace indigohill;
using tests::Fleet;

namespace {
std::string text(std::optional<double> took) { return took ? fmt::format("{:.2f}", *took) : std::string("never"); }

void cost(Fleet& fleet, double seconds, const char* what) {
  std::uint64_t bytes = 0, messages = 0;
  std::vector<std::pair<std::uint64_t, std::string>> kinds;
  for (const auto& [kind, count] : fleet.counts) {
    bytes += count.bytes;
    messages += count.messages;
    kinds.emplace_back(count.bytes, fmt::format("{} {}/{:.0f}K", kind, count.messages, count.bytes / 1e3));
  }
  std::sort(kinds.rbegin(), kinds.rend());
  fmt::print("    {}: {} messages, {:.0f} KB", what, messages, bytes / 1e3);
  if (seconds > 0) fmt::print(" ({:.2f} KB/s a machine)", bytes / 1e3 / seconds / static_cast<double>(fleet.size()));
  for (std::size_t i = 0; i < std::min<std::size_t>(5, kinds.size()); ++i) fmt::print("; {}", kinds[i].second);
  fmt::print("\n");
  std::fflush(stdout);
}
}  // namespace

int main(int argc, char** argv) {
  for (int a = 1; a < argc; ++a) {
    const auto n = static_cast<std::size_t>(std::atoi(argv[a]));
    const std::size_t controllers = n < 20 ? 3 : 6;
    Fleet fleet({.controllers = controllers, .routers = n, .runners = n * 3 / 2, .seed = 7});
    fmt::print("N = {} routers, {} controllers, {} runners\n", n, controllers, n * 3 / 2);
    const bool up = fleet.bringUp();
    fmt::print("    up {} at {:.2f} s\n", up, base::seconds(fleet.now().time_since_epoch()) - 3600);
    cost(fleet, 0, "first start");
    if (!up) continue;
    fleet.run(base::Millis(4000));
    const auto fault = [&](const char* what, const std::function<void()>& act, std::size_t members) {
      fleet.counts.clear();
      act();
      const auto took = fleet.until(base::Millis(20'000), [&] { return fleet.viewed(members); });
      fmt::print("  {}: view everywhere after {} s\n", what, text(took));
      cost(fleet, 0, "cost");
      fleet.run(base::Millis(3000));
    };
    fleet.counts.clear();
    fleet.run(base::Millis(10'000));
    cost(fleet, 10, "quiet, 10 s");
    fault("one router lost", [&] { fleet.kill(fleet.size() - 1); }, fleet.size() - 1);
    fault("one router back", [&] { fleet.start(fleet.size() - 1); }, fleet.size());
    const auto primary = fleet.active();
    fault("primary lost", [&] { fleet.kill(primary); }, fleet.size() - 1);
    fault("controller back", [&] { fleet.start(primary); }, fleet.size());
    std::size_t lost = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) lost += fleet.machine(i).zone == "zone-2";
    fault("zone lost", [&] {
      for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.machine(i).zone == "zone-2") fleet.kill(i);
    }, fleet.size() - lost);
    fault("zone back", [&] {
      for (std::size_t i = 0; i < fleet.size(); ++i)
        if (!fleet.machine(i).alive) fleet.start(i);
    }, fleet.size());
    fleet.counts.clear();
    fleet.platform[0].draining = true;
    const auto told = fleet.until(base::Millis(20'000), [&] {
      for (std::size_t i = controllers; i < fleet.size(); ++i)
        if (fleet.source(i).runners().empty() || !fleet.source(i).runners()[0].draining) return false;
      return true;
    });
    fmt::print("  one runner draining: known everywhere after {} s\n", text(told));
    cost(fleet, 0, "cost");
    fleet.run(base::Millis(3000));
    fleet.counts.clear();
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
    fleet.run(base::Millis(1000));
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
    const auto from = fleet.now();
    std::optional<double> half, served, ready, view;
    fleet.until(base::Millis(20'000), [&] {
      const auto since = base::seconds(fleet.now() - from);
      if (!half && 2 * fleet.serving() >= n) half = since;
      if (!served && fleet.serving() == n) served = since;
      if (!ready && fleet.informed() == n) ready = since;
      if (!view && fleet.viewed(fleet.size())) view = since;
      return served && ready && view;
    });
    fmt::print("  all lost power and are back: half can serve after {}, all {}, all ready {}, one view {} s\n", text(half),
               text(served), text(ready), text(view));
    cost(fleet, 0, "cost");
  }
}
