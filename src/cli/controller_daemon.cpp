#include <boost/asio/post.hpp>

#include "base/task_failure.hpp"
#include "base/wall_time.hpp"
#include "cli/controller_disk.hpp"
#include "cli/controller_status.hpp"
#include "cli/daemons.hpp"
#include "cli/deployment.hpp"
#include "cli/event_loop.hpp"
#include "cli/operator_calls.hpp"
#include "cli/resource_limits.hpp"
#include "cli/settings_watch.hpp"
#include "cli/tally_peers.hpp"
#include "cli/tally_service.hpp"
#include "control/calls.hpp"
#include "control/controller.hpp"
#include "duties/platform_client.hpp"
#include "http/server.hpp"
#include "metrics/controller_metrics.hpp"
#include "metrics/server.hpp"
#include "net/link.hpp"
#include "store/store.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr Millis kAgreement{1000};  // how long the agreement on a record takes, with room for a second campaign
constexpr Millis kMinVoterReplacementDelay{300};

// A controller's core with its sockets and its disk. All of it runs on one thread but for the disk's.
class ControllerDaemon {
 public:
  ControllerDaemon(const settings::Settings& settings, const DaemonOptions& options, ControllerDisk disk)
      : watch_(options.settingsPath, "controller", settings),
        store_(std::move(disk.store)),
        io_(1),
        executor_(io_.get_executor()),
        core_({settings.nodeName, settings.zone, peerAddress(settings, true)}, std::move(disk.identity),
              seedAddresses(settings), optionsOf(settings), randomSeed()),
        calls_(executor_, {[this](control::Order order) { submit(std::move(order)); },
                           [this](std::uint64_t call) { core_.cancel(call); },
                           [this] { return watch_.current().controlPlane.port; }}),
        memory_(peerMemory(settings)),
        control_(
            http::awaitListen(executor_, settings.controlPlane, "control"), controlLimits(settings),
            [this](http::Request request, http::Caller caller) { return call(std::move(request), std::move(caller)); },
            memory_),
        link_(
            executor_, peerAddress(settings, true), peerConnections(settings),
            [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }, memory_),
        reader_(executor_, settings.address),
        platform_(
            executor_, settings.address,
            [this](const duties::PlatformCall& call, base::TimePoint now) { return core_.mayCall(call, now); },
            [this](std::uint64_t id, duties::CallOutcome outcome) { onCallEnded(id, outcome); }),
        tallies_(openTallyService(settings, std::move(disk.tallies))),
        tallyPeers_(peerAddress(settings, true)),
        metrics_(
            executor_, metricsAddress(settings, options.metricsPort),
            [this] { return metrics::controllerMetrics(core_, tallyReplica(), link_.dropped(), base::Clock::now()); },
            memory_) {}

  int run() {
    control_.start();
    link_.start();
    asio::co_spawn(io_, tickUntilDone(executor_, store_ ? kControllerTick : kObserverTick, [this] { return tick(); }),
                   base::EndOnTaskFailure("tick"));
    asio::co_spawn(io_,
                   handleSignals(
                       executor_, [this] { shutDown(); }, [this] { reloadSettings(true); }),
                   base::EndOnTaskFailure("signals"));
    base::logInfo(base::LogEvent("controller_started")
                      .with("control", settings::text(watch_.current().controlPlane))
                      .with("peers", settings::text(peerAddress(watch_.current(), true)))
                      .with("voter", core_.replica().voterId())
                      .with("epoch", core_.replica().record() ? core_.replica().record()->epoch : 0));
    io_.run();
    store_.reset();
    base::logInfo(base::LogEvent("controller_stopped"));
    return 0;
  }

 private:
  std::unique_ptr<TallyService> openTallyService(const settings::Settings& settings,
                                                 std::optional<store::AppendLog> log) {
    if (!log) return nullptr;
    tally::Options options;
    options.copies = copiesOf(settings);
    return std::make_unique<TallyService>(executor_, link_, *std::move(log), settings.bootstrap, options, randomSeed());
  }

  const tally::Replica* tallyReplica() const { return tallies_ ? &tallies_->replica() : nullptr; }

  // An add is on the disks of as many machines as may be lost at once, and one more.
  static std::size_t copiesOf(const settings::Settings& settings) { return faultToleranceOf(settings) + 1; }

  // Each zone may be lost with the copy and the vote that it holds; voters and copies are spread over zones.
  static std::size_t faultToleranceOf(const settings::Settings& settings) {
    return std::max<std::size_t>({1, settings.machines, settings.zones});
  }

  static control::Controller::Options optionsOf(const settings::Settings& settings) {
    control::Controller::Options options;
    options.group = groupTimes(settings);
    options.feed = feedTimes(settings);
    options.listReadInterval = runners::listReadInterval(settings, 1);
    options.gracePeriod = settings.gracePeriodS;
    options.duties = dutySetup(settings, base::Clock::now());
    options.replica.lease = options.duties.options.lease;
    options.faultTolerance = faultToleranceOf(settings);
    // What goes wrong with a write must be mended well within the time that an order may take.
    options.replica.writeTimeout = std::min(options.replica.writeTimeout, settings.ackTimeoutMs * 3 / 10);
    options.replica.placementWait = std::min(options.replica.placementWait, settings.ackTimeoutMs * 3 / 8);
    options.replica.orderTimeout = std::min(options.replica.orderTimeout, settings.ackTimeoutMs * 7 / 8);
    // A machine that was replaced by an empty one counts as lost only for `catchUpS` after the newcomer's start: by
    // then the voter that is gone must have been suspected, exchanged, and the record agreed on.
    options.replica.voterReplacementDelay =
        std::clamp(settings.catchUpS - options.group.suspicionTimeout - kAgreement, kMinVoterReplacementDelay,
                   options.replica.voterReplacementDelay);
    options.replica.newcomerWindow = options.group.suspicionTimeout + kAgreement;
    return options;
  }

