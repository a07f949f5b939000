#include "proxy/request_progress.hpp"

#include <utility>

#include "base/invariant.hpp"
#include "base/log.hpp"

namespace indigohill::proxy {

using base::LogEvent;

namespace {

base::Invariant clientGoneHoldsNothing("client_gone_holds_nothing",
                                       "Half a second after its client's close was seen, a request holds no place in "
                                       "the queue, no slot and no connection.");
base::Invariant nothingBeginsForClientGone("nothing_begins_for_client_gone",
                                           "Once its client's close was seen, a request neither waits for a slot nor "
                                           "begins an attempt.");
base::Invariant attemptEndsOnce("attempt_ends_once", "Each attempt at a runner ends exactly once.");

const char* nameOf(MemoryKind holding) {
  switch (holding) {
    case MemoryKind::QueuePlace:
      return "queue_place";
    case MemoryKind::Slot:
      return "slot";
    case MemoryKind::Connection:
      return "connection";
  }
  return "unknown";
}

AttemptEnd endOf(const AttemptOutcome& outcome) {
  switch (outcome.end) {
    case AttemptOutcome::End::Answered:
      return AttemptEnd::Answered;
    case AttemptOutcome::End::ClientGone:
      return AttemptEnd::ClientGone;
    case AttemptOutcome::End::Rejected:
      return AttemptEnd::Rejected;
    case AttemptOutcome::End::Unreachable:
      return AttemptEnd::Unreachable;
    case AttemptOutcome::End::Failed:
      return AttemptEnd::Failed;
  }
  return AttemptEnd::Failed;
}

}  // namespace

RequestProgress::RequestProgress(std::shared_ptr<ProxyMetrics> metrics, std::string attemptId,
                                 base::TimePoint arrivedAt)
    : metrics_(std::move(metrics)), attemptId_(std::move(attemptId)), arrivedAt_(arrivedAt) {
  if (base::isDebugLogged()) base::logDebug(LogEvent("request_accepted").with("id", attemptId_));
}

void RequestProgress::enter(RequestState state, base::TimePoint now) {
  if (state == state_) return;
  const bool isBegun = state == RequestState::Queued || state == RequestState::Connecting;
  nothingBeginsForClientGone.check(!isBegun || !clientGoneAt_, [&](LogEvent event) {
    return std::move(event).with("id", attemptId_).with("state", proxy::nameOf(state));
  });
  if (state_ == RequestState::Queued) metrics_->queueTime.record(now - queuedAt_);
  if (state == RequestState::Queued) {
    queuedAt_ = now;
    if (base::isDebugLogged()) base::logDebug(LogEvent("request_queued").with("id", attemptId_));
  }
  state_ = state;
}

void RequestProgress::enter(RequestState state) {
  const bool isTimed = state == RequestState::Queued || state_ == RequestState::Queued;
  enter(state, isTimed ? base::Clock::now() : base::TimePoint{});
}

void RequestProgress::onClientGone(base::TimePoint now) {
  if (clientGoneAt_) return;
  clientGoneAt_ = now;
  metrics_->clientsGone[state_].add();
  if (base::isDebugLogged())
    base::logDebug(LogEvent("client_gone")
                       .with("id", attemptId_)
                       .with("state", proxy::nameOf(state_))
                       .with("afterMs", base::toMs(now - arrivedAt_)));
}

void RequestProgress::onReleased(MemoryKind holding, base::TimePoint now) {
  if (!clientGoneAt_) return;
  const auto since = now - *clientGoneAt_;
  clientGoneHoldsNothing.check(since <= kReleaseBound + base::stallAllowance(), [&](LogEvent event) {
    return std::move(event)
        .with("id", attemptId_)
        .with("held", nameOf(holding))
        .with("state", proxy::nameOf(state_))
        .with("forMs", base::toMs(since));
  });
}

void RequestProgress::finish(RequestOutcome outcome, std::optional<control::RouteType> type, base::TimePoint now) {
  if (type) {
    metrics_->requests[*type][outcome].add();
    metrics_->requestTime[*type].record(now - arrivedAt_);
  } else {
    metrics_->unrouted.add();
  }
  if (base::isDebugLogged())
    base::logDebug(LogEvent("request_ended")
                       .with("id", attemptId_)
                       .with("outcome", proxy::nameOf(outcome))
                       .with("forMs", base::toMs(now - arrivedAt_)));
}

AttemptProgress::AttemptProgress(RequestProgress& request, AttemptKind kind, std::uint32_t number,
                                 std::string instanceId)
    : request_(request),
      metrics_(request.metrics()),
      kind_(kind),
      instanceId_(std::move(instanceId)),
      startedAt_(base::Clock::now()) {
  request_.enter(RequestState::Connecting, startedAt_);
  metrics_->openAttempts.add();
  if (base::isDebugLogged())
    base::logDebug(LogEvent("attempt_started")
                       .with("id", request_.attemptId())
                       .with("attempt", number)
                       .with("kind", proxy::nameOf(kind_))
                       .with("runner", instanceId_));
}

void AttemptProgress::end(const AttemptOutcome& outcome) {
  attemptEndsOnce.check(!end_.has_value(), [&](LogEvent event) {
    return std::move(event)
        .with("id", request_.attemptId())
        .with("runner", instanceId_)
        .with("before", proxy::nameOf(*end_))
        .with("now", proxy::nameOf(endOf(outcome)));
  });
  if (end_) return;
  end_ = endOf(outcome);
  metrics_->attempts[kind_][*end_].add();
  if (end_ == AttemptEnd::ClientGone) request_.onClientGone();
  if (base::isDebugLogged())
    base::logDebug(LogEvent("attempt_ended")
                       .with("id", request_.attemptId())
                       .with("runner", instanceId_)
                       .with("end", proxy::nameOf(*end_))
                       .with("reason", outcome.error.message)
                       .with("forMs", base::toMs(base::Clock::now() - startedAt_)));
}

// An attempt without an end is one whose request was dropped with the event loop: the process ends.
AttemptProgress::~AttemptProgress() {
  metrics_->openAttempts.remove();
  if (!end_) {
    metrics_->attempts[kind_][AttemptEnd::Abandoned].add();
    return;
  }
  const auto goneAt = request_.clientGoneAt();
  if (!goneAt) return;
  const auto now = base::Clock::now();
  metrics_->releaseTime.record(now - *goneAt);
  request_.onReleased(MemoryKind::Connection, now);
}

}  // namespace indigohill::proxy
