#include <boost/asio/strand.hpp>
#include <csignal>
#include <thread>

#include "base/journal.hpp"
#include "cli/process.hpp"
#include "cli/roles.hpp"
#include "http/server.hpp"
#include "net/link.hpp"
#include "pass/executor.hpp"
#include "routing/table.hpp"
#include "runners/reader.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr Millis kTick{200};
constexpr Millis kSettingsLook{1000};

routing::Bounds boundsOf(const settings::Settings& s) {
  return {s.retryBudgetRatio, s.retryBudgetSlack, s.warmupOvershoot, s.warmupSlack, s.retryWindowS,
          groupTimes(s).lease};
}

class Router {
 public:
  Router(const settings::Settings& settings, const std::string& path)
      : watch_(path, "router", settings), seed_(randomSeed()), workers_(workersOf(settings)),
        io_(static_cast<int>(workers_)), cohort_(asio::make_strand(io_)),
        group_({settings.nodeName + "/router", "", settings.zone, membership::Role::Router,
                cohortAddress(settings, false)},
               seedAddresses(settings), groupTimes(settings), seed_),
        source_(feed::Times{}), sink_(feed::Times{}, seed_), journal_(routing::fold),
        table_(settings.zone, boundsOf(settings), seed_ + 1, base::Clock::now()), executor_(io_.get_executor(), table_),
        acceptor_(http::listen(io_.get_executor(), settings.frontend, "frontend")),
        readiness_(io_.get_executor(), settings.readiness, {},
                   [this](http::Request request, settings::Endpoint) -> asio::awaitable<http::Response> {
                     co_return readiness(request);
                   }),
        link_(cohort_, cohortAddress(settings, false),
              [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }),
        reader_(cohort_, settings.address) {}

  int run() {
    readiness_.start();
    link_.start();
    asio::co_spawn(io_, executor_.accept(acceptor_), asio::detached);
    asio::co_spawn(cohort_, every(cohort_, kTick, [this] { return tick(); }), asio::detached);
    asio::co_spawn(cohort_, onSignals(cohort_, [this] { leave(); }, [this] { reread(true); }), asio::detached);
    spdlog::info("router started: frontend {}, cohort {}", settings::text(watch_.now().frontend),
                 settings::text(cohortAddress(watch_.now(), false)));
    std::vector<std::thread> others;
    for (std::size_t i = 1; i < workers_; ++i) others.emplace_back([this] { io_.run(); });
    io_.run();
    for (auto& other : others) other.join();
    const auto& c = executor_.counters();
    spdlog::info("router ends: {} requests, {} passed, {} further tries, {} resumed, {} shed, {} cut, {} failed",
                 c.requests, c.passed, c.retried, c.resumed, c.shed, c.cut, c.failed);
    return 0;
  }

 private:
  static std::size_t workersOf(const settings::Settings& s) {
    return std::clamp<std::size_t>(s.workers != 0 ? s.workers : s.cpuCores, 1, 64);
  }

  bool ready() const {
    return sink_.everConfirmed() && source_.frame() && source_.frame()->revision > 0 && source_.hasRunners() &&
           !leaving_;
  }

  http::Response readiness(const http::Request& request) {
    if (request.target() != "/v1/readiness") return http::answer(request, 404, "no such call");
    const bool is = isReady_;
    return http::answer(request, is ? 200 : 503, is ? "ready" : "not ready");
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    const auto now = base::Clock::now();
    net::Outbox out;
    if (const auto* ask = std::get_if<schema::Ask>(&message)) {
      source_.receive(*ask, from, now, out);
    } else if (const auto* news = std::get_if<schema::News>(&message)) {
      // Frames are taken from any member: only what is in force is ever sent, and versions only rise.
      const bool asked = sink_.receive(*news, from, now);
      take(*news, asked, now);
      if (asked) askForNews(now, out);
    } else {
      group_.receive(message, from, now, out);
    }
    settle(now, out);
  }

  void take(const schema::News& news, bool asked, base::TimePoint now) {
    for (const auto& frame : news.frames) {
      if (source_.frame() && frame.stamp <= source_.frame()->stamp) continue;
      std::shared_ptr<const control::Configuration> configuration;
      if (!frame.document.empty()) {
        auto parsed = control::parseConfiguration(frame.document);
        if (const auto* bad = base::fault(parsed)) {
          spdlog::error("configuration {} cannot be used: {}", frame.revision, bad->what);
          continue;
        }
        configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
      }
      source_.setFrame(frame);
      group_.setHeld(frame.stamp);
      spdlog::info("configuration {} in force (epoch {}, serial {})", frame.revision, frame.stamp.epoch,
                   frame.stamp.serial);
      append(routing::FrameCame{frame.stamp, std::move(configuration), frame.evacuated}, now);
    }
    if (!asked) return;
    const auto listedAt = now - Millis(news.runnersAgeMs);
    const bool known = source_.hasRunners() && news.runnersStamp == source_.runnersStamp();
    if (news.hasRunners || known) {
      if (source_.setRunners(news.runnersStamp, news.runners, listedAt))
        append(routing::RunnersCame{news.runnersStamp, news.runners, listedAt}, now);
    }
  }

