#include "emulator/soak_run.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdlib>

#include "emulator/applications.hpp"
#include "emulator/daemon_fleet.hpp"
#include "emulator/fault_injector.hpp"
#include "emulator/operator.hpp"
#include "emulator/pause.hpp"
#include "emulator/payload.hpp"
#include "emulator/platform.hpp"
#include "emulator/timeline.hpp"
#include "emulator/traffic.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
using base::LogEvent;
using base::Millis;

namespace {

constexpr Millis kStartLimit{30000}, kReadBackLimit{15000}, kAckLimit{20000};
constexpr Millis kPoll{20}, kStallProbe{10}, kSettle{200};

// The path of the file of cuts. The daemons that are started from now on find it in their environment.
std::string exportCutFile(const RunOptions& options) {
  auto path = (options.folder / "cuts").string();
  ::setenv(kCutFileVariable, path.c_str(), 1);
  return path;
}

// One run: everything that takes part in it, and its course.
class SoakRun {
 public:
  SoakRun(const Experiment& experiment, const RunOptions& options)
      : experiment_(experiment),
        options_(options),
        plan_(planFaults(experiment, options.seed, options.scenario)),
        network_(freeNetwork()),
        timeline_((options.folder / "timeline.jsonl").string()),
        executor_(io_.get_executor()),
        cuts_(experiment, network_, records_, exportCutFile(options)),
        platform_(std::make_shared<Platform>(executor_, experiment, network_, records_)),
        fleet_(std::make_shared<DaemonFleet>(executor_, experiment, network_, options.program, options.folder, records_,
                                             timeline_)),
        traffic_(std::make_shared<Traffic>(executor_, experiment, network_, *fleet_, records_, options.seed)),
        operator_(std::make_shared<Operator>(executor_, experiment, network_, records_, timeline_, options.seed)),
        applications_(std::make_shared<Applications>(executor_, experiment, network_, cuts_, records_, options.seed)),
        injector_(std::make_shared<FaultInjector>(
            executor_, experiment, FaultInjector::Targets{*fleet_, *platform_, *traffic_, cuts_, timeline_})) {}

  RunResult play() {
    const auto startedAt = base::Clock::now();
    asio::co_spawn(executor_, watchStalls(), asio::detached);
    asio::co_spawn(executor_, course(), [this](const std::exception_ptr& error) {
      failure_ = error;
      io_.stop();
    });
    io_.run();
    fleet_->stop();
    if (failure_) std::rethrow_exception(failure_);
    return result(startedAt);
  }

 private:
  asio::awaitable<void> course() {
    startAll();
    const bool started = co_await awaitStart();
    if (!started) {
      startViolation_ = "the daemons are not ready, or the first configuration is not acknowledged";
      co_return;
    }
    traffic_->start();
    applications_->start();
    co_await pause(experiment_.calmBefore);
    timeline_.write(LogEvent("troubles_begin"));
    operator_->start();
    injector_->start(plan_);
    co_await pause(experiment_.trouble);
    injector_->healAll();
    records_.calmFrom = base::Clock::now();
    timeline_.write(LogEvent("troubles_over"));
    co_await pause(experiment_.calmAfter);
    operator_->stop();
    traffic_->stop();
    applications_->stop();
    co_await awaitTrafficEnd();
    co_await operator_->readBack(kReadBackLimit);
    co_await awaitMerge();
    co_await applications_->readBack(kReadBackLimit);
    finished_ = true;
  }

  void startAll() {
    timeline_.write(LogEvent("run_started")
                        .with("seed", options_.seed)
                        .with("scenario", nameOf(plan_.scenario))
                        .with("platform", settings::text(network_.platform())));
    for (std::size_t i = 0; i < experiment_.runnersPerService; ++i)
      for (const auto* service : {kPlainService, kStreamService}) platform_->add(service, false);
    platform_->start();
    fleet_->start();
  }

  asio::awaitable<bool> awaitStart() {
    const auto until = base::Clock::now() + kStartLimit;
    const bool declared = co_await operator_->declareFirst(kAckLimit);
    if (!declared) co_return false;
    while (fleet_->readyRouters() < experiment_.routers && base::Clock::now() < until) co_await pause(kPoll);
    co_return fleet_->readyRouters() == experiment_.routers;
  }

  asio::awaitable<void> awaitTrafficEnd() {
    const auto until = base::Clock::now() + experiment_.patienceMost + kSettle;
    while (traffic_->inProgress() > 0 && base::Clock::now() < until) co_await pause(kPoll);
    co_await pause(kSettle);
  }

  // Until every add is owed: acknowledged `mergeWindow` ago or more.
  asio::awaitable<void> awaitMerge() {
    while (applications_->inProgress() > 0) co_await pause(kPoll);
    co_await pause(experiment_.mergeWindow + records_.longestStall);
  }

