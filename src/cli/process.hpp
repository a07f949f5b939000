#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <functional>
#include <random>
#include <string>

#include "base/log.hpp"
#include "feed/publisher.hpp"
#include "http/types.hpp"
#include "membership/group.hpp"
#include "runners/reader.hpp"
#include "settings/settings.hpp"

// What both roles share: signals, ticks, the settings file that may change, where the controllers are.
namespace indigohill::cli {

constexpr base::Millis kSettingsLook{1000};  // how often the settings file is looked at

inline std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device() ^
         static_cast<std::uint64_t>(base::Clock::now().time_since_epoch().count());
}

// Times of the protocols, derived from the deployment's bounds where those bind.
inline membership::Times groupTimes(const settings::Settings& s) {
  membership::Times times;
  // A failure must be agreed on well within the time that an order may take.
  times.suspicionTimeout = std::min(times.suspicionTimeout, s.ackTimeoutMs / 2);
  // See membership::Times for how they bound each other.
  times.heartbeatInterval = std::min(times.heartbeatInterval, times.suspicionTimeout / 4);
  times.lease = std::min(times.lease, times.suspicionTimeout * 3 / 4);
  times.handover = std::min(times.handover, times.suspicionTimeout / 2);
  return times;
}

// How often a controller looks at the clock: with a disk, and without one.
constexpr base::Millis kControllerTick{100}, kRelayTick{250};

// Times of the news, within the bound on applying a configuration.
inline feed::Times feedTimes(const settings::Settings& s) {
  const auto times = feed::Times::within(s.configApplyMs);
  if (times.appliedAfter(kRelayTick) > s.configApplyMs)
    spdlog::warn("bounds.configApplyMs: {} ms is less than a configuration may take to reach all",
                 s.configApplyMs.count());
  return times;
}

// The cohort addresses of the controllers that the operator has listed.
inline std::vector<settings::Endpoint> seedAddresses(const settings::Settings& s) {
  std::vector<settings::Endpoint> out;
  for (const auto& seed : s.seedNodes) out.push_back({seed.ip, settings::cohortPort(s, true)});
  return out;
}

inline settings::Endpoint cohortAddress(const settings::Settings& s, bool controller) {
  auto own = std::get<settings::Endpoint>(settings::parseEndpoint(s.ipAddress + ":1"));
  own.port = settings::cohortPort(s, controller);
  return own;
}

// Reads the settings again when told to or when the file has changed; bad ones are logged and the old kept.
class SettingsWatch {
 public:
  SettingsWatch(std::string path, std::string role, settings::Settings now)
      : path_(std::move(path)), role_(std::move(role)), now_(std::move(now)), written_(written()) {}

  // True when other settings are in force now.
  bool look(bool told) {
    const auto at = written();
    if (!told && at == written_) return false;
    written_ = at;
    auto read = settings::read(path_);
    if (const auto* bad = base::errorIn(read)) {
      spdlog::error("settings kept as they were: {}", bad->what);
      return false;
    }
    auto next = std::get<0>(std::move(read));
    if (auto missing = settings::missingFor(next, role_); !missing.empty()) {
      spdlog::error("settings kept as they were: {}", missing);
      return false;
    }
    if (next.frontend != now_.frontend || next.controlPlane != now_.controlPlane || next.readiness != now_.readiness ||
        next.dataDirectory != now_.dataDirectory || next.internalPortRange != now_.internalPortRange)
      spdlog::warn("bindAddresses, internalPortRange and dataDirectory take effect with the next start");
    spdlog::set_level(spdlog::level::from_str(next.logLevel == "warn" ? "warning" : next.logLevel));
    now_ = std::move(next);
    spdlog::info("settings read again");
    return true;
  }
  const settings::Settings& now() const { return now_; }

 private:
  std::filesystem::file_time_type written() const {
    std::error_code ignored;
    return std::filesystem::last_write_time(path_, ignored);
  }
  std::string path_, role_;
  settings::Settings now_;
  std::filesystem::file_time_type written_;
};

// Reads the platform's list once and hands it on; what goes wrong is logged.
inline http::asio::awaitable<void> readRunners(
    runners::Reader& reader, bool& reading,
    std::function<void(std::vector<schema::RunnerEntry>, base::TimePoint askedAt)> take) {
  const auto askedAt = base::Clock::now();
  auto result = co_await reader.read(base::Millis(1000));
  reading = false;
  if (const auto* bad = base::errorIn(result))
    spdlog::warn("list of runners not read: {}", bad->what);
  else
    take(std::get<0>(std::move(result)), askedAt);
}

// Calls `tick` again and again until it says no.
inline http::asio::awaitable<void> every(http::asio::any_io_executor executor, base::Millis period,
                                         std::function<bool()> tick) {
  http::asio::steady_timer timer(executor);
  while (tick()) {
    timer.expires_after(period);
    co_await timer.async_wait(http::kTuple);
  }
}

inline http::asio::awaitable<void> onSignals(http::asio::any_io_executor executor, std::function<void()> leave,
                                             std::function<void()> reread) {
  http::asio::signal_set signals(executor, SIGTERM, SIGINT, SIGHUP);
  for (;;) {
    auto [error, number] = co_await signals.async_wait(http::kTuple);
    if (error) co_return;
    if (number == SIGHUP)
      reread();
    else
      leave();
  }
}

}  // namespace indigohill::cli
