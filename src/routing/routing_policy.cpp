#include "routing/routing_policy.hpp"

namespace indigohill::routing {

namespace {
constexpr std::uint32_t kMaxUnreachable = 3;
}

RoutingPolicy::RoutingPolicy(Table& table, const control::Route& route, std::string_view attemptId,
                             base::TimePoint arrivedAt, base::TimePoint deadline)
    : table_(table), route_(route) {
  request_.route = &route_;
  request_.service = Table::pick(route_, attemptId);
  request_.arrivedAt = arrivedAt;
  request_.deadline = deadline;
}

std::variant<PassTo, Wait, Ending> RoutingPolicy::next(base::TimePoint now) {
  if (now >= request_.deadline) return ending(now);
  auto decision = table_.decide(request_, now);
  if (auto* reject = std::get_if<Reject>(&decision)) {
    lastError_ = reject->why;
    if (mayHaveRun_ || started_) return ending(now);
    return Ending{false, reject->status, reject->retryAfterS, reject->why};
  }
  if (auto* wait = std::get_if<Wait>(&decision)) return *wait;
  auto& to = std::get<PassTo>(decision);
  ++request_.attempts;
  request_.triedRunners.insert(to.instanceId);
  return std::move(to);
}

bool RoutingPolicy::onFailure(const AttemptError& error, bool started, bool resumable, base::TimePoint now) {
  lastError_ = error.message;
  started_ = started;
  if (error.execution != ExecutionStatus::NotRun) {
    mayHaveRun_ = true;
    // What may have run is retried only if it is idempotent.
    if (!route_.repeatable()) return false;
  }
  if (started && !(route_.resumable && resumable)) return false;
  // Nothing is sent after the deadline, so nothing is drawn from the budget either.
  return now < request_.deadline && request_.attempts < route_.maxAttempts && table_.admitRetry(request_.service, now);
}

bool RoutingPolicy::onUnreachable(const AttemptError& error, base::TimePoint now) {
  lastError_ = error.message;
  --request_.attempts;
  return ++unreachableRunners_ < kMaxUnreachable && now < request_.deadline;
}

Ending RoutingPolicy::ending(base::TimePoint now) const {
  if (started_) return {true, 0, 0, lastError_};
  // Not run, and it never will be: said so, with when to come back. Otherwise nothing is promised.
  if (!mayHaveRun_) return {false, 503, 0.2, lastError_};
  return {false, now >= request_.deadline ? 504 : 502, 0, lastError_};
}

}  // namespace indigohill::routing
