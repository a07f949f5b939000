#include "emulator/daemon_fleet.hpp"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>

#include "http/client.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
namespace wire = http::wire;
using base::LogEvent;
using base::Millis;

namespace {

constexpr Millis kSupervision{20}, kReadinessPeriod{250}, kReadinessTimeout{1000};
constexpr Millis kRestartDelay{300};  // after an end that nobody asked for
constexpr int kMissesUntilOut = 2;
constexpr Millis kReloadStep{1};  // between the delays at which daemons get SIGHUP after a start
constexpr std::size_t kReloadSteps = 8;
constexpr const char* kInvariantEvent = R"("event":"invariant_violated")";

std::string startedEvent(Role role) { return fmt::format(R"("event":"{}_started")", nameOf(role)); }

void emptyFolder(const std::filesystem::path& folder) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
}

}  // namespace

DaemonFleet::DaemonFleet(const asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
                         std::string program, std::filesystem::path folder, Records& records, Timeline& timeline)
    : executor_(executor),
      experiment_(experiment),
      network_(network),
      program_(std::move(program)),
      folder_(std::move(folder)),
      records_(records),
      timeline_(timeline) {}

DaemonFleet::Daemon DaemonFleet::makeDaemon(Role role, std::size_t machine) {
  const auto name = fmt::format("{}-{}", nameOf(role), machine);
  Daemon out;
  out.settings = {role, machine, true, (folder_ / (name + ".data")).string()};
  out.settingsPath = (folder_ / (name + ".conf")).string();
  if (role == Role::Controller) std::filesystem::create_directories(out.settings.dataFolder);
  const auto index = daemons_.size();
  out.process = std::make_shared<DaemonProcess>(
      executor_, std::vector<std::string>{program_, nameOf(role), "--settings", out.settingsPath},
      ProcessLimits{experiment_.descriptors, experiment_.addressSpaceMb << 20}, (folder_ / (name + ".log")).string(),
      [this, index](const std::string& line) { onLine(daemons_[index], line); });
  return out;
}

void DaemonFleet::start() {
  for (std::size_t machine = 0; machine < experiment_.routers; ++machine)
    daemons_.push_back(makeDaemon(Role::Router, machine));
  for (std::size_t machine = 0; machine < experiment_.controllers; ++machine)
    daemons_.push_back(makeDaemon(Role::Controller, machine));
  for (auto& daemon : daemons_) launch(daemon);
  const auto self = shared_from_this();
  asio::co_spawn(
      executor_, [self]() { return self->superviseAll(); }, asio::detached);
  for (std::size_t machine = 0; machine < experiment_.routers; ++machine)
    asio::co_spawn(
        executor_, [self, machine]() { return self->pollReadiness(machine); }, asio::detached);
}

void DaemonFleet::stop() {
  stopped_ = true;
  for (auto& daemon : daemons_) daemon.process->signal(SIGKILL);
}

DaemonFleet::Daemon& DaemonFleet::daemon(Role role, std::size_t machine) {
  return daemons_.at(role == Role::Router ? machine : experiment_.routers + machine);
}

LogEvent DaemonFleet::event(const char* name, const Daemon& daemon) const {
  return LogEvent(name).with("role", nameOf(daemon.settings.role)).with("machine", daemon.settings.machine);
}

void DaemonFleet::launch(Daemon& daemon) {
  daemon.settings.firstSeed = firstSeed_;
  writeSettings(daemon);
  daemon.process->start();
  if (daemon.settings.role == Role::Controller) ++records_.controllerLives[daemon.settings.machine];
  daemon.settings.bootstrap = false;
  daemon.exitExpected = false;
  daemon.startedAt = base::Clock::now();
  daemon.upAt = base::TimePoint::max();
  daemon.startAt = daemon.killAt = base::TimePoint::max();
  daemon.down = kRestartDelay;
  timeline_.write(event("process_started", daemon).with("pid", daemon.process->pid()));
  if (base::Clock::now() >= settingsChangeUntil_) return;
  const auto delay = experiment_.earliestReload + kReloadStep * (launches_++ % kReloadSteps);
  asio::co_spawn(
      executor_, [self = shared_from_this(), delay]() { return self->changeSettingsLater(delay); }, asio::detached);
}

