#include "routing/snapshot.hpp"

#include <algorithm>
#include <cctype>

namespace indigohill::routing {

namespace {

void indexRoutes(RoutingSnapshot& snapshot) {
  snapshot.byHost.clear();
  if (!snapshot.configuration) return;
  for (const auto& route : snapshot.configuration->routes) snapshot.byHost[route.host].push_back(&route);
  for (auto& [host, routes] : snapshot.byHost)
    std::stable_sort(routes.begin(), routes.end(),
                     [](const auto* a, const auto* b) { return a->prefix.size() > b->prefix.size(); });
}

void apply(RoutingSnapshot& snapshot, const StateReceived& state) {
  if (state.version < snapshot.stateVersion) return;
  snapshot.stateVersion = state.version;
  snapshot.configuration = state.configuration;
  snapshot.evacuated = {state.evacuated.begin(), state.evacuated.end()};
  const bool hasTenants = state.configuration && state.configuration->tenants;
  snapshot.tenantKeys = hasTenants ? std::make_shared<const TenantKeys>(*state.configuration->tenants) : nullptr;
  snapshot.rollouts.clear();
  for (const auto& rollout : state.rollouts) snapshot.rollouts.emplace(rollout.service, rollout);
  indexRoutes(snapshot);
}

void apply(RoutingSnapshot& snapshot, const RunnersReceived& list) {
  if (snapshot.hasRunners && list.version < snapshot.runnersVersion) return;
  snapshot.runnersVersion = list.version;
  snapshot.runners = list.runners;
  snapshot.listedAt = list.listedAt;
  snapshot.runnersReceivedAt = list.receivedAt;
  snapshot.hasRunners = true;
}

void apply(RoutingSnapshot& snapshot, const ViewReceived& received) {
  snapshot.view = received.view;
  snapshot.self = received.self;
}

void apply(RoutingSnapshot& snapshot, const ProposalReceived& proposal) { snapshot.proposed = proposal.routers; }

std::string hostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  for (auto& letter : name) letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  return name;
}

}  // namespace

const control::Route* RoutingSnapshot::route(std::string_view host, std::string_view path) const {
  const auto found = byHost.find(hostName(host));
  if (found == byHost.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const auto* route : found->second)
    if (path.starts_with(route->prefix)) return route;
  return nullptr;
}

const control::Service* RoutingSnapshot::service(const std::string& name) const {
  return configuration ? configuration->service(name) : nullptr;
}

const rollout::InForce* RoutingSnapshot::rolloutOf(const std::string& service) const {
  const auto found = rollouts.find(service);
  return found == rollouts.end() ? nullptr : &found->second;
}

void fold(RoutingSnapshot& snapshot, const Event& event) {
  std::visit([&](const auto& received) { apply(snapshot, received); }, event);
}

}  // namespace indigohill::routing
