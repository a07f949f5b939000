#include <boost/asio/strand.hpp>
#include <memory>

#include "base/journal.hpp"
#include "base/task_failure.hpp"
#include "base/wall_time.hpp"
#include "base/worker_threads.hpp"
#include "cli/daemons.hpp"
#include "cli/deployment.hpp"
#include "cli/event_loop.hpp"
#include "cli/resource_limits.hpp"
#include "cli/settings_watch.hpp"
#include "duties/platform_client.hpp"
#include "http/server.hpp"
#include "metrics/router_metrics.hpp"
#include "metrics/server.hpp"
#include "net/link.hpp"
#include "proxy/executor.hpp"
#include "router/router_core.hpp"
#include "router/runner_watch.hpp"
#include "routing/table.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr Millis kTick{200};

routing::Bounds boundsOf(const settings::Settings& settings) {
  return {settings.retryBudgetRatio,
          settings.retryBudgetSlack,
          settings.warmupOvershoot,
          settings.warmupSlack,
          settings.retryWindowS,
          groupTimes(settings).lease + groupTimes(settings).handover,
          settings.policy,
          static_cast<std::size_t>(
              (settings.policy.indexMb > 0 ? settings.policy.indexMb : 0.1 * static_cast<double>(settings.memoryMb)) *
              (1 << 20))};
}

// A router's core, its routing table and its proxy with their sockets. The core runs on one strand (`control_`);
// clients and runners are served by the worker threads, which share table and executor (docs/design.md, "Threads and
// locks").
class RouterDaemon {
 public:
  RouterDaemon(const settings::Settings& settings, const DaemonOptions& options)
      : watch_(options.settingsPath, "router", settings),
        seed_(randomSeed()),
        workers_(workersOf(settings)),
        io_(static_cast<int>(workers_)),
        control_(asio::make_strand(io_)),
        core_({settings.nodeName, settings.zone, peerAddress(settings, false)}, seedAddresses(settings),
              groupTimes(settings), feedTimes(settings), settings.drainTimeoutMs, seed_, base::Clock::now(),
              dutySetup(settings, base::Clock::now())),
        usage_(core_.windowClock()),
        journal_(routing::fold),
        table_(settings.zone, boundsOf(settings), seed_ + 1, base::Clock::now()),
        memory_(peerMemory(settings)),
        executor_(io_.get_executor(), table_, proxyLimits(settings), memory_),
        acceptor_(http::awaitListen(io_.get_executor(), settings.frontend, "frontend")),
        readiness_(
            http::awaitListen(io_.get_executor(), settings.readiness, "readiness"), readinessLimits(settings),
            [this](http::Request request, const http::Caller&) -> asio::awaitable<http::Response> {
              co_return readiness(request);
            },
            memory_),
        link_(
            control_, peerAddress(settings, false), peerConnections(settings),
            [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }, memory_),
        reader_(control_, settings.address),
        platform_(
            control_, settings.address,
            [this](const duties::PlatformCall& call, base::TimePoint now) { return core_.mayCall(call, now); },
            [this](std::uint64_t id, duties::CallOutcome outcome) { onCallEnded(id, outcome); }),
        metrics_(
            control_, metricsAddress(settings, options.metricsPort),
            [this] { return metrics::routerMetrics(core_, table_, executor_, link_.dropped(), base::Clock::now()); },
            memory_) {}

  int run() {
    if (watch_.current().trafficLog) executor_.setTrafficLog(base::openRecords());
    executor_.setUsageCounter(usage_);
    table_.setNoticeSender([this](const schema::LoadNotice& notice) {
      asio::post(control_, [this, notice] {
        net::Outbox out;
        core_.broadcast(notice, out);
        link_.send(out);
      });
    });
    readiness_.start();
    link_.start();
    asio::co_spawn(io_, executor_.accept(acceptor_), base::EndOnTaskFailure("accept_clients"));
    asio::co_spawn(control_, tickUntilDone(control_, kTick, [this] { return tick(); }), base::EndOnTaskFailure("tick"));
    asio::co_spawn(control_,
                   handleSignals(
                       control_, [this] { shutDown(); }, [this] { reloadSettings(true); }),
                   base::EndOnTaskFailure("signals"));
    base::logInfo(base::LogEvent("router_started")
                      .with("frontend", settings::text(watch_.current().frontend))
                      .with("peers", settings::text(peerAddress(watch_.current(), false))));
    {
      const base::WorkerThreads others(workers_ - 1, [this] { io_.run(); });
      io_.run();
    }
    logTotals();
    return 0;
  }