void DaemonFleet::writeSettings(const Daemon& daemon) const {
  std::ofstream(daemon.settingsPath, std::ios::trunc) << settingsText(experiment_, network_, daemon.settings);
}

void DaemonFleet::changeSettings(Millis time) {
  settingsChangeUntil_ = std::max(settingsChangeUntil_, base::Clock::now() + time);
  changeSettingsNow();
}

void DaemonFleet::changeSettingsNow() {
  ++firstSeed_;
  for (auto& daemon : daemons_) {
    if (!daemon.process->isRunning()) continue;
    daemon.settings.firstSeed = firstSeed_;
    writeSettings(daemon);
    if (base::Clock::now() >= daemon.startedAt + experiment_.earliestReload) daemon.process->signal(SIGHUP);
  }
}

asio::awaitable<void> DaemonFleet::changeSettingsLater(Millis delay) {
  const auto self = shared_from_this();
  asio::steady_timer timer(executor_, delay);
  co_await timer.async_wait(http::kTuple);
  if (!stopped_) changeSettingsNow();
}

void DaemonFleet::recordOutage(const Daemon& daemon, Outage::Kind kind) {
  if (daemon.settings.role == Role::Router)
    records_.outages.push_back({kind, daemon.settings.machine, base::Clock::now()});
}

void DaemonFleet::kill(Role role, std::size_t machine, Millis down) {
  auto& target = daemon(role, machine);
  recordOutage(target, Outage::Kind::Killed);
  target.exitExpected = true;
  target.ready = target.frozen = false;
  target.down = down;
  target.process->signal(SIGKILL);
}

void DaemonFleet::killAndWipe(std::size_t machine, Millis down) {
  daemon(Role::Controller, machine).wipe = true;
  kill(Role::Controller, machine, down);
}

void DaemonFleet::freeze(Role role, std::size_t machine, Millis time) {
  auto& target = daemon(role, machine);
  if (!target.process->isRunning()) return;
  recordOutage(target, Outage::Kind::Frozen);
  target.frozen = true;
  target.thawAt = base::Clock::now() + time;
  target.process->signal(SIGSTOP);
}

void DaemonFleet::terminate(Role role, std::size_t machine) {
  auto& target = daemon(role, machine);
  if (!target.process->isRunning() || target.killAt != base::TimePoint::max()) return;
  recordOutage(target, Outage::Kind::Terminating);
  target.terminatedAt = base::Clock::now();
  target.killAt = target.terminatedAt + experiment_.grace;
  target.process->signal(SIGTERM);
}

void DaemonFleet::thawAll() {
  for (auto& daemon : daemons_)
    if (daemon.frozen) daemon.thawAt = base::Clock::now();
}

asio::awaitable<void> DaemonFleet::superviseAll() {
  asio::steady_timer timer(executor_);
  while (!stopped_) {
    for (auto& daemon : daemons_) supervise(daemon, base::Clock::now());
    timer.expires_after(kSupervision);
    co_await timer.async_wait(http::kTuple);
  }
}

void DaemonFleet::supervise(Daemon& daemon, base::TimePoint now) {
  if (daemon.frozen && now >= daemon.thawAt) {
    daemon.frozen = false;
    daemon.process->signal(SIGCONT);
    timeline_.write(event("process_thawed", daemon));
  }
  if (const auto status = daemon.process->takeExit()) onExit(daemon, *status, now);
  if (daemon.process->isRunning() && now >= daemon.killAt) {
    daemon.killAt = base::TimePoint::max();
    timeline_.write(event("grace_period_over", daemon));
    kill(daemon.settings.role, daemon.settings.machine, kRestartDelay);
  }
  if (!daemon.process->isRunning() && now >= daemon.startAt) launch(daemon);
}

