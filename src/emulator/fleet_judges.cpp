#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "emulator/judges.hpp"
#include "emulator/payload.hpp"

namespace indigohill::emulator {

using base::Millis;
using base::TimePoint;

namespace {

constexpr Millis kSecond{1000};
constexpr std::size_t kFewLateRequests = 3;  // rule GONE, "more than a few"
constexpr double kGoneShare = 0.25;
constexpr std::size_t kFewForShare = 8;  // fewer cases say nothing of a share
constexpr std::size_t kFewCuts = 3;      // rule LOST, kept connections
constexpr Millis kLateSend{3000};        // rule LOST: sent so late after a SIGTERM, a request is to be served
constexpr Millis kCloseToDeadline{200};
// Rule DRAIN: out 4 s after SIGTERM, by two questions a second apart that are not answered 200.
constexpr Millis kReadyAfterTermination{2000};

bool overlaps(const Outage& outage, TimePoint from, TimePoint until, Millis contact) {
  const auto end = outage.until == TimePoint::max() ? outage.until : outage.until + contact;
  return outage.from <= until && from <= end;
}

// Whether a router was killed, frozen or not yet in touch again at some time between.
bool wasInTrouble(const Experiment& experiment, const Records& records, std::size_t router, TimePoint from,
                  TimePoint until) {
  return std::any_of(records.outages.begin(), records.outages.end(), [&](const Outage& outage) {
    return outage.router == router && outage.kind != Outage::Kind::Terminating &&
           overlaps(outage, from, until, experiment.contact);
  });
}

// The SIGTERM under which a router was at some time between; null if there was none.
const Outage* terminationOf(const Records& records, std::size_t router, TimePoint from, TimePoint until) {
  for (const auto& outage : records.outages)
    if (outage.router == router && outage.kind == Outage::Kind::Terminating && overlaps(outage, from, until, Millis(0)))
      return &outage;
  return nullptr;
}

std::map<std::string, const Attempt*> byId(const Records& records) {
  std::map<std::string, const Attempt*> out;
  for (const auto& attempt : records.attempts) out[attempt.id] = &attempt;
  return out;
}

// The most requests in a second that begins with one of them: sent and arrived within it.
struct WorstSecond {
  std::size_t requests = 0;
  TimePoint at{};
};
WorstSecond worstSecond(const std::vector<const Arrival*>& arrivals) {
  WorstSecond worst;
  for (const auto* first : arrivals) {
    const auto within = [&](const auto* arrival) {
      return arrival->sentAt >= first->sentAt && arrival->arrivedAt < first->sentAt + kSecond;
    };
    const auto requests = static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), within));
    if (requests > worst.requests) worst = {requests, first->sentAt};
  }
  return worst;
}

// What runners did with the requests of clients that had left, under one kind of router.
struct GoneTally {
  std::size_t lateRequests = 0;  // reached a runner too late
  std::size_t lasting = 0;       // would have lasted until then
  std::size_t atWork = 0;        // of these, those that a runner was still at work on
  TimePoint firstAt{};

  bool isTooMuch() const {
    const bool share =
        atWork >= kFewForShare && static_cast<double>(atWork) > kGoneShare * static_cast<double>(lasting);
    return lateRequests > kFewLateRequests || share;
  }
};

void tally(const Arrival& arrival, const Attempt& attempt, TimePoint limit, GoneTally& out) {
  if (arrival.disturbed) return;
  if (arrival.sentAt > limit) ++out.lateRequests;
  const bool wasOver = arrival.end != Arrival::End::Working && arrival.endedAt <= attempt.endedAt;
  if (wasOver || arrival.arrivedAt > attempt.endedAt || !isRepeatable(attempt.kind)) return;
  const auto begin = arrival.ran ? arrival.startedAt : attempt.endedAt;
  if (begin + arrival.work <= limit) return;
  ++out.lasting;
  const bool stillAtWork = arrival.end == Arrival::End::Working || arrival.endedAt > limit;
  if (stillAtWork && out.atWork++ == 0) out.firstAt = attempt.endedAt;
}

void report(const GoneTally& tally, const char* routers, Violations& out) {
  if (!tally.isTooMuch()) return;
  out.push_back({"GONE", tally.firstAt,
                 fmt::format("{}: {} requests reached a runner late; still at work on {} of {}", routers,
                             tally.lateRequests, tally.atWork, tally.lasting)});
}

