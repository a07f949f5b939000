#include "emulator/daemon_settings.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace indigohill::emulator {

namespace {

constexpr std::size_t kSeedNodes = 3;

std::string addressOf(const settings::Endpoint& endpoint) {
  const auto whole = settings::text(endpoint);
  return whole.substr(0, whole.find(':'));
}

std::string seedNodes(const Experiment& experiment, const Network& network, std::size_t first) {
  const auto count = std::min(kSeedNodes, experiment.controllersWithDisk());
  std::string out;
  for (std::size_t i = 0; i < count; ++i)
    out += (out.empty() ? "" : ",") + settings::text(network.controlPlane((first + i) % count));
  return out;
}

std::string roleLines(const Experiment& experiment, const Network& network, const DaemonSettings& settings) {
  if (settings.role == Role::Controller)
    return fmt::format("bindAddresses.controlPlane={}\ndataDirectory={}\n",
                       settings::text(network.controlPlane(settings.machine)),
                       experiment.hasDisk(settings.machine) ? settings.dataFolder : "");
  return fmt::format("bindAddresses.frontend={}\nbindAddresses.readiness={}\n",
                     settings::text(network.frontend(settings.machine)),
                     settings::text(network.readiness(settings.machine)));
}

std::string boundLines(const Experiment& experiment) {
  return fmt::format(
      "bounds.contactMs={}\nbounds.gracePeriodS={}\nbounds.warmupOvershoot={}\nbounds.warmupSlack={}\n"
      "bounds.retryBudgetRatio={}\nbounds.retryBudgetSlack={}\nbounds.retryWindowS={}\n",
      experiment.contact.count(), experiment.grace.count() / 1000, experiment.warmupOvershoot, experiment.warmupSlack,
      experiment.retryRatio, experiment.retrySlack, experiment.retryWindow.count() / 1000);
}

}  // namespace

const char* nameOf(Role role) { return role == Role::Router ? "router" : "controller"; }

std::string settingsText(const Experiment& experiment, const Network& network, const DaemonSettings& settings) {
  return fmt::format(
             "nodeName=machine-{}\nrole={}\nmachineClass=edge\nipAddress={}\nzone=zone-{}\nregion=region\n"
             "internalPortRange={},{}\nseedNodes={}\nbootstrap={}\nquorumMember={}\nfaultTolerance.machines=1\n"
             "faultTolerance.zones=1\nlimits.cpuCores={}\nlimits.memoryMb={}\n"
             "limits.maxOpenFiles={}\ncloudApi.address={}\ncloudApi.ratePerS={}\n"
             "cloudApi.maxLagMs={}\n",
             settings.machine, nameOf(settings.role), addressOf(network.frontend(settings.machine)),
             experiment.zoneOf(settings.machine), Network::kFirstPeerPort, Network::kLastPeerPort,
             seedNodes(experiment, network, settings.firstSeed), settings.bootstrap,
             experiment.hasDisk(settings.machine), experiment.cpuCores, experiment.memoryMb, experiment.descriptors,
             settings::text(network.platform()), experiment.listCallsPerS, experiment.listLag.count()) +
         roleLines(experiment, network, settings) + boundLines(experiment);
}

}  // namespace indigohill::emulator
