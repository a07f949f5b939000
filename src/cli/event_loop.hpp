#pragma once
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <random>
#include <vector>

#include "base/log.hpp"
#include "base/time.hpp"
#include "http/types.hpp"
#include "runners/reader.hpp"

// The coroutines that drive a daemon: ticks, signals, readings of the platform's list.
namespace indigohill::cli {

constexpr base::Millis kListReadTimeout{1000};

inline std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device() ^
         static_cast<std::uint64_t>(base::Clock::now().time_since_epoch().count());
}

// Calls `tick` once in each period until it returns false.
inline http::asio::awaitable<void> tickUntilDone(http::asio::any_io_executor executor, base::Millis period,
                                                 std::function<bool()> tick) {
  http::asio::steady_timer timer(executor);
  while (tick()) {
    timer.expires_after(period);
    co_await timer.async_wait(http::kTuple);
  }
}

// Calls `shutDown` at SIGTERM and SIGINT, `reload` at SIGHUP.
inline http::asio::awaitable<void> handleSignals(http::asio::any_io_executor executor, std::function<void()> shutDown,
                                                 std::function<void()> reload) {
  http::asio::signal_set signals(executor, SIGTERM, SIGINT, SIGHUP);
  for (;;) {
    auto [error, number] = co_await signals.async_wait(http::kTuple);
    if (error) co_return;
    if (number == SIGHUP)
      reload();
    else
      shutDown();
  }
}

// Reads the platform's list once and hands it on; an error is logged. `reading` is false from its end on.
inline http::asio::awaitable<void> readRunners(
    runners::Reader& reader, bool& reading,
    std::function<void(std::vector<schema::RunnerEntry>, base::TimePoint askedAt)> onRead) {
  const auto askedAt = base::Clock::now();
  auto result = co_await reader.read(kListReadTimeout);
  reading = false;
  if (const auto* bad = base::errorIn(result))
    base::logWarning(base::LogEvent("runner_list_read_failed").with("error", bad->message));
  else
    onRead(std::get<0>(std::move(result)), askedAt);
}

}  // namespace indigohill::cli
