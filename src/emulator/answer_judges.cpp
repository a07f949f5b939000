#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "emulator/judges.hpp"
#include "emulator/payload.hpp"

namespace indigohill::emulator {

namespace {

using ArrivalsByAttempt = std::map<std::string, std::vector<const Arrival*>>;

ArrivalsByAttempt byAttempt(const Records& records) {
  ArrivalsByAttempt out;
  for (const auto& arrival : records.arrivals) out[arrival.attempt].push_back(&arrival);
  return out;
}

std::size_t runsOf(const ArrivalsByAttempt& arrivals, const Attempt& attempt) {
  const auto found = arrivals.find(attempt.id);
  if (found == arrivals.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(), [](const auto* arrival) { return arrival->ran; }));
}

bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// Whether the answer is one that a runner gave to this attempt. Of a stream the events are judged by their order.
bool isOwnAnswer(const Attempt& attempt, const std::vector<const Arrival*>& arrivals) {
  return std::any_of(arrivals.begin(), arrivals.end(), [&](const auto* arrival) {
    const bool sameBody = attempt.kind == RouteKind::ResumableStream || attempt.body == arrival->body;
    return arrival->ran && attempt.seal == arrival->seal && sameBody;
  });
}

}  // namespace

void judgeTwice(const Records& records, Violations& out) {
  const auto arrivals = byAttempt(records);
  for (const auto& attempt : records.attempts)
    if (const auto runs = runsOf(arrivals, attempt); !isRepeatable(attempt.kind) && runs > 1)
      out.push_back({"TWICE", attempt.sentAt, fmt::format("{} ran {} times", attempt.id, runs)});
}

void judgeRefused(const Records& records, Violations& out) {
  const auto arrivals = byAttempt(records);
  for (const auto& attempt : records.attempts) {
    const bool refused = attempt.end == Attempt::End::Answered && promisesNotRun(attempt.status);
    if (refused && !isRepeatable(attempt.kind) && runsOf(arrivals, attempt) > 0)
      out.push_back({"REFUSED", attempt.sentAt, fmt::format("{} got {}, and ran", attempt.id, attempt.status)});
  }
}

void judgeMixed(const Records& records, Violations& out) {
  auto arrivals = byAttempt(records);
  for (const auto& attempt : records.attempts)
    if (attempt.isSuccess() && !isOwnAnswer(attempt, arrivals[attempt.id]))
      out.push_back({"MIXED", attempt.endedAt, fmt::format("{} got seal '{}'", attempt.id, attempt.seal)});
}

void judgeOrder(const Records& records, Violations& out) {
  for (const auto& attempt : records.attempts) {
    if (attempt.kind != RouteKind::ResumableStream || attempt.seal.empty()) continue;
    const auto whole = eventsFrom(attempt.id, 1);
    const bool right = attempt.isSuccess() ? attempt.body == whole : whole.starts_with(attempt.body);
    if (!right)
      out.push_back(
          {"ORDER", attempt.endedAt,
           fmt::format("{}: {} of {} bytes that are not its events", attempt.id, attempt.body.size(), whole.size())});
  }
}

void judgeUnasked(const Records& records, Violations& out) {
  std::set<std::string> known;
  for (const auto& attempt : records.attempts) known.insert(attempt.id);
  for (const auto& arrival : records.arrivals)
    if (arrival.ran && (!arrival.intact || known.count(arrival.attempt) == 0))
      out.push_back({"UNASKED", arrival.arrivedAt, fmt::format("'{}' at {}", arrival.attempt, arrival.runner)});
}

}  // namespace indigohill::emulator
