#pragma once
#include <string>
#include <vector>

#include "emulator/experiment.hpp"
#include "emulator/records.hpp"

// The rules of RULES-indigohill.md that can be judged from outside, from what clients, runners and the operator have
// seen. A judge reads records alone, so that it can be tested without a run. Where the emulator's own event loop has
// stalled, times that it took may be late by that much; judges allow for `Records::longestStall`.
namespace indigohill::emulator {

struct Violation {
  std::string rule;
  base::TimePoint at{};
  std::string detail;
};
using Violations = std::vector<Violation>;

// Judges of the fleet as a whole (fleet_judges.cpp).

// More requests came to a warming runner within a second than its bound; one violation a runner, for its worst second.
void judgeFailback(const Experiment& experiment, const Records& records, Violations& out);
// Runners learn too late that a client has left. Routers that are shutting down are judged apart from the others.
void judgeGone(const Experiment& experiment, const Records& records, Violations& out);
// Answers that a router cut although neither it nor the runner was in trouble.
void judgeLost(const Experiment& experiment, const Records& records, Violations& out);
// A router under SIGTERM that still says that it is ready.
void judgeDrain(const Records& records, Violations& out);
// Further attempts beyond the retry budget.
void judgeBudget(const Experiment& experiment, const Records& records, Violations& out);
// The configuration that was read back is not one that may be in force.
void judgeConfiguration(const Records& records, Violations& out);
// The daemons' own invariants, and processes that ended by themselves.
void judgeDaemons(const Records& records, Violations& out);
// Nothing was served when all troubles were over.
void judgeRecovery(const Records& records, Violations& out);

// Judge of the tallies (tally_judges.cpp): TWICE, STALE, LOST of the page on cuts, and calls that were refused though
// they are proper. At the end every controller must have the same totals.
void judgeTallies(const Experiment& experiment, const Records& records, Violations& out);

// Judges of single requests and answers (answer_judges.cpp).

// A request that is not repeatable ran more than once.
void judgeTwice(const Records& records, Violations& out);
// One was refused with the promise that it has not run, although it has.
void judgeRefused(const Records& records, Violations& out);
// A success that is not the runner's answer to this request.
void judgeMixed(const Records& records, Violations& out);
// A stream whose events are not those that were sent, in their order and to the last.
void judgeOrder(const Records& records, Violations& out);
// A request at a runner that no client sent, or one that was changed.
void judgeUnasked(const Records& records, Violations& out);

Violations judgeAll(const Experiment& experiment, const Records& records);

}  // namespace indigohill::emulator