// Whether a runner's whole answer, or its work, was there for the router to pass on.
bool hasSoundArrival(const std::vector<const Arrival*>& arrivals) {
  return !arrivals.empty() && std::all_of(arrivals.begin(), arrivals.end(), [](const auto* arrival) {
    return !arrival->disturbed && arrival->end != Arrival::End::Broken && arrival->end != Arrival::End::Expired;
  });
}

// A router may end what a runner was still at work on at the very end of its grace period.
bool isExcusedByGrace(const Experiment& experiment, const Outage& termination, const Attempt& attempt) {
  return attempt.sentAt <= termination.from + kLateSend &&
         attempt.endedAt >= termination.from + experiment.grace * 5 / 6;
}

std::size_t countBetween(const std::vector<TimePoint>& sorted, TimePoint from, TimePoint until) {
  return static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), until) -
                                  std::lower_bound(sorted.begin(), sorted.end(), from));
}

}  // namespace

void judgeFailback(const Experiment& experiment, const Records& records, Violations& out) {
  std::map<std::string, std::vector<const Arrival*>> warming;
  for (const auto& arrival : records.arrivals)
    if (arrival.warming && arrival.end != Arrival::End::Misdirected) warming[arrival.runner].push_back(&arrival);
  const auto stall = 1 + static_cast<double>(records.longestStall.count()) / 1000;
  const auto bound = (experiment.warmupPerS * experiment.warmupOvershoot + experiment.warmupSlack) *
                     experiment.warmupTolerance * stall;
  for (const auto& [runner, arrivals] : warming)
    if (const auto worst = worstSecond(arrivals); static_cast<double>(worst.requests) > bound)
      out.push_back(
          {"FAILBACK", worst.at, fmt::format("{}: {} in a second, {:.1f} allowed", runner, worst.requests, bound)});
}

void judgeGone(const Experiment& experiment, const Records& records, Violations& out) {
  const auto attempts = byId(records);
  GoneTally steady, terminating;
  for (const auto& arrival : records.arrivals) {
    const auto found = attempts.find(arrival.attempt);
    if (found == attempts.end() || found->second->end != Attempt::End::Left) continue;
    const auto& attempt = *found->second;
    const auto limit = attempt.endedAt + experiment.goneWithin + records.longestStall;
    if (wasInTrouble(experiment, records, attempt.router, attempt.endedAt, limit)) continue;
    const bool underTermination = terminationOf(records, attempt.router, attempt.endedAt, limit) != nullptr;
    tally(arrival, attempt, limit, underTermination ? terminating : steady);
  }
  report(steady, "routers in service", out);
  report(terminating, "routers under SIGTERM", out);
}

void judgeLost(const Experiment& experiment, const Records& records, Violations& out) {
  std::map<std::string, std::vector<const Arrival*>> arrivals;
  for (const auto& arrival : records.arrivals) arrivals[arrival.attempt].push_back(&arrival);
  std::vector<const Attempt*> kept;
  for (const auto& attempt : records.attempts) {
    const bool cut = attempt.end == Attempt::End::Cut && attempt.endedAt < attempt.deadline - kCloseToDeadline;
    if (!cut || !hasSoundArrival(arrivals[attempt.id])) continue;
    if (wasInTrouble(experiment, records, attempt.router, attempt.sentAt, attempt.endedAt)) continue;
    const auto* termination = terminationOf(records, attempt.router, attempt.sentAt, attempt.endedAt);
    if (termination != nullptr && !isExcusedByGrace(experiment, *termination, attempt))
      out.push_back({"LOST", attempt.endedAt,
                     fmt::format("{} by router {}, {} ms after its SIGTERM", attempt.id, attempt.router,
                                 base::toMs(attempt.endedAt - termination->from))});
    if (termination == nullptr && attempt.reusedConnection) kept.push_back(&attempt);
  }
  if (kept.size() > kFewCuts)
    out.push_back({"LOST", kept.front()->endedAt,
                   fmt::format("{} answers on kept connections, the first {}", kept.size(), kept.front()->id)});
}

