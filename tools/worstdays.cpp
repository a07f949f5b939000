// Plays simulated days of faults, one for each seed, and prints the seed and the broken rule of each that fails.
//   worstdays FIRST LAST [ROUNDS [RESENT [no-one-way-cuts]]]
// RESENT is how many of the newest orders may be sent once more; without it all.
// INDIGOHILL_TRACE=1 shows what every daemon did.
#include <fmt/format.h>

#include <cstdlib>

#include "sim/worst_day.hpp"

int main(int argc, char** argv) {
  if (argc < 3) {
    fmt::print(stderr, "usage: worstdays FIRST LAST [ROUNDS [RESENT [no-one-way-cuts]]]\n");
    return 2;
  }
  const auto number = [&](int i) { return std::strtoull(argv[i], nullptr, 10); };
  const auto rounds = argc > 3 ? number(3) : 3;
  const auto resent = argc > 4 ? number(4) : SIZE_MAX;
  const bool oneWayCuts = argc <= 5;
  std::size_t days = 0, failures = 0, orders = 0, acknowledged = 0, faults = 0;
  double hours = 0;
  const auto report = [&] {
    fmt::print("{} days, {:.1f} simulated hours, {} troubles, {} orders of which {} acknowledged, {} failures\n", days,
               hours, faults, orders, acknowledged, failures);
    std::fflush(stdout);
  };
  constexpr std::size_t kReportEach = 50;
  for (auto seed = number(1); seed <= number(2); ++seed) {
    indigohill::sim::WorstDay day({.seed = seed, .rounds = rounds, .resendWithin = resent, .oneWayCuts = oneWayCuts});
    const auto result = day.play();
    ++days;
    hours += static_cast<double>(result.simulated.count()) / 3'600'000;
    orders += result.orders;
    acknowledged += result.acknowledged;
    faults += result.faults;
    if (result.broken) {
      ++failures;
      fmt::print("{}\n", *result.broken);
      if (std::getenv("INDIGOHILL_TRACE") != nullptr) fmt::print("{}\n", result.places);
      std::fflush(stdout);
    }
    if (days % kReportEach == 0) report();
  }
  report();
  return failures == 0 ? 0 : 1;
}
