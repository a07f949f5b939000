#pragma once
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "emulator/daemon_process.hpp"
#include "emulator/daemon_settings.hpp"
#include "emulator/records.hpp"
#include "emulator/timeline.hpp"

namespace indigohill::emulator {

// The daemons of all machines. It does what the platform does for them: starts a process that has ended after a short
// delay, kills one that outlasts its grace period, and asks routers whether they are ready.
class DaemonFleet : public std::enable_shared_from_this<DaemonFleet> {
 public:
  DaemonFleet(const http::asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
              std::string program, std::filesystem::path folder, Records& records, Timeline& timeline);

  // The first start of the whole system.
  void start();
  // Kills every process; none is started any more.
  void stop();

  // SIGKILL; the process is started again after `down`.
  void kill(Role role, std::size_t machine, base::Millis down);
  // The same for a controller, whose store folder is empty when it comes back.
  void killAndWipe(std::size_t machine, base::Millis down);
  void freeze(Role role, std::size_t machine, base::Millis time);
  void terminate(Role role, std::size_t machine);
  // Writes the settings of all daemons anew and sends SIGHUP, now and, for so long, shortly after each start of one.
  void changeSettings(base::Millis time);
  // From now on nothing is frozen.
  void thawAll();

  // Where new connections of clients go: the routers that are ready, or all of them when fewer than half are.
  std::vector<std::size_t> admittedRouters() const;
  std::size_t readyRouters() const;

 private:
  struct Daemon {
    DaemonSettings settings;
    std::shared_ptr<DaemonProcess> process;
    std::string settingsPath;
    bool exitExpected = false, frozen = false, ready = false;
    bool wipe = false;  // its store folder is emptied when it has ended
    int missedPolls = 0;
    base::Millis down{0};  // how long the next exit lasts
    base::TimePoint startAt = base::TimePoint::max(), killAt = base::TimePoint::max(), thawAt = base::TimePoint::max();
    base::TimePoint startedAt{}, terminatedAt{}, upAt = base::TimePoint::max();  // up: it has logged its start
  };

  Daemon makeDaemon(Role role, std::size_t machine);
  Daemon& daemon(Role role, std::size_t machine);
  void launch(Daemon& daemon);
  void writeSettings(const Daemon& daemon) const;
  void changeSettingsNow();
  http::asio::awaitable<void> changeSettingsLater(base::Millis delay);
  void onExit(Daemon& daemon, int status, base::TimePoint now);
  void onLine(Daemon& daemon, const std::string& line);
  void recordOutage(const Daemon& daemon, Outage::Kind kind);
  void closeOutages(std::size_t router, base::TimePoint askedAt);
  void supervise(Daemon& daemon, base::TimePoint now);
  http::asio::awaitable<void> superviseAll();
  http::asio::awaitable<void> pollReadiness(std::size_t machine);
  void onPoll(Daemon& daemon, bool ready, base::TimePoint askedAt);
  base::LogEvent event(const char* name, const Daemon& daemon) const;

  http::asio::any_io_executor executor_;
  const Experiment& experiment_;
  const Network& network_;
  std::string program_;
  std::filesystem::path folder_;
  Records& records_;
  Timeline& timeline_;
  std::vector<Daemon> daemons_;  // the routers in the order of their machines, then the controllers
  bool stopped_ = false;
  base::TimePoint settingsChangeUntil_{};
  std::size_t firstSeed_ = 0, launches_ = 0;
};

}  // namespace indigohill::emulator
