#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>
#include <thread>

#include "base/journal.hpp"
#include "cli/process.hpp"
#include "cli/roles.hpp"
#include "feed/follower.hpp"
#include "http/server.hpp"
#include "net/link.hpp"
#include "proxy/executor.hpp"
#include "routing/table.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr Millis kTick{200};
// After this time from the signal the platform sends no new connections: it asks for readiness each second and takes
// two misses.
constexpr Millis kDelisted{3000};
constexpr Millis kKillMargin{400};  // the process ends by itself so long before the platform kills it

// How long the process runs on after it was told to stop.
Millis graceOf(const settings::Settings& s) { return s.gracePeriodS - kKillMargin; }

routing::Bounds boundsOf(const settings::Settings& s) {
  return {s.retryBudgetRatio,
          s.retryBudgetSlack,
          s.warmupOvershoot,
          s.warmupSlack,
          s.retryWindowS,
          groupTimes(s).lease + groupTimes(s).handover,
          s.policy,
          static_cast<std::size_t>((s.policy.indexMb > 0 ? s.policy.indexMb : 0.1 * static_cast<double>(s.memoryMb)) *
                                   (1 << 20))};
}

class Router {
 public:
  Router(const settings::Settings& settings, const std::string& path)
      : watch_(path, "router", settings),
        seed_(randomSeed()),
        workers_(workersOf(settings)),
        io_(static_cast<int>(workers_)),
        cohort_(asio::make_strand(io_)),
        core_({settings.nodeName, settings.zone, cohortAddress(settings, false)}, seedAddresses(settings),
              groupTimes(settings), feedTimes(settings), settings.drainTimeoutMs, seed_, base::Clock::now()),
        journal_(routing::fold),
        table_(settings.zone, boundsOf(settings), seed_ + 1, base::Clock::now()),
        executor_(io_.get_executor(), table_),
        acceptor_(http::listen(io_.get_executor(), settings.frontend, "frontend")),
        readiness_(io_.get_executor(), settings.readiness, {},
                   [this](http::Request request, const http::Caller&) -> asio::awaitable<http::Response> {
                     co_return readiness(request);
                   }),
        link_(cohort_, cohortAddress(settings, false),
              [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }),
        reader_(cohort_, settings.address) {}

  int run() {
    if (watch_.now().trafficLog) executor_.setTrafficLog(base::openRecords());
    table_.setTell([this](const schema::LoadNotice& demand) {
      asio::post(cohort_, [this, demand] {
        net::Outbox out;
        core_.tell(demand, out);
        link_.send(out);
      });
    });
    readiness_.start();
    link_.start();
    asio::co_spawn(io_, executor_.accept(acceptor_), asio::detached);
    asio::co_spawn(cohort_, every(cohort_, kTick, [this] { return tick(); }), asio::detached);
    asio::co_spawn(cohort_,
                   onSignals(
                       cohort_, [this] { leave(); }, [this] { reread(true); }),
                   asio::detached);
    spdlog::info("router started: frontend {}, cohort {}", settings::text(watch_.now().frontend),
                 settings::text(cohortAddress(watch_.now(), false)));
    std::vector<std::thread> others;
    for (std::size_t i = 1; i < workers_; ++i) others.emplace_back([this] { io_.run(); });
    io_.run();
    for (auto& other : others) other.join();
    const auto& c = executor_.counters();
    spdlog::info(
        "router ends: {} requests, {} passed, {} further tries, {} resumed, {} shed, {} cut, {} failed, "
        "{} connections to runners",
        c.requests, c.passed, c.retried, c.resumed, c.rejected, c.cut, c.failed, executor_.pool().opened());
    const auto i = table_.indexState();
    spdlog::info(
        "index of prompt parts: {} hits, {} misses, {} stores, {} removes, {} forgotten, {} blocks in {} bytes, "
        "{} failed look-ups, {} rankings",
        i.counters.hits, i.counters.misses, i.counters.stores, i.counters.removes, i.counters.forgotten, i.blocks,
        i.bytes, i.failed, i.rankings);
    return 0;
  }

 private:
  static std::size_t workersOf(const settings::Settings& s) {
    return std::clamp<std::size_t>(s.workers != 0 ? s.workers : s.cpuCores, 1, 64);
  }