  asio::awaitable<http::Response> call(http::Request request, http::Caller caller) {
    auto found = control::findCall({request.method_string().data(), request.method_string().size()},
                                   {request.target().data(), request.target().size()});
    if (!found) co_return http::answer(request, 404, "no such call");
    if (found->kind == control::Call::Kind::Status)
      co_return http::answer(request, 200, controllerStatus(core_, tallyReplica(), link_.dropped(), base::Clock::now()),
                             "application/json");
    if (found->kind != control::Call::Kind::Order) co_return co_await callTallies(*found, request);
    co_return co_await calls_.carryOut(std::move(*found), std::move(request), std::move(caller));
  }

  asio::awaitable<http::Response> callTallies(const control::Call& call, const http::Request& request) {
    if (!keepsTallies(watch_.current())) co_return http::answer(request, 404, "no tallies are kept here");
    if (tallies_) co_return co_await tallies_->carryOut(call, request);
    const auto& view = core_.group().view();
    const auto replica = view ? nearestTallyReplica(*view, watch_.current().zone) : std::nullopt;
    if (!replica) co_return http::answer(request, 503, "no controller with a disk is known");
    auto out = http::answer(request, 307, "");
    const settings::Endpoint at{replica->ip, watch_.current().controlPlane.port};
    out.set(http::wire::field::location, "http://" + settings::text(at) + std::string(request.target()));
    co_return out;
  }

  void submit(control::Order order) {
    control::Effects effects;
    core_.submit(std::move(order), base::Clock::now(), effects);
    apply(effects);
  }

  // Carries out what the core wants done.
  void apply(control::Effects& effects) {
    for (const auto& event : effects.log) base::logInfo(event);
    for (auto& write : effects.writes)
      store_->write(std::move(write), [this](std::uint64_t token, control::WriteOutcome outcome) {
        asio::post(executor_, [this, token, outcome] {
          control::Effects after;
          core_.onDiskWrite(token, outcome, base::Clock::now(), after);
          apply(after);
        });
      });
    for (auto& answer : effects.answers) calls_.answer(std::move(answer));
    for (const auto id : effects.abortedCalls) platform_.abort(id);
    for (auto& dutyCall : effects.calls) platform_.start(std::move(dutyCall));
    link_.send(effects.out);
  }

  void onCallEnded(std::uint64_t id, duties::CallOutcome outcome) {
    control::Effects effects;
    core_.onCallEnded(id, outcome, base::Clock::now(), effects);
    apply(effects);
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    if (tallies_ && tallies_->receive(message, from)) return;
    control::Effects effects;
    core_.receive(message, from, base::Clock::now(), effects);
    apply(effects);
  }

  bool tick() {
    const auto now = base::Clock::now();
    calls_.dropAbandoned();
    core_.observeWallTime(now, base::wallTimeMs());
    control::Effects effects;
    core_.tick(now, effects);
    if (!reading_ && core_.isListReadDue(now)) {
      reading_ = true;
      asio::co_spawn(
          io_,
          readRunners(reader_, reading_,
                      [this](std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt) {
                        core_.setListReadInterval(runners::listReadInterval(watch_.current(), reader_.pages()));
                        control::Effects after;
                        core_.onListRead(std::move(runners), askedAt, base::Clock::now(), after);
                        apply(after);
                      }),
          base::LogTaskFailure("runner_list"));
    }
    if (now - settingsCheckedAt_ >= kSettingsInterval) {
      settingsCheckedAt_ = now;
      reloadSettings(false);
    }
    apply(effects);
    if (tallies_) {
      tallies_->tick(tallyPeers_.surroundings(core_.group(), core_.contacts(), now));
      if (core_.hasLeftGroup()) tallies_->shutDown();
    }
    if (!core_.isShutDown(now)) return true;
    io_.stop();
    return false;
  }

  void reloadSettings(bool signalled) {
    if (watch_.check(signalled)) core_.setSeeds(seedAddresses(watch_.current()));
  }

  void shutDown() {
    control::Effects effects;
    core_.shutDown(base::Clock::now(), effects);
    apply(effects);
  }

  SettingsWatch watch_;
  std::unique_ptr<store::Store> store_;
  asio::io_context io_;
  asio::any_io_executor executor_;
  control::Controller core_;
  OperatorCalls calls_;
  const std::shared_ptr<http::MemoryBudget> memory_;
  http::Server control_;
  net::Link link_;
  runners::Reader reader_;
  duties::PlatformClient platform_;
  std::unique_ptr<TallyService> tallies_;  // null: none are kept here
  TallyPeers tallyPeers_;
  metrics::Server metrics_;
  bool reading_ = false;
  base::TimePoint settingsCheckedAt_{};
};

}  // namespace

int runController(const settings::Settings& settings, const DaemonOptions& options) {
  return ControllerDaemon(settings, options, openControllerDisk(settings)).run();
}

}  // namespace indigohill::cli
