#include "cli/controller_disk.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <system_error>

#include "base/start_retry.hpp"
#include "cli/deployment.hpp"
#include "cli/event_loop.hpp"

namespace indigohill::cli {

namespace {

constexpr std::uint64_t kMebibyte = 1u << 20;

// Room for each of the two snapshot files; LMDB wants about three times what it holds.
std::uint64_t mapBytes(const settings::Settings& settings) {
  return std::clamp(settings.diskMb * kMebibyte / 4, 4 * kMebibyte, 32 * kMebibyte);
}

// `attempt` gives the error of a try that failed.
void retryOpening(const std::function<std::optional<std::string>()>& attempt) {
  base::retryAtStart(base::LogEvent("store_open_failed"), attempt);
}

std::unique_ptr<store::Store> openStore(const settings::Settings& settings) {
  std::unique_ptr<store::Store> out;
  retryOpening([&]() -> std::optional<std::string> {
    auto opened = store::Store::open(settings.dataDirectory, mapBytes(settings));
    if (const auto* bad = base::errorIn(opened)) return bad->message;
    out = std::get<0>(std::move(opened));
    return std::nullopt;
  });
  return out;
}

std::optional<store::AppendLog> openTallies(const settings::Settings& settings) {
  std::optional<store::AppendLog> out;
  retryOpening([&]() -> std::optional<std::string> {
    try {
      out.emplace(settings.dataDirectory, "tallies");
    } catch (const std::system_error& error) {
      return error.what();
    }
    return std::nullopt;
  });
  return out;
}

}  // namespace

ControllerDisk openControllerDisk(const settings::Settings& settings) {
  // No disk, or one whose loss does not count: nothing is kept there.
  if (settings.dataDirectory.empty() || !settings.quorumMember) return {};
  ControllerDisk out;
  out.store = openStore(settings);
  const auto read = [&](control::Slot slot) { return out.store->read(slot); };
  std::vector<control::DiskWrite> writes;
  out.identity = control::identify(read, settings.bootstrap && !out.store->wasLost(), settings.seedNodes,
                                   settings.controlPlane, randomSeed(), writes);
  if (!writes.empty())
    retryOpening([&]() -> std::optional<std::string> {
      if (out.store->writeAndWait(writes)) return std::nullopt;
      return "the identity cannot be written";
    });
  if (keepsTallies(settings)) out.tallies = openTallies(settings);
  return out;
}

}  // namespace indigohill::cli