  http::Response readiness(const http::Request& request) {
    if (request.target() != "/v1/readiness") return http::answer(request, 404, "no such call");
    const bool is = isReady_;
    std::string body = is ? "ready" : "not ready";
    if (const auto ms = unvouchedMs_.load(); ms > 0)
      body += fmt::format("; no controller has vouched for the configuration for {} ms", ms);
    return http::answer(request, is ? 200 : 503, std::move(body));
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    feed::FollowerEffects effects;
    core_.receive(message, from, base::Clock::now(), effects);
    apply(effects);
  }

  // Carries out what the core wants done: events to the journal, the lease to the table, messages out.
  void apply(feed::FollowerEffects& effects) {
    const auto now = base::Clock::now();
    for (const auto& note : effects.notes) spdlog::info("{}", note);
    for (const auto& demand : effects.demands) table_.heard(demand, now);
    for (const auto& suspicions : effects.suspicions) table_.heard(suspicions, now);
    for (auto& event : effects.events) table_.setSnapshot(journal_.append(std::move(event)), now);
    if (!effects.events.empty()) executor_.queue().wakeAll();
    table_.setLease(core_.group().leaseUntil());
    isReady_ = core_.informed() && !leaving_;
    unvouchedMs_ = core_.staleFor(now).value_or(Millis(0)).count();
    link_.send(effects.out);
  }

  bool tick() {
    const auto now = base::Clock::now();
    feed::FollowerEffects effects;
    core_.tick(now, effects);
    for (const auto& [to, suspicions] : table_.takeHealthReports(now))
      to == 0 ? core_.tell(suspicions, effects.out) : core_.tell(to, suspicions, effects.out);
    if (now - lookedAt_ >= kSettingsLook) {
      lookedAt_ = now;
      reread(false);
      std::set<std::string> known;
      for (const auto& entry : core_.source().runners()) known.insert(entry.instanceId);
      executor_.pool().sweep(known, now);
    }
    if (!reading_ && core_.readingDue(now)) {
      reading_ = true;
      asio::co_spawn(cohort_,
                     readRunners(reader_, reading_,
                                 [this](std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt) {
                                   feed::FollowerEffects after;
                                   core_.listed(std::move(runners), askedAt, after);
                                   apply(after);
                                 }),
                     asio::detached);
    }
    apply(effects);
    return !ended(now);
  }

  void reread(bool told) {
    if (!watch_.look(told)) return;
    core_.setSeeds(seedAddresses(watch_.now()));
    table_.setBounds(boundsOf(watch_.now()));
  }

  // Not ready any more, but serving: the platform sends no new connections after a while, and each answer closes its
  // connection.
  void leave() {
    if (leaving_) return;
    leaving_ = true;
    leftAt_ = base::Clock::now();
    isReady_ = false;
    executor_.leave(leftAt_ + graceOf(watch_.now()));
    feed::FollowerEffects effects;
    core_.leave(effects);
    apply(effects);
  }

  bool ended(base::TimePoint now) {
    if (!leaving_) return false;
    const auto since = now - leftAt_;
    const auto& s = watch_.now();
    if (since > kDelisted) executor_.closeIdle();
    const bool quiet = since > kDelisted && executor_.counters().active == 0;
    if (!quiet && since < graceOf(s)) return false;
    io_.stop();
    return true;
  }

  SettingsWatch watch_;
  std::uint64_t seed_;
  std::size_t workers_;
  asio::io_context io_;
  asio::strand<asio::io_context::executor_type> cohort_;
  feed::Follower core_;
  base::Journal<routing::Event, routing::RoutingSnapshot> journal_;
  routing::Table table_;
  proxy::Executor executor_;
  http::tcp::acceptor acceptor_;
  http::Server readiness_;
  net::Link link_;
  runners::Reader reader_;
  std::atomic<bool> isReady_{false};
  std::atomic<std::int64_t> unvouchedMs_{0};
  bool leaving_ = false, reading_ = false;
  base::TimePoint leftAt_{}, lookedAt_{};
};

}  // namespace

int runRouter(const settings::Settings& settings, const std::string& settingsPath) {
  std::signal(SIGPIPE, SIG_IGN);
  Router router(settings, settingsPath);
  return router.run();
}

}  // namespace indigohill::cli