 private:
  void logTotals() {
    const auto& requests = executor_.counters();
    base::logInfo(base::LogEvent("router_stopped")
                      .with("requests", requests.requests.load())
                      .with("passed", requests.passed.load())
                      .with("retried", requests.retried.load())
                      .with("resumed", requests.resumed.load())
                      .with("rejected", requests.rejected.load())
                      .with("cut", requests.cut.load())
                      .with("failed", requests.failed.load())
                      .with("runnerConnections", executor_.runnerConnectionsOpened()));
    const auto index = table_.indexState();
    base::logInfo(base::LogEvent("prompt_index_totals")
                      .with("hits", index.counters.hits)
                      .with("misses", index.counters.misses)
                      .with("stores", index.counters.stores)
                      .with("removes", index.counters.removes)
                      .with("forgotten", index.counters.forgotten)
                      .with("blocks", index.blocks)
                      .with("bytes", index.bytes)
                      .with("failedLookups", index.failed)
                      .with("rankings", index.rankings));
  }

  static std::size_t workersOf(const settings::Settings& settings) {
    return std::clamp<std::size_t>(settings.workers != 0 ? settings.workers : settings.cpuCores, 1, 64);
  }

  http::Response readiness(const http::Request& request) {
    if (request.target() != "/v1/readiness") return http::answer(request, 404, "no such call");
    const bool is = isReady_;
    std::string body = is ? "ready" : "not ready";
    if (const auto ms = unconfirmedMs_.load(); ms > 0)
      body += fmt::format("; no controller has confirmed the configuration for {} ms", ms);
    return http::answer(request, is ? 200 : 503, std::move(body));
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    router::RouterEffects effects;
    core_.receive(message, from, base::Clock::now(), effects);
    apply(effects);
  }

  // Carries out what the core wants done: events to the journal, the lease to the table, messages out.
  void apply(router::RouterEffects& effects) {
    const auto now = base::Clock::now();
    for (const auto& event : effects.log) base::logInfo(event);
    for (const auto& notice : effects.loadNotices) table_.receive(notice, now);
    for (const auto& report : effects.healthReports) table_.receive(report, now);
    logRunners(effects.events, now);
    for (auto& event : effects.events) table_.setSnapshot(journal_.append(std::move(event)), now);
    if (!effects.events.empty()) executor_.wakeQueuedRequests();
    table_.setLease(core_.group().leaseUntil());
    isReady_ = core_.isInformed() && !shutdown_;
    unconfirmedMs_ = core_.unconfirmedFor(now).value_or(Millis(0)).count();
    for (const auto id : effects.abortedCalls) platform_.abort(id);
    for (auto& dutyCall : effects.calls) platform_.start(std::move(dutyCall));
    link_.send(effects.out);
  }

  void onCallEnded(std::uint64_t id, duties::CallOutcome outcome) {
    router::RouterEffects effects;
    core_.onCallEnded(id, outcome, base::Clock::now(), effects);
    apply(effects);
  }

  // What has become of runners, for the log alone.
  void logRunners(const std::vector<routing::Event>& events, base::TimePoint now) {
    if (!base::isDebugLogged()) return;
    for (const auto& event : events)
      if (const auto* list = std::get_if<routing::RunnersReceived>(&event))
        for (const auto& change : runnerWatch_.onList(list->runners, now)) base::logDebug(change);
    for (const auto& change : runnerWatch_.tick(now)) base::logDebug(change);
  }

