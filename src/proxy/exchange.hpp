#pragma once
#include <optional>
#include <string>
#include <utility>

#include "http/types.hpp"
#include "proxy/client_connection.hpp"
#include "proxy/event_splitter.hpp"
#include "rollout/versions.hpp"
#include "routing/attempt_error.hpp"
#include "routing/authentication.hpp"
#include "routing/table.hpp"

namespace indigohill::proxy {

class RequestProgress;

// One request in progress and what the client has of its response.
struct Exchange {
  Exchange(const ClientConnection& itsClient, const http::Request& clientRequest, const control::Route& itsRoute,
           RequestProgress& itsProgress)
      : client(itsClient.stream),
        clientLimits(itsClient.limits),
        clientMonitor(itsClient.monitor),
        request(clientRequest),
        route(itsRoute),
        progress(itsProgress) {}

  // Whether a runner's work is ended when the client leaves. What may run once is left to end as it may.
  bool endsWithClient() const { return route.repeatable() || route.type == control::RouteType::Streaming; }

  http::beast::tcp_stream& client;
  http::ResourceLimiter::Connection& clientLimits;
  ClientMonitor& clientMonitor;
  const http::Request& request;
  const control::Route& route;
  RequestProgress& progress;
  std::string attemptId;  // the client's
  routing::Caller caller;
  std::string service;
  base::TimePoint arrivedAt, deadline;
  bool stream = false;    // relayed event by event
  bool started = false;   // the client has bytes of the response
  bool counted = false;   // as a request that has begun to run
  bool keepAlive = true;  // as announced to the client: its connection can be used further
  int status = 200;       // of the response that the client was sent
  EventSplitter events;
  std::string resumeFrom;                   // Last-Event-Id for the next runner
  base::TimePoint firstEventAt{};           // when the first event was sent to the client
  base::TimePoint sentAt{};                 // when the request was sent to the runner that has it now
  routing::Admission* admission = nullptr;  // the slot at the runner that has it now
  std::optional<http::Response> failure;    // a runner's own 5xx, passed on if no other runner does better
  // Version of the weights at the runner that the stream's events come from, as its responses tell; and the version
  // that is expected of this attempt.
  std::optional<std::uint64_t> version, expectedVersion;
  bool versionChanged = false;  // within the stream, as the rollout allows
};

// How an attempt at a runner ended.
struct AttemptOutcome {
  enum class End {
    Answered,     // the client has its complete response
    ClientGone,   // nobody to respond to any more
    Rejected,     // the runner said that it did not run the request
    Unreachable,  // no connection to it came about
    Failed        // the runner broke off; `error` says whether the request may have run
  };
  End end = End::Failed;
  routing::AttemptError error;
  std::optional<rollout::ReportedVersion> otherVersion{};  // what the runner reported instead of the expected version

  static AttemptOutcome answered() { return {End::Answered, {routing::ExecutionStatus::Ran, {}}}; }
  static AttemptOutcome clientGone() { return {End::ClientGone, {routing::ExecutionStatus::Ran, {}}}; }
  static AttemptOutcome rejected(std::string message) {
    return {End::Rejected, {routing::ExecutionStatus::NotRun, std::move(message)}};
  }
  static AttemptOutcome unreachable(std::string message) {
    return {End::Unreachable, {routing::ExecutionStatus::NotRun, std::move(message)}};
  }
  static AttemptOutcome failed(std::string message, std::optional<rollout::ReportedVersion> otherVersion = {}) {
    return {End::Failed, {routing::ExecutionStatus::MayHaveRun, std::move(message)}, otherVersion};
  }
};

}  // namespace indigohill::proxy