void judgeDrain(const Records& records, Violations& out) {
  for (const auto& late : records.lateReadiness)
    if (late.askedAt - late.terminatedAt > kReadyAfterTermination + records.longestStall)
      out.push_back({"DRAIN", late.askedAt,
                     fmt::format("router {} is ready {} ms after its SIGTERM", late.router,
                                 base::toMs(late.askedAt - late.terminatedAt))});
}

void judgeBudget(const Experiment& experiment, const Records& records, Violations& out) {
  struct Service {
    std::vector<TimePoint> requests, repeats;
  };
  std::map<std::string, Service> services;
  std::map<std::string, std::string> serviceOfAttempt;
  for (const auto& attempt : records.attempts) {
    services[serviceOf(attempt.kind)].requests.push_back(attempt.sentAt);
    serviceOfAttempt[attempt.id] = serviceOf(attempt.kind);
  }
  std::set<std::string> seen;
  for (const auto& arrival : records.arrivals)
    if (!seen.insert(arrival.attempt).second)
      services[serviceOfAttempt[arrival.attempt]].repeats.push_back(arrival.arrivedAt);
  const auto window = experiment.retryWindow + records.longestStall;
  for (const auto& [name, service] : services)
    for (const auto from : service.repeats) {
      const auto requests = std::max({countBetween(service.requests, from, from + window),
                                      countBetween(service.requests, from - window, from),
                                      countBetween(service.requests, from - window / 2, from + window / 2)});
      const auto repeats = countBetween(service.repeats, from, from + experiment.retryWindow);
      const auto bound = experiment.retryRatio * static_cast<double>(requests) + experiment.retrySlack;
      if (static_cast<double>(repeats) <= bound) continue;
      out.push_back({"BUDGET", from, fmt::format("{}: {} further attempts, {:.1f} allowed", name, repeats, bound)});
      break;
    }
}

void judgeConfiguration(const Records& records, Violations& out) {
  std::map<std::uint64_t, std::size_t> acknowledgedOn;  // changes that were taken on top of a version
  std::uint64_t newest = 0;
  for (const auto& change : records.changes) {
    if (!change.acknowledged) continue;
    newest = std::max(newest, change.revision);
    if (++acknowledgedOn[change.base] > 1)
      out.push_back({"CONFIG", {}, fmt::format("two changes on top of {} are acknowledged", change.base)});
  }
  if (!records.readBack) {
    out.push_back({"CONFIG", {}, "no configuration can be read back"});
    return;
  }
  const auto& found = *records.readBack;
  const auto sent = std::find_if(records.changes.begin(), records.changes.end(),
                                 [&](const auto& change) { return change.revision == found.revision; });
  if (found.revision < newest)
    out.push_back({"CONFIG", {}, fmt::format("{} is read back, {} was acknowledged", found.revision, newest)});
  if (sent == records.changes.end() || sent->markerTimeoutMs != found.markerTimeoutMs)
    out.push_back({"CONFIG", {}, fmt::format("{} is not what was sent under that number", found.revision)});
}

void judgeDaemons(const Records& records, Violations& out) {
  for (const auto& line : records.invariantEvents) out.push_back({"INVARIANT", {}, line});
  for (const auto& exit : records.unexpectedExits) out.push_back({"EXIT", {}, exit});
}

void judgeRecovery(const Records& records, Violations& out) {
  const bool served = std::any_of(records.attempts.begin(), records.attempts.end(), [&](const Attempt& attempt) {
    return attempt.sentAt >= records.calmFrom && attempt.isSuccess();
  });
  if (!served) out.push_back({"RECOVER", records.calmFrom, "nothing was served after the troubles"});
}

Violations judgeAll(const Experiment& experiment, const Records& records) {
  Violations out;
  judgeFailback(experiment, records, out);
  judgeGone(experiment, records, out);
  judgeLost(experiment, records, out);
  judgeDrain(records, out);
  judgeBudget(experiment, records, out);
  judgeConfiguration(records, out);
  judgeDaemons(records, out);
  judgeRecovery(records, out);
  judgeTwice(records, out);
  judgeRefused(records, out);
  judgeMixed(records, out);
  judgeOrder(records, out);
  judgeUnasked(records, out);
  judgeTallies(experiment, records, out);
  return out;
}

}  // namespace indigohill::emulator
