#include "routing/routing_policy.hpp"

namespace indigohill::routing {

namespace {
constexpr std::uint32_t kUnreachedMost = 3;
}

RoutingPolicy::RoutingPolicy(Table& table, const control::Route& route, std::string_view attemptId,
                             base::TimePoint arrivedAt, base::TimePoint deadline)
    : table_(table), route_(route) {
  asked_.route = &route_;
  asked_.service = Table::pick(route_, attemptId);
  asked_.arrivedAt = arrivedAt;
  asked_.deadline = deadline;
}

std::variant<PassTo, Wait, Ending> RoutingPolicy::next(base::TimePoint now) {
  if (now >= asked_.deadline) return ending(now);
  auto decision = table_.decide(asked_, now);
  if (auto* reject = std::get_if<Reject>(&decision)) {
    last_ = reject->why;
    if (mayHaveRun_ || started_) return ending(now);
    return Ending{false, reject->status, reject->retryAfterS, reject->why};
  }
  if (auto* wait = std::get_if<Wait>(&decision)) return *wait;
  auto& to = std::get<PassTo>(decision);
  ++asked_.tries;
  asked_.tried.insert(to.instanceId);
  return std::move(to);
}

bool RoutingPolicy::again(const base::Error& fault, bool started, bool resumable, base::TimePoint now) {
  last_ = fault.what;
  started_ = started;
  if (fault.verdict != base::Verdict::NotRun) {
    mayHaveRun_ = true;
    // What may have run is tried again only if it may run twice.
    if (!route_.repeatable()) return false;
  }
  if (started && !(route_.resumable && resumable)) return false;
  // Nothing is sent after the deadline, so nothing is drawn from the budget either.
  return now < asked_.deadline && asked_.tries < route_.maxAttempts && table_.admitRetry(asked_.service, now);
}

bool RoutingPolicy::unreached(const base::Error& fault, base::TimePoint now) {
  last_ = fault.what;
  --asked_.tries;
  return ++unreached_ < kUnreachedMost && now < asked_.deadline;
}

Ending RoutingPolicy::ending(base::TimePoint now) const {
  if (started_) return {true, 0, 0, last_};
  // Not run, and it never will be: said so, with when to come back. Otherwise nothing is promised.
  if (!mayHaveRun_) return {false, 503, 0.2, last_};
  return {false, now >= asked_.deadline ? 504 : 502, 0, last_};
}

}  // namespace indigohill::routing
