#include "base/start_retry.hpp"

#include <thread>

#include "base/log.hpp"
#include "base/time.hpp"

namespace indigohill::base {

namespace {

constexpr Millis kPause{100};
constexpr int kFailuresPerLine = 100;

}  // namespace

void retryAtStart(const LogEvent& failure, const std::function<std::optional<std::string>()>& attempt) {
  for (int failures = 0;; ++failures) {
    const auto error = attempt();
    if (!error) return;
    if (failures % kFailuresPerLine == 0) logError(LogEvent(failure).with("error", *error));
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace indigohill::base