  void append(routing::Event event, base::TimePoint now) {
    table_.setPicture(journal_.append(std::move(event)), now);
    executor_.waitlist().wake();
  }

  void askForNews(base::TimePoint now, net::Outbox& out) {
    sink_.tick(now, controllersToAsk(group_, watch_.now(), seed_), source_.frame() ? source_.frame()->stamp : schema::Stamp{},
               source_.runnersStamp(), out);
  }

  // After anything that may have moved the group: views to the journal, lease to the table, messages out.
  void settle(base::TimePoint now, net::Outbox& out) {
    for (auto& delivered : group_.takeDelivered()) {
      if (delivered.view)
        spdlog::info("view {}: {} members, incarnation {}", delivered.view->number, delivered.view->members.size(),
                     group_.incarnation());
      else
        spdlog::warn("left the group, told dead; joining again");
      append(routing::ViewCame{std::move(delivered.view)}, now);
    }
    if (const auto holder = group_.flushFrom())
      out.push_back({*holder, schema::Ask{0, source_.frame() ? source_.frame()->stamp : schema::Stamp{}, {~0ULL, 0}}});
    table_.setLease(group_.leaseUntil());
    isReady_ = ready();
    link_.send(out);
  }

  bool tick() {
    const auto now = base::Clock::now();
    net::Outbox out;
    group_.tick(now, out);
    source_.tick(now, out);
    askForNews(now, out);
    if (now - lookedAt_ >= kSettingsLook) {
      lookedAt_ = now;
      reread(false);
      std::set<std::string> known;
      for (const auto& entry : source_.runners()) known.insert(entry.instanceId);
      executor_.pool().sweep(known, now);
    }
    considerReading(now);
    settle(now, out);
    return !ended(now);
  }

  // Without news for so long that a draining runner might be missed, the platform is asked directly; the seed
  // spreads the routers that do so.
  void considerReading(base::TimePoint now) {
    const auto& s = watch_.now();
    const auto patience = s.drainTimeoutMs * 4 / 5 + Millis(seed_ % 400);
    if (reading_ || now - source_.listedAt() < patience || now - readAt_ < Millis(1000)) return;
    if (!source_.hasRunners() && now - startedAt_ < 3 * patience) return;
    reading_ = true;
    readAt_ = now;
    asio::co_spawn(cohort_, readList(), asio::detached);
  }

  asio::awaitable<void> readList() {
    const auto askedAt = base::Clock::now();
    auto result = co_await reader_.read(Millis(1000));
    reading_ = false;
    if (const auto* bad = base::fault(result)) {
      spdlog::warn("list of runners not read: {}", bad->what);
      co_return;
    }
    auto runners = std::get<0>(std::move(result));
    const auto stamp = source_.runnersStamp();
    // Kept under the stamp held: whatever a controller has next takes its place.
    append(routing::RunnersCame{stamp, runners, askedAt}, base::Clock::now());
    source_.setRunners(stamp, std::move(runners), askedAt);
  }

  void reread(bool told) {
    if (watch_.look(told)) group_.setSeeds(seedAddresses(watch_.now()));
  }

  // Not ready any more, but serving: the platform sends no new connections after a while, and each answer closes its
  // connection.
  void leave() {
    if (leaving_) return;
    leaving_ = true;
    leftAt_ = base::Clock::now();
    isReady_ = false;
    executor_.leave();
    net::Outbox out;
    group_.leave(out);
    link_.send(out);
    spdlog::info("leaving in order");
  }

  bool ended(base::TimePoint now) {
    if (!leaving_) return false;
    const auto since = now - leftAt_;
    const auto& s = watch_.now();
    // The platform asks for readiness each second and takes two misses; then what has come must end.
    const bool quiet = since > Millis(3000) && executor_.counters().active == 0;
    if (!quiet && since < s.gracePeriodS - Millis(400)) return false;
    io_.stop();
    return true;
  }

  SettingsWatch watch_;
  std::uint64_t seed_;
  std::size_t workers_;
  asio::io_context io_;
  asio::strand<asio::io_context::executor_type> cohort_;
  membership::Group group_;
  feed::Source source_;
  feed::Sink sink_;
  base::Journal<routing::Event, routing::Picture> journal_;
  routing::Table table_;
  pass::Executor executor_;
  http::tcp::acceptor acceptor_;
  http::Server readiness_;
  net::Link link_;
  runners::Reader reader_;
  std::atomic<bool> isReady_{false};
  bool leaving_ = false, reading_ = false;
  base::TimePoint leftAt_{}, lookedAt_{}, readAt_{}, startedAt_ = base::Clock::now();
};

}  // namespace

int runRouter(const settings::Settings& settings, const std::string& settingsPath) {
  std::signal(SIGPIPE, SIG_IGN);
  Router router(settings, settingsPath);
  return router.run();
}

}  // namespace indigohill::cli
