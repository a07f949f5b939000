#include "cli/deployment.hpp"

#include <algorithm>
#include <variant>

#include "base/lists.hpp"
#include "base/log.hpp"
#include "base/wall_time.hpp"

namespace indigohill::cli {

// The order that membership::Times asks for stays.
membership::Times groupTimes(const settings::Settings& settings) {
  membership::Times times;
  times.suspicionTimeout = std::min(times.suspicionTimeout, settings.ackTimeoutMs / 2);
  times.heartbeatInterval = std::min(times.heartbeatInterval, times.suspicionTimeout / 4);
  times.lease = std::min(times.lease, times.suspicionTimeout * 3 / 4);
  times.handover = std::min(times.handover, times.suspicionTimeout / 2);
  return times;
}

feed::Times feedTimes(const settings::Settings& settings) {
  const auto times = feed::Times::within(settings.configApplyMs);
  const auto worst = times.worstApply(kObserverTick);
  if (worst > settings.configApplyMs)
    base::logWarning(base::LogEvent("config_apply_bound_too_short")
                         .with("boundMs", settings.configApplyMs.count())
                         .with("worstMs", worst.count()));
  return times;
}

namespace {

// Runners are taken away once this long none more were wanted. Short, as each is paid for by the second.
constexpr base::Millis kScaleInStabilization{5000};

}  // namespace

duties::Setup dutySetup(const settings::Settings& settings, base::TimePoint now) {
  duties::Setup setup;
  setup.options.lease = lease::Times::within(settings.leaseMs);
  setup.options.reportsUsage = base::contains(settings.duties, std::string("usage_reporting"));
  setup.options.scales = base::contains(settings.duties, std::string("autoscaling"));
  setup.options.usageDelay = settings.usageDelayS;
  setup.options.scaling.stabilization = kScaleInStabilization;
  setup.usageWindow = settings.usageWindowS;
  setup.startedAt = now;
  setup.wallMs = base::wallTimeMs();
  return setup;
}

std::vector<settings::Endpoint> seedAddresses(const settings::Settings& settings) {
  std::vector<settings::Endpoint> out;
  out.reserve(settings.seedNodes.size());
  for (const auto& seed : settings.seedNodes) out.push_back({seed.ip, settings::peerPort(settings, true)});
  return out;
}

settings::Endpoint metricsAddress(const settings::Settings& settings, std::uint16_t port) {
  auto out = std::get<settings::Endpoint>(settings::parseEndpoint(settings.ipAddress + ":1"));
  out.port = port;
  return out;
}

settings::Endpoint peerAddress(const settings::Settings& settings, bool controller) {
  auto out = std::get<settings::Endpoint>(settings::parseEndpoint(settings.ipAddress + ":1"));
  out.port = settings::peerPort(settings, controller);
  return out;
}

bool keepsTallies(const settings::Settings& settings) {
  return settings.guarantees.empty() || base::contains(settings.guarantees, std::string("apart"));
}

}  // namespace indigohill::cli