void DaemonFleet::onExit(Daemon& daemon, int status, base::TimePoint now) {
  const bool isTerminating = daemon.killAt != base::TimePoint::max();
  // SIGTERM ends a process at once that has not taken over the signal yet.
  const bool whileStarting = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM && daemon.terminatedAt <= daemon.upAt;
  const bool inOrder = isTerminating && (whileStarting || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
  const auto how =
      WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status)) : fmt::format("status {}", WEXITSTATUS(status));
  timeline_.write(event("process_ended", daemon)
                      .with("how", how)
                      .with("afterMs", base::toMs(now - daemon.startedAt))
                      .with("hadStarted", static_cast<int>(daemon.upAt != base::TimePoint::max())));
  if (!daemon.exitExpected && !inOrder)
    records_.unexpectedExits.push_back(
        fmt::format("{}-{}: {}", nameOf(daemon.settings.role), daemon.settings.machine, how));
  if (std::exchange(daemon.wipe, false)) {
    records_.lostDisks.push_back({daemon.settings.machine, now});
    emptyFolder(daemon.settings.dataFolder);
  }
  daemon.ready = daemon.frozen = false;
  daemon.killAt = base::TimePoint::max();
  daemon.startAt = now + daemon.down;
}

void DaemonFleet::onLine(Daemon& daemon, const std::string& line) {
  if (daemon.upAt == base::TimePoint::max() && line.find(startedEvent(daemon.settings.role)) != std::string::npos)
    daemon.upAt = base::Clock::now();
  if (line.find(kInvariantEvent) == std::string::npos) return;
  records_.invariantEvents.push_back(line);
  timeline_.write(event("invariant_violated", daemon).with("line", line));
}

asio::awaitable<void> DaemonFleet::pollReadiness(std::size_t machine) {
  const auto self = shared_from_this();
  http::Client client(executor_, network_.readiness(machine));
  asio::steady_timer timer(executor_);
  while (!stopped_) {
    const auto askedAt = base::Clock::now();
    const auto result = co_await client.call({wire::verb::get, "/v1/readiness", 11}, kReadinessTimeout);
    const bool ready = base::errorIn(result) == nullptr && std::get<0>(result).result_int() == 200;
    onPoll(daemon(Role::Router, machine), ready, askedAt);
    timer.expires_after(kReadinessPeriod);
    co_await timer.async_wait(http::kTuple);
  }
}

void DaemonFleet::onPoll(Daemon& daemon, bool ready, base::TimePoint askedAt) {
  if (ready && daemon.killAt != base::TimePoint::max() && askedAt > daemon.terminatedAt)
    records_.lateReadiness.push_back({daemon.settings.machine, daemon.terminatedAt, askedAt});
  daemon.missedPolls = ready ? 0 : daemon.missedPolls + 1;
  if (!ready && daemon.missedPolls < kMissesUntilOut) return;
  if (ready != daemon.ready) timeline_.write(event(ready ? "router_ready" : "router_not_ready", daemon));
  daemon.ready = ready;
  if (ready && !daemon.frozen) closeOutages(daemon.settings.machine, askedAt);
}

void DaemonFleet::closeOutages(std::size_t router, base::TimePoint askedAt) {
  for (auto& outage : records_.outages)
    if (outage.router == router && outage.from < askedAt) outage.until = std::min(outage.until, base::Clock::now());
}

std::size_t DaemonFleet::readyRouters() const {
  return static_cast<std::size_t>(
      std::count_if(daemons_.begin(), daemons_.end(), [](const auto& daemon) { return daemon.ready; }));
}

std::vector<std::size_t> DaemonFleet::admittedRouters() const {
  const bool all = 2 * readyRouters() < experiment_.routers;
  std::vector<std::size_t> out;
  for (const auto& daemon : daemons_)
    if (daemon.settings.role == Role::Router && (all || daemon.ready)) out.push_back(daemon.settings.machine);
  return out;
}

}  // namespace indigohill::emulator
