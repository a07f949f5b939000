#pragma once
#include "base/metrics.hpp"
#include "control/configuration.hpp"

// What the proxy counts of requests and attempts. Shared by all sessions of a router and thread-safe.
namespace indigohill::proxy {

// Where a request is on its way.
enum class RequestState { Reading, Queued, Connecting, Sending, AwaitingHead, Streaming, Replying };

enum class RequestOutcome {
  Answered,    // the client has a runner's complete response
  Rejected,    // 503: it has not run
  Failed,      // another error, of the router's own or a runner's
  Cut,         // the connection was ended within the response
  ClientGone,  // nobody to answer any more
  Unrouted     // no configuration, or no route for it
};

enum class AttemptKind {
  First,
  Retry,  // another runner after a failure
  Resume  // a stream goes on at another runner
};

// As AttemptOutcome::End has it, and one for attempts whose request ended with the process.
enum class AttemptEnd { Answered, ClientGone, Rejected, Unreachable, Failed, Abandoned };

// The words for these in metrics and logs.
const char* nameOf(RequestState state);
const char* nameOf(RequestOutcome outcome);
const char* nameOf(AttemptKind kind);
const char* nameOf(AttemptEnd end);
const char* nameOf(control::RouteType type);

struct ProxyMetrics {
  template <class Item = base::Counter>
  using PerRouteType = base::PerValue<control::RouteType, control::RouteType::Streaming, Item>;
  using PerOutcome = base::PerValue<RequestOutcome, RequestOutcome::Unrouted>;
  using PerEnd = base::PerValue<AttemptEnd, AttemptEnd::Abandoned>;

  PerRouteType<PerOutcome> requests;
  base::Counter unrouted;  // requests without a route, and so without its type
  PerRouteType<base::DurationHistogram> requestTime;
  base::PerValue<AttemptKind, AttemptKind::Resume, PerEnd> attempts;
  base::Level openAttempts;
  base::DurationHistogram queueTime;    // of each wait for a slot
  base::DurationHistogram connectTime;  // from the choice of a runner until the request is sent there
  base::Counter queueFull;              // requests that found no place in the queue
  base::PerValue<RequestState, RequestState::Replying> clientsGone;
  // From the moment at which a client's close was seen until the connection to the runner was closed.
  base::DurationHistogram releaseTime;
  base::Level clientConnections;
};

}  // namespace indigohill::proxy
