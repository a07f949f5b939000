#include <boost/asio/post.hpp>
#include <csignal>

#include "cli/controller_disk.hpp"
#include "cli/controller_status.hpp"
#include "cli/operator_calls.hpp"
#include "cli/process.hpp"
#include "cli/roles.hpp"
#include "control/calls.hpp"
#include "control/controller.hpp"
#include "http/server.hpp"
#include "net/link.hpp"
#include "store/store.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

// How long the agreement on a record takes, with room for a candidacy that has to start again; and how long a voter has
// to be missing from the view at least.
constexpr Millis kAgreement{1000}, kShortestExchange{300};

class Process {
 public:
  Process(const settings::Settings& settings, const std::string& path, ControllerDisk disk)
      : watch_(path, "controller", settings),
        store_(std::move(disk.store)),
        io_(1),
        executor_(io_.get_executor()),
        core_({settings.nodeName, settings.zone, cohortAddress(settings, true)}, std::move(disk.identity),
              seedAddresses(settings), tuningOf(settings), randomSeed()),
        calls_(executor_,
               {[this](control::Order order) { submit(std::move(order)); },
                [this](std::uint64_t call) { core_.cancel(call); }, [this] { return watch_.now().controlPlane.port; }}),
        control_(
            executor_, settings.controlPlane, {},
            [this](http::Request request, http::Caller caller) { return call(std::move(request), std::move(caller)); }),
        link_(executor_, cohortAddress(settings, true),
              [this](const schema::Message& m, const settings::Endpoint& from) { receive(m, from); }),
        reader_(executor_, settings.address) {}

  int run() {
    control_.start();
    link_.start();
    asio::co_spawn(io_, every(executor_, store_ ? kControllerTick : kRelayTick, [this] { return tick(); }),
                   asio::detached);
    asio::co_spawn(io_,
                   onSignals(
                       executor_, [this] { leave(); }, [this] { reread(true); }),
                   asio::detached);
    const auto& record = core_.replica().record();
    spdlog::info("controller started: control {}, cohort {}, voter {}, {}", settings::text(watch_.now().controlPlane),
                 settings::text(cohortAddress(watch_.now(), true)), store_ ? core_.replica().voterId() : "none (relay)",
                 record ? fmt::format("epoch {}", record->epoch) : "no record");
    io_.run();
    store_.reset();
    spdlog::info("controller ends");
    return 0;
  }

 private:
  static control::Controller::Tuning tuningOf(const settings::Settings& s) {
    control::Controller::Tuning tuning;
    tuning.group = groupTimes(s);
    tuning.feed = feedTimes(s);
    tuning.listPeriod = runners::listPeriod(s, 1);
    tuning.grace = s.gracePeriodS;
    // Each zone may be lost with the copy and the vote that it holds; voters and copies are spread over zones.
    tuning.faultTolerance = std::max<std::size_t>({1, s.machines, s.zones});
    // What goes wrong with a write must be mended well within the time that an order may take.
    tuning.replica.writeTimeout = std::min(tuning.replica.writeTimeout, s.ackTimeoutMs * 3 / 10);
    tuning.replica.placementWait = std::min(tuning.replica.placementWait, s.ackTimeoutMs * 3 / 8);
    tuning.replica.orderTimeout = std::min(tuning.replica.orderTimeout, s.ackTimeoutMs * 7 / 8);
    // A machine that was replaced by an empty one counts as lost only for `catchUpS` after the newcomer's start: by
    // then the voter that is gone must have been suspected, exchanged, and the record agreed on.
    tuning.replica.voterReplacementDelay = std::clamp(s.catchUpS - tuning.group.suspicionTimeout - kAgreement,
                                                      kShortestExchange, tuning.replica.voterReplacementDelay);
    tuning.replica.newcomerWindow = tuning.group.suspicionTimeout + kAgreement;
    return tuning;
  }

  asio::awaitable<http::Response> call(http::Request request, http::Caller caller) {
    auto found = control::findCall({request.method_string().data(), request.method_string().size()},
                                   {request.target().data(), request.target().size()});
    if (!found) co_return http::answer(request, 404, "no such call");
    if (found->kind == control::Call::Kind::Status)
      co_return http::answer(request, 200, controllerStatus(core_, link_.dropped(), base::Clock::now()),
                             "application/json");
    co_return co_await calls_.carryOut(std::move(*found), std::move(request), std::move(caller));
  }

  void submit(control::Order order) {
    control::Effects effects;
    core_.submit(std::move(order), base::Clock::now(), effects);
    apply(effects);
  }

  // Carries out what the core wants done.
  void apply(control::Effects& effects) {
    for (const auto& note : effects.notes) spdlog::info("{}", note);
    for (auto& write : effects.writes)
      store_->write(std::move(write), [this](std::uint64_t token, bool ok) {
        asio::post(executor_, [this, token, ok] {
          control::Effects after;
          core_.onDiskWrite(token, ok, base::Clock::now(), after);
          apply(after);
        });
      });
    for (auto& answer : effects.answers) calls_.answer(std::move(answer));
    link_.send(effects.out);
  }

  void receive(const schema::Message& message, const settings::Endpoint& from) {
    control::Effects effects;
    core_.receive(message, from, base::Clock::now(), effects);
    apply(effects);
  }

  bool tick() {
    const auto now = base::Clock::now();
    calls_.dropAbandoned();
    control::Effects effects;
    core_.tick(now, effects);
    if (!reading_ && core_.readingDue(now)) {
      reading_ = true;
      asio::co_spawn(io_,
                     readRunners(reader_, reading_,
                                 [this](std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt) {
                                   core_.setListPeriod(runners::listPeriod(watch_.now(), reader_.pages()));
                                   control::Effects after;
                                   core_.listed(std::move(runners), askedAt, base::Clock::now(), after);
                                   apply(after);
                                 }),
                     asio::detached);
    }
    if (now - lookedAt_ >= kSettingsLook) {
      lookedAt_ = now;
      reread(false);
    }
    apply(effects);
    if (!core_.left(now)) return true;
    io_.stop();
    return false;
  }

  void reread(bool told) {
    if (watch_.look(told)) core_.setSeeds(seedAddresses(watch_.now()));
  }

  void leave() {
    control::Effects effects;
    core_.leave(base::Clock::now(), effects);
    apply(effects);
  }

  SettingsWatch watch_;
  std::unique_ptr<store::Store> store_;
  asio::io_context io_;
  asio::any_io_executor executor_;
  control::Controller core_;
  OperatorCalls calls_;
  http::Server control_;
  net::Link link_;
  runners::Reader reader_;
  bool reading_ = false;
  base::TimePoint lookedAt_{};
};

}  // namespace

int runController(const settings::Settings& settings, const std::string& settingsPath) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the event loop takes it; the default would end the process
  return Process(settings, settingsPath, openControllerDisk(settings)).run();
}

}  // namespace indigohill::cli
