#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "control/configuration.hpp"
#include "rollout/record.hpp"
#include "routing/authentication.hpp"
#include "routing/slow_start.hpp"
#include "schema/messages.hpp"

// The immutable snapshot of the control side that traffic reads, and the events it is folded from.
namespace indigohill::routing {

struct RoutingSnapshot {
  schema::StateVersion stateVersion, runnersVersion;
  std::shared_ptr<const control::Configuration> configuration;
  std::unordered_map<std::string, std::vector<const control::Route*>> byHost;  // longest prefix first
  std::shared_ptr<const TenantKeys> tenantKeys;                                // null: requests need no key
  std::set<std::string> evacuated;
  std::map<std::string, rollout::InForce> rollouts;  // by service; none for most
  std::vector<schema::RunnerEntry> runners;
  base::TimePoint listedAt{};           // when the list of runners was read
  base::TimePoint runnersReceivedAt{};  // when it came here
  bool hasRunners = false;
  std::optional<schema::View> view;
  std::uint64_t self = 0;  // this router's incarnation in the view
  Routers proposed;        // of a view that is acknowledged and not yet committed

  // The route with the longest matching prefix; null if there is none. A port in `host` and a query are ignored.
  const control::Route* route(std::string_view host, std::string_view path) const;
  // Null if no configuration is in force or the service is not in it.
  const control::Service* service(const std::string& name) const;
  // The rollout declared for a service; null if there is none.
  const rollout::InForce* rolloutOf(const std::string& service) const;
};

struct StateReceived {
  schema::StateVersion version;
  std::shared_ptr<const control::Configuration> configuration;
  std::vector<std::string> evacuated;
  std::vector<rollout::InForce> rollouts{};
};
// Two lists of one version may differ: what a router reads for itself is kept under the version that it holds.
struct RunnersReceived {
  schema::StateVersion version;
  std::vector<schema::RunnerEntry> runners;
  base::TimePoint listedAt;    // when the platform was asked for it
  base::TimePoint receivedAt;  // what is left of a warm-up is counted from here
};
struct ViewReceived {
  std::optional<schema::View> view;
  std::uint64_t self = 0;
};
struct ProposalReceived {
  Routers routers;  // empty: none is pending
};
using Event = std::variant<StateReceived, RunnersReceived, ViewReceived, ProposalReceived>;

// Applies one event. State or runners older than what the snapshot holds are ignored.
void fold(RoutingSnapshot& snapshot, const Event& event);

}  // namespace indigohill::routing
