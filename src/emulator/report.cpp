#include "emulator/report.hpp"

#include <fmt/format.h>

#include <map>

#include "base/log_event.hpp"

namespace indigohill::emulator {

namespace {

// "GONE 1, LOST 2", or "none".
std::string rulesOf(const Violations& violations) {
  std::map<std::string, std::size_t> counts;
  for (const auto& violation : violations) ++counts[violation.rule];
  std::string out;
  for (const auto& [rule, count] : counts) out += fmt::format("{}{} {}", out.empty() ? "" : ", ", rule, count);
  return out.empty() ? "none" : out;
}

}  // namespace

std::string jsonLine(const RunResult& result) {
  std::vector<std::string> violations;
  violations.reserve(result.violations.size());
  for (const auto& violation : result.violations) violations.push_back(violation.rule + ": " + violation.detail);
  const auto event = base::LogEvent("run")
                         .with("seed", result.seed)
                         .with("scenario", nameOf(result.scenario))
                         .with("faults", result.faults)
                         .with("faultsAtOnce", result.faultsAtOnce)
                         .with("attempts", result.attempts)
                         .with("served", result.served)
                         .with("left", result.left)
                         .with("arrivals", result.arrivals)
                         .with("changes", result.changes)
                         .with("adds", result.adds)
                         .with("addsAcknowledged", result.addsAcknowledged)
                         .with("addsInCuts", result.addsInCuts)
                         .with("tookMs", result.took.count())
                         .with("longestStallMs", result.longestStall.count())
                         .with("violations", violations);
  return "{" + event.json() + "}";
}

std::string table(const std::vector<RunResult>& results) {
  std::string out =
      "| seed | scenario | faults (at once) | attempts | served | left | changes | adds (acknowledged, in cuts) | s | "
      "stall ms | violations |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  RunResult total;
  std::size_t clean = 0;
  for (const auto& run : results) {
    out += fmt::format("| {} | {} | {} ({}) | {} | {} | {} | {} | {} ({}, {}) | {} | {} | {} |\n", run.seed,
                       nameOf(run.scenario), run.faults, run.faultsAtOnce, run.attempts, run.served, run.left,
                       run.changes, run.adds, run.addsAcknowledged, run.addsInCuts, run.took.count() / 1000,
                       run.longestStall.count(), rulesOf(run.violations));
    total.faults += run.faults;
    total.attempts += run.attempts;
    total.served += run.served;
    total.left += run.left;
    total.changes += run.changes;
    total.adds += run.adds;
    total.addsAcknowledged += run.addsAcknowledged;
    total.addsInCuts += run.addsInCuts;
    total.took += run.took;
    total.longestStall = std::max(total.longestStall, run.longestStall);
    total.violations.insert(total.violations.end(), run.violations.begin(), run.violations.end());
    clean += run.violations.empty() ? 1 : 0;
  }
  return out + fmt::format("| all | {} of {} clean | {} | {} | {} | {} | {} | {} ({}, {}) | {} | {} | {} |\n", clean,
                           results.size(), total.faults, total.attempts, total.served, total.left, total.changes,
                           total.adds, total.addsAcknowledged, total.addsInCuts, total.took.count() / 1000,
                           total.longestStall.count(), rulesOf(total.violations));
}

}  // namespace indigohill::emulator