  // How late this event loop comes to what is due.
  asio::awaitable<void> watchStalls() {
    asio::steady_timer timer(executor_);
    for (;;) {
      timer.expires_after(kStallProbe);
      co_await timer.async_wait(http::kTuple);
      const auto late = std::chrono::duration_cast<Millis>(base::Clock::now() - timer.expiry());
      records_.longestStall = std::max(records_.longestStall, late);
    }
  }

  RunResult result(base::TimePoint startedAt) {
    RunResult out;
    out.seed = options_.seed;
    out.scenario = plan_.scenario;
    out.faults = plan_.faults.size();
    out.faultsAtOnce = plan_.mostAtOnce();
    out.arrivals = records_.arrivals.size();
    out.attempts = records_.attempts.size();
    out.changes = records_.changes.size();
    for (const auto& attempt : records_.attempts) {
      out.served += attempt.isSuccess() ? 1 : 0;
      out.left += attempt.end == Attempt::End::Left ? 1 : 0;
    }
    countAdds(out);
    out.took = std::chrono::duration_cast<Millis>(base::Clock::now() - startedAt);
    out.longestStall = records_.longestStall;
    if (finished_)
      out.violations = judgeAll(experiment_, records_);
    else
      out.violations.push_back({"START", startedAt, startViolation_});
    for (const auto& violation : out.violations)
      timeline_.write(LogEvent("violation")
                          .with("rule", violation.rule)
                          .with("atMs", violation.at == base::TimePoint{} ? -1 : timeline_.since(violation.at).count())
                          .with("detail", violation.detail));
    if (!out.violations.empty()) writeRecords();
    return out;
  }

  void countAdds(RunResult& out) const {
    out.adds = records_.tallyAdds.size();
    for (const auto& add : records_.tallyAdds) {
      if (add.acknowledgements.empty()) continue;
      ++out.addsAcknowledged;
      const auto at = add.acknowledgements.front().at;
      const bool inCut =
          std::any_of(records_.cuts.begin(), records_.cuts.end(), [&](const CutTime& cut) { return cut.contains(at); });
      out.addsInCuts += inCut ? 1 : 0;
    }
  }

  // What the violations rest on: every attempt, and every arrival at a runner.
  void writeRecords() const {
    Timeline out((options_.folder / "records.jsonl").string(), timeline_.startedAt());
    for (const auto& attempt : records_.attempts)
      out.write(LogEvent("attempt")
                    .with("id", attempt.id)
                    .with("router", attempt.router)
                    .with("kind", pathPrefix(attempt.kind))
                    .with("end", static_cast<int>(attempt.end))
                    .with("status", attempt.status)
                    .with("endedMs", timeline_.since(attempt.endedAt).count()),
                attempt.sentAt);
    for (const auto& arrival : records_.arrivals)
      out.write(LogEvent("arrival")
                    .with("id", arrival.attempt)
                    .with("runner", arrival.runner)
                    .with("warming", static_cast<int>(arrival.warming))
                    .with("end", static_cast<int>(arrival.end))
                    .with("ran", static_cast<int>(arrival.ran))
                    .with("endedMs", timeline_.since(arrival.endedAt).count()),
                arrival.sentAt);
    writeTallies(out);
  }

  void writeTallies(Timeline& out) const {
    for (const auto& add : records_.tallyAdds) {
      out.write(LogEvent("tally_add")
                    .with("tally", add.tally)
                    .with("amount", fmt::format("{:#x}", add.amount))
                    .with("tries", add.tries)
                    .with("notDone", add.notDone),
                add.sentAt);
      for (const auto& acknowledgement : add.acknowledgements)
        out.write(LogEvent("tally_acknowledged")
                      .with("tally", add.tally)
                      .with("amount", fmt::format("{:#x}", add.amount))
                      .with("controller", acknowledgement.by.controller)
                      .with("life", acknowledgement.by.life),
                  acknowledgement.at);
    }
    for (const auto* reads : {&records_.tallyReads, &records_.tallyReadBacks})
      for (const auto& read : *reads)
        out.write(LogEvent("tally_read")
                      .with("tally", read.tally)
                      .with("controller", read.by.controller)
                      .with("life", read.by.life)
                      .with("total", fmt::format("{:#x}", read.total)),
                  read.answeredAt);
  }

  const Experiment& experiment_;
  const RunOptions& options_;
  FaultPlan plan_;
  Network network_;
  Records records_;
  Timeline timeline_;
  asio::io_context io_{1};  // destroyed after all that hold sockets of it
  asio::any_io_executor executor_;
  PeerCuts cuts_;
  std::shared_ptr<Platform> platform_;
  std::shared_ptr<DaemonFleet> fleet_;
  std::shared_ptr<Traffic> traffic_;
  std::shared_ptr<Operator> operator_;
  std::shared_ptr<Applications> applications_;
  std::shared_ptr<FaultInjector> injector_;
  std::exception_ptr failure_;
  std::string startViolation_;
  bool finished_ = false;
};

}  // namespace

RunResult runSeed(const Experiment& experiment, const RunOptions& options) {
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  return SoakRun(experiment, options).play();
}

}  // namespace indigohill::emulator
