// Prints how long the group and the news take after faults and what that costs, for the numbers of routers given on the
// command line: medians over five seeds, with the worst in brackets. docs/measurements.md holds its table.
#include <fmt/format.h>

#include <cstdlib>

#include "fleet.hpp"

using namespace indigohill;
using base::Millis;
using tests::Fleet;

namespace {

constexpr double kNever = 1e9;
using Rows = std::vector<std::pair<std::string, std::vector<double>>>;

void put(Rows& rows, const std::string& name, double value) {
  for (auto& [known, values] : rows)
    if (known == name) {
      values.push_back(value);
      return;
    }
  rows.push_back({name, {value}});
}

double bytesOf(const Fleet& fleet) {
  double sum = 0;
  for (const auto& [kind, count] : fleet.counts) sum += static_cast<double>(count.bytes) / 1e3;
  return sum;
}

void measure(std::size_t routers, std::uint64_t seed, Rows& rows) {
  const std::size_t controllers = routers < 20 ? 3 : 6;
  Fleet fleet({.controllers = controllers, .routers = routers, .runners = routers * 3 / 2, .seed = seed});
  const auto startedAt = fleet.now();
  const bool up = fleet.bringUp();
  put(rows, "first start, all ready (s)", up ? base::seconds(fleet.now() - startedAt) : kNever);
  put(rows, "first start, sent (KB)", bytesOf(fleet));
  if (!up) return;
  fleet.run(Millis(4000));
  fleet.counts.clear();
  fleet.run(Millis(10'000));
  put(rows, "quiet, sent by a machine (KB/s)", bytesOf(fleet) / 10 / static_cast<double>(fleet.size()));
  const auto fault = [&](const std::string& what, const std::function<void()>& act, std::size_t members) {
    fleet.counts.clear();
    act();
    put(rows, what + ", view everywhere (s)",
        fleet.until(Millis(20'000), [&] { return fleet.viewed(members); }).value_or(kNever));
    put(rows, what + ", sent until then (KB)", bytesOf(fleet));
    fleet.run(Millis(3000));
  };
  const auto last = fleet.size() - 1;
  fault(
      "one router lost", [&] { fleet.kill(last); }, fleet.size() - 1);
  fault(
      "one router back", [&] { fleet.start(last); }, fleet.size());
  const auto primary = fleet.active();
  fault(
      "primary lost", [&] { fleet.kill(primary); }, fleet.size() - 1);
  fault(
      "controller back", [&] { fleet.start(primary); }, fleet.size());
  std::vector<std::size_t> zone;
  for (std::size_t i = 0; i < fleet.size(); ++i)
    if (fleet.machine(i).zone == "zone-2") zone.push_back(i);
  fault(
      "zone lost",
      [&] {
        for (const auto i : zone) fleet.kill(i);
      },
      fleet.size() - zone.size());
  fault(
      "zone back",
      [&] {
        for (const auto i : zone) fleet.start(i);
      },
      fleet.size());
  fleet.counts.clear();
  fleet.platform[0].draining = true;
  const auto told = fleet.until(Millis(20'000), [&] {
    for (std::size_t i = controllers; i < fleet.size(); ++i) {
      const auto& known = fleet.source(i).runners();
      if (std::none_of(known.begin(), known.end(), [](const auto& r) { return r.draining; })) return false;
    }
    return true;
  });
  put(rows, "one runner draining, known everywhere (s)", told.value_or(kNever));
  put(rows, "one runner draining, sent until then (KB)", bytesOf(fleet));
  fleet.run(Millis(3000));
  fleet.counts.clear();
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
  fleet.run(Millis(1000));
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
  const auto from = fleet.now();
  std::optional<double> half, served, ready, view;
  fleet.until(Millis(20'000), [&] {
    const auto since = base::seconds(fleet.now() - from);
    if (!half && 2 * fleet.serving() >= routers) half = since;
    if (!served && fleet.serving() == routers) served = since;
    if (!ready && fleet.informed() == routers) ready = since;
    if (!view && fleet.viewed(fleet.size())) view = since;
    return served && ready && view;
  });
  put(rows, "power back, half can serve (s)", half.value_or(kNever));
  put(rows, "power back, all can serve (s)", served.value_or(kNever));
  put(rows, "power back, all ready (s)", ready.value_or(kNever));
  put(rows, "power back, one view (s)", view.value_or(kNever));
  put(rows, "power back, sent until then (KB)", bytesOf(fleet));
}

}  // namespace

int main(int argc, char** argv) {
  for (int a = 1; a < argc; ++a) {
    const auto routers = static_cast<std::size_t>(std::strtoull(argv[a], nullptr, 10));
    Rows rows;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) measure(routers, seed, rows);
    fmt::print("{} routers\n", routers);
    for (auto& [name, values] : rows) {
      std::sort(values.begin(), values.end());
      const auto text = [](double v) {
        return v >= kNever ? std::string("never") : (v < 100 ? fmt::format("{:.2f}", v) : fmt::format("{:.0f}", v));
      };
      fmt::print("  {:<45} {:>8} ({}) of {}\n", name, text(values[values.size() / 2]), text(values.back()),
                 values.size());
    }
    std::fflush(stdout);
  }
}