  bool tick() {
    const auto now = base::Clock::now();
    router::RouterEffects effects;
    core_.observeWallTime(now, base::wallTimeMs());
    // Taken after `now` was read: what is counted later may be of a later window.
    core_.addUsage(usage_.takeCounts(), executor_.takeLoads());
    core_.tick(now, effects);
    for (const auto& [to, report] : table_.takeHealthReports(now))
      to == 0 ? core_.broadcast(report, effects.out) : core_.sendTo(to, report, effects.out);
    if (now - settingsCheckedAt_ >= kSettingsInterval) {
      settingsCheckedAt_ = now;
      reloadSettings(false);
      std::set<std::string> known;
      for (const auto& entry : table_.snapshot()->runners) known.insert(entry.instanceId);
      executor_.closeStaleRunnerConnections(known, now);
    }
    if (!reading_ && core_.isListReadDue(now)) {
      reading_ = true;
      asio::co_spawn(control_,
                     readRunners(reader_, reading_,
                                 [this](std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt) {
                                   router::RouterEffects after;
                                   core_.onListRead(std::move(runners), askedAt, base::Clock::now(), after);
                                   apply(after);
                                 }),
                     base::LogTaskFailure("runner_list"));
    }
    apply(effects);
    return !isDone(now);
  }

  void reloadSettings(bool signalled) {
    if (!watch_.check(signalled)) return;
    core_.setSeeds(seedAddresses(watch_.current()));
    table_.setBounds(boundsOf(watch_.current()));
  }

  // Not ready any more, but serving: the platform sends no new connections after a while, and each answer closes its
  // connection.
  void shutDown() {
    if (shutdown_) return;
    const auto now = base::Clock::now();
    shutdown_ = proxy::ShutdownSchedule::from(now, watch_.current().gracePeriodS);
    isReady_ = false;
    executor_.shutDown(*shutdown_);
    base::logInfo(base::LogEvent("shutdown_scheduled")
                      .with("requestsEndInMs", base::toMs(shutdown_->requestsEndAt - now))
                      .with("processEndsInMs", base::toMs(shutdown_->processEndsAt - now))
                      .with("inProgress", executor_.counters().active.load()));
    router::RouterEffects effects;
    core_.leave(effects);
    apply(effects);
  }

  // Whether nothing is in progress and nothing can come any more: the last look is taken with the acceptor closed.
  bool isDrained(base::TimePoint now) {
    if (now <= shutdown_->delistedAt || executor_.counters().active > 0) return false;
    if (!acceptor_.is_open()) return true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return false;
  }

  bool isDone(base::TimePoint now) {
    if (!shutdown_) return false;
    executor_.advanceShutdown(now);
    if (now < shutdown_->processEndsAt && !isDrained(now)) return false;
    io_.stop();
    return true;
  }

  SettingsWatch watch_;
  std::uint64_t seed_;
  std::size_t workers_;
  asio::io_context io_;
  asio::strand<asio::io_context::executor_type> control_;
  router::RouterCore core_;
  usage::Counter usage_;
  base::Journal<routing::Event, routing::RoutingSnapshot> journal_;
  routing::Table table_;
  const std::shared_ptr<http::MemoryBudget> memory_;
  proxy::Executor executor_;
  http::tcp::acceptor acceptor_;
  http::Server readiness_;
  net::Link link_;
  runners::Reader reader_;
  duties::PlatformClient platform_;
  router::RunnerWatch runnerWatch_;
  metrics::Server metrics_;
  std::atomic<bool> isReady_{false};
  std::atomic<std::int64_t> unconfirmedMs_{0};
  bool reading_ = false;
  std::optional<proxy::ShutdownSchedule> shutdown_;  // from SIGTERM on
  base::TimePoint settingsCheckedAt_{};
};

}  // namespace

int runRouter(const settings::Settings& settings, const DaemonOptions& options) {
  // Never destroyed: coroutines of sessions that are still open refer to its parts, and the event loop, which has them,
  // would go last. The process ends here.
  return std::make_unique<RouterDaemon>(settings, options).release()->run();
}

}  // namespace indigohill::cli
