#include "metrics/router_metrics.hpp"

#include "metrics/common_metrics.hpp"

namespace indigohill::metrics {

namespace {

using proxy::nameOf;
using proxy::ProxyMetrics;

double value(const base::Counter& counter) { return static_cast<double>(counter.value()); }

void addRequests(Exposition& out, const ProxyMetrics& metrics) {
  auto requests = Family::counter("requests_total", "Requests that have ended, by the type of their route.");
  metrics.requests.forEach([&](control::RouteType type, const ProxyMetrics::PerOutcome& outcomes) {
    outcomes.forEach([&](proxy::RequestOutcome outcome, const base::Counter& count) {
      if (outcome != proxy::RequestOutcome::Unrouted)
        requests.add(value(count), {{"route_type", nameOf(type)}, {"outcome", nameOf(outcome)}});
    });
  });
  requests.add(value(metrics.unrouted), {{"route_type", "none"}, {"outcome", nameOf(proxy::RequestOutcome::Unrouted)}});
  out.add(std::move(requests));
  auto durations = Family::histogram("request_duration_seconds", "From the whole request read until its end.");
  metrics.requestTime.forEach([&](control::RouteType type, const base::DurationHistogram& histogram) {
    durations.add(histogram, {{"route_type", nameOf(type)}});
  });
  out.add(std::move(durations));
}

void addAttempts(Exposition& out, const ProxyMetrics& metrics) {
  auto attempts = Family::counter("attempts_total", "Attempts at runners that have ended. There are no hedges.");
  metrics.attempts.forEach([&](proxy::AttemptKind kind, const ProxyMetrics::PerEnd& ends) {
    ends.forEach([&](proxy::AttemptEnd end, const base::Counter& count) {
      attempts.add(value(count), {{"kind", nameOf(kind)}, {"end", nameOf(end)}});
    });
  });
  out.add(std::move(attempts));
  out.add(Family::gauge("attempts_open", "Attempts at runners in progress.")
              .with(static_cast<double>(metrics.openAttempts.value())));
  auto connect = Family::histogram("attempt_connect_seconds",
                                   "From the choice of a runner until a connection to it may carry the request.");
  connect.add(metrics.connectTime);
  out.add(std::move(connect));
}

void addQueue(Exposition& out, const proxy::Executor& executor) {
  const auto& metrics = executor.metrics();
  out.add(Family::gauge("queue_length", "Requests that wait for a slot at a runner.")
              .with(static_cast<double>(executor.queuedRequests())));
  auto wait = Family::histogram("queue_wait_seconds", "How long a request waited for a slot, each time that it did.");
  wait.add(metrics.queueTime);
  out.add(std::move(wait));
  out.add(
      Family::counter("queue_full_total", "Requests that found no place in the queue.").with(value(metrics.queueFull)));
}

void addClients(Exposition& out, const ProxyMetrics& metrics) {
  auto gone = Family::counter("clients_gone_total", "Requests whose client left, by the state that they were in.");
  metrics.clientsGone.forEach([&](proxy::RequestState state, const base::Counter& count) {
    gone.add(value(count), {{"state", nameOf(state)}});
  });
  out.add(std::move(gone));
  auto release = Family::histogram("client_gone_release_seconds",
                                   "From a client's close being seen until the connection to its runner was closed.");
  release.add(metrics.releaseTime);
  out.add(std::move(release));
}

void addConnections(Exposition& out, const proxy::Executor& executor) {
  const auto& metrics = executor.metrics();
  out.add(Family::gauge("client_connections", "Open connections of clients.")
              .with(static_cast<double>(metrics.clientConnections.value())));
  auto runners = Family::gauge("runner_connections", "Connections to runners, with a request and kept without one.");
  runners.add(static_cast<double>(metrics.openAttempts.value()), {{"state", "in_use"}});
  runners.add(static_cast<double>(executor.idleRunnerConnections()), {{"state", "idle"}});
  out.add(std::move(runners));
  const auto clients = executor.clientCounts();
  out.add(Family::gauge("client_body_bytes", "Bodies of requests that are read or in progress.")
              .with(static_cast<double>(clients.bodyBytes)));
  out.add(Family::gauge("peer_memory_bytes", "Memory that the peers of all listeners hold, as far as it is counted.")
              .with(static_cast<double>(executor.memory().reserved())));
  out.add(Family::gauge("peer_memory_limit_bytes", "The bound on that memory.")
              .with(static_cast<double>(executor.memory().bytes())));
  out.add(Family::counter("clients_evicted_total", "Connections that kept the router waiting and gave way to others.")
              .with(static_cast<double>(clients.evicted)));
  out.add(Family::counter("client_connections_refused_total", "Connections that were closed as too many were open.")
              .with(static_cast<double>(clients.refusedConnections)));
  out.add(Family::counter("client_bodies_refused_total", "Bodies that there was no memory for.")
              .with(static_cast<double>(clients.refusedBodies)));
  out.add(Family::counter("runner_connections_opened_total", "Connections to runners that were begun.")
              .with(static_cast<double>(executor.runnerConnectionsOpened())));
}

void addRunners(Exposition& out, const routing::Table& table, base::TimePoint now) {
  const auto counts = table.runnerCounts(now);
  auto runners = Family::gauge("runners", "Listed runners by what this router may send there.");
  const auto add = [&](std::size_t count, const char* state) {
    runners.add(static_cast<double>(count), {{"state", state}});
  };
  add(counts.serving, "serving");
  add(counts.warming, "warming");
  add(counts.draining, "draining");
  add(counts.unhealthy, "unhealthy");
  add(counts.heldBack, "held_back");
  out.add(std::move(runners));
  out.add(Family::gauge("slots_held", "Slots at runners that this router's requests hold.")
              .with(static_cast<double>(counts.ownRequests)));
}

void addWarmingRunners(Exposition& out, const routing::WarmingRequests& warming) {
  out.add(Family::counter("warming_requests_admitted_total", "Requests admitted to runners in slow start.")
              .with(static_cast<double>(warming.admitted())));
  out.add(Family::counter("warming_requests_refused_total",
                          "How often a runner in slow start was passed over, as this router's share of it was used.")
              .with(static_cast<double>(warming.refused())));
  auto requests = Family::counter("warming_runner_requests_total", "Requests admitted to this runner in slow start.");
  auto share =
      Family::gauge("warming_runner_share", "This router's share of the runner's slow start, requests a second.");
  auto most = Family::gauge("warming_runner_most_in_second", "The most requests admitted to it within any second.");
  auto allowance = Family::gauge("warming_runner_allowance", "What this router's share allowed in that second.");
  for (const auto& runner : warming.figures()) {
    const Labels labels{{"runner", runner.instanceId}};
    requests.add(static_cast<double>(runner.admitted), labels);
    share.add(runner.sharePerS, labels);
    most.add(static_cast<double>(runner.mostInSecond), labels);
    allowance.add(static_cast<double>(runner.allowance), labels);
  }
  for (auto* family : {&requests, &share, &most, &allowance}) out.add(std::move(*family));
}

}  // namespace

std::string routerMetrics(const router::RouterCore& core, const routing::Table& table, const proxy::Executor& executor,
                          std::uint64_t droppedMessages, base::TimePoint now) {
  Exposition out;
  addProcess(out, droppedMessages);
  addGroup(out, core.group(), now);
  addUpdates(out, core.publisher(), now);
  addRequests(out, executor.metrics());
  addAttempts(out, executor.metrics());
  addQueue(out, executor);
  addClients(out, executor.metrics());
  addConnections(out, executor);
  addRunners(out, table, now);
  addWarmingRunners(out, table.warmingRequests());
  if (core.duties().isEnabled()) addDuties(out, core.duties(), now);
  return out.text();
}

}  // namespace indigohill::metrics
