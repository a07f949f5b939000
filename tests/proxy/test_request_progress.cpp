// What is counted of requests and attempts, and what a client that has gone may leave behind.
#include "proxy/request_progress.hpp"

#include "support/expected_violations.hpp"

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using base::Millis;
using proxy::AttemptEnd;
using proxy::AttemptKind;
using proxy::AttemptOutcome;
using proxy::AttemptProgress;
using proxy::MemoryKind;
using proxy::RequestProgress;
using proxy::RequestState;

namespace {

struct Request {
  std::shared_ptr<proxy::ProxyMetrics> metrics = std::make_shared<proxy::ProxyMetrics>();
  base::TimePoint arrivedAt = base::Clock::now();
  RequestProgress progress{metrics, "a-1", arrivedAt};
};

std::uint64_t recorded(const base::DurationHistogram& histogram) {
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i <= base::DurationHistogram::kBoundsS.size(); ++i) sum += histogram.count(i);
  return sum;
}

}  // namespace

Test(request_progress, an_end_is_counted_by_type_and_outcome) {
  Request request;
  request.progress.finish(proxy::RequestOutcome::Cut, control::RouteType::Streaming);
  cr_assert_eq(request.metrics->requests[control::RouteType::Streaming][proxy::RequestOutcome::Cut].value(), 1);
  cr_assert_eq(recorded(request.metrics->requestTime[control::RouteType::Streaming]), 1);
  request.progress.finish(proxy::RequestOutcome::Unrouted, std::nullopt);
  cr_assert_eq(request.metrics->unrouted.value(), 1);
}

Test(request_progress, several_waits_in_a_row_are_one) {
  Request request;
  request.progress.enter(RequestState::Queued, request.arrivedAt);
  request.progress.enter(RequestState::Queued, request.arrivedAt + Millis(25));
  request.progress.enter(RequestState::Connecting, request.arrivedAt + Millis(50));
  cr_assert_eq(recorded(request.metrics->queueTime), 1);
  cr_assert_float_eq(request.metrics->queueTime.sumS(), 0.05, 1e-9);
}

Test(request_progress, a_client_that_left_is_counted_once_in_its_state) {
  Request request;
  request.progress.enter(RequestState::AwaitingHead, request.arrivedAt);
  request.progress.onClientGone(request.arrivedAt + Millis(10));
  request.progress.enter(RequestState::Streaming, request.arrivedAt + Millis(11));
  request.progress.onClientGone(request.arrivedAt + Millis(12));
  cr_assert_eq(request.metrics->clientsGone[RequestState::AwaitingHead].value(), 1);
  cr_assert_eq(request.metrics->clientsGone[RequestState::Streaming].value(), 0);
}

Test(request_progress, nothing_is_held_half_a_second_after_the_client_left) {
  const ExpectedViolations expected;
  Request request;
  request.progress.onReleased(MemoryKind::Slot, request.arrivedAt + Millis(9000));
  request.progress.onClientGone(request.arrivedAt);
  request.progress.onReleased(MemoryKind::Slot, request.arrivedAt + Millis(500));
  cr_assert(expected.all().empty());
  request.progress.onReleased(MemoryKind::QueuePlace, request.arrivedAt + Millis(501));
  cr_assert_eq(expected.all().size(), 1);
  cr_assert_str_eq(expected.all().front().invariant.c_str(), "client_gone_holds_nothing");
  cr_assert_neq(expected.all().front().event.find("\"held\":\"queue_place\""), std::string::npos);
}

Test(attempt_progress, an_attempt_that_outlives_its_client_is_a_violation) {
  const ExpectedViolations expected;
  Request request;
  {
    AttemptProgress attempt(request.progress, AttemptKind::First, 1, "r1");
    request.progress.onClientGone(base::Clock::now() - Millis(800));
    attempt.end(AttemptOutcome::answered());
  }
  cr_assert_eq(expected.all().size(), 1);
  cr_assert_neq(expected.all().front().event.find("\"held\":\"connection\""), std::string::npos);
  cr_assert_eq(recorded(request.metrics->releaseTime), 1);
}

Test(attempt_progress, an_end_is_counted_by_kind) {
  Request request;
  {
    AttemptProgress attempt(request.progress, AttemptKind::Retry, 2, "r1");
    cr_assert_eq(request.metrics->openAttempts.value(), 1);
    attempt.end(AttemptOutcome::rejected("full"));
  }
  cr_assert_eq(request.metrics->openAttempts.value(), 0);
  cr_assert_eq(request.metrics->attempts[AttemptKind::Retry][AttemptEnd::Rejected].value(), 1);
}

Test(attempt_progress, a_second_end_is_a_violation_and_is_not_counted) {
  const ExpectedViolations expected;
  Request request;
  {
    AttemptProgress attempt(request.progress, AttemptKind::First, 1, "r1");
    attempt.end(AttemptOutcome::answered());
    attempt.end(AttemptOutcome::clientGone());
  }
  cr_assert_eq(expected.all().size(), 1);
  cr_assert_str_eq(expected.all().front().invariant.c_str(), "attempt_ends_once");
  cr_assert_eq(request.metrics->attempts[AttemptKind::First][AttemptEnd::Answered].value(), 1);
  cr_assert_eq(request.metrics->attempts[AttemptKind::First][AttemptEnd::ClientGone].value(), 0);
}

Test(attempt_progress, one_that_went_with_the_event_loop_is_abandoned) {
  Request request;
  { const AttemptProgress attempt(request.progress, AttemptKind::First, 1, "r1"); }
  cr_assert_eq(request.metrics->attempts[AttemptKind::First][AttemptEnd::Abandoned].value(), 1);
}

Test(attempt_progress, a_client_found_gone_by_the_attempt_is_counted) {
  Request request;
  {
    AttemptProgress attempt(request.progress, AttemptKind::First, 1, "r1");
    request.progress.enter(RequestState::Streaming);
    attempt.end(AttemptOutcome::clientGone());
  }
  cr_assert_eq(request.metrics->clientsGone[RequestState::Streaming].value(), 1);
  cr_assert_eq(recorded(request.metrics->releaseTime), 1);
}
