#pragma once
#include <memory>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "proxy/exchange.hpp"
#include "proxy/proxy_metrics.hpp"

// Follows requests and attempts for metrics, debug log events and invariants. It decides nothing.
namespace indigohill::proxy {

// How long what a request holds (a place in the queue, a slot, a connection) may outlast its client.
constexpr base::Millis kReleaseBound{500};

// What a request may hold, as the invariant on clients that have gone names it.
enum class MemoryKind { QueuePlace, Slot, Connection };

// One request, from when it has been read until its end. Used on one strand. The metrics may be read meanwhile.
class RequestProgress {
 public:
  RequestProgress(std::shared_ptr<ProxyMetrics> metrics, std::string attemptId, base::TimePoint arrivedAt);

  // The request is in this state now.
  void enter(RequestState state, base::TimePoint now);
  // As above, now; the clock is read only where the time matters, which is the queue.
  void enter(RequestState state);
  // The client's close was seen: its connection is closed or broken. Counted once, at the first call.
  void onClientGone(base::TimePoint now);
  void onClientGone() { onClientGone(base::Clock::now()); }
  // The request has given this back: checks that its client has not been gone for too long.
  void onReleased(MemoryKind holding, base::TimePoint now);
  void onReleased(MemoryKind holding) {
    if (clientGoneAt_) onReleased(holding, base::Clock::now());
  }
  // The request is over. `type` of its route; nothing if it has none.
  void finish(RequestOutcome outcome, std::optional<control::RouteType> type, base::TimePoint now);
  void finish(RequestOutcome outcome, std::optional<control::RouteType> type) {
    finish(outcome, type, base::Clock::now());
  }

  const std::string& attemptId() const { return attemptId_; }
  const std::shared_ptr<ProxyMetrics>& metrics() const { return metrics_; }
  // When the client's close was seen, if it was.
  std::optional<base::TimePoint> clientGoneAt() const { return clientGoneAt_; }

 private:
  std::shared_ptr<ProxyMetrics> metrics_;
  std::string attemptId_;
  base::TimePoint arrivedAt_, queuedAt_;
  RequestState state_ = RequestState::Reading;
  std::optional<base::TimePoint> clientGoneAt_;
};

// One attempt at a runner. Declared before what holds the connection, so that the connection is closed or back in the
// pool when this goes. Used on one strand.
class AttemptProgress {
 public:
  // `number`: of the attempt within its request, from 1.
  AttemptProgress(RequestProgress& request, AttemptKind kind, std::uint32_t number, std::string instanceId);
  ~AttemptProgress();
  AttemptProgress(const AttemptProgress&) = delete;
  AttemptProgress& operator=(const AttemptProgress&) = delete;

  // The attempt has ended so; called exactly once.
  void end(const AttemptOutcome& outcome);

 private:
  RequestProgress& request_;
  std::shared_ptr<ProxyMetrics> metrics_;  // it may go with the event loop, after what the sessions share
  AttemptKind kind_;
  std::string instanceId_;
  base::TimePoint startedAt_;
  std::optional<AttemptEnd> end_;
};

}  // namespace indigohill::proxy
