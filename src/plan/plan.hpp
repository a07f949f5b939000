#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "control/configuration.hpp"
#include "routing/table.hpp"

// What a change would move, found by asking the code that would move it: the routing table for runners and shares,
// the configuration's own checks for what is invalid.
namespace indigohill::plan {

// The daemons of the fleet and the bounds of the deployment that are split among them.
struct Daemons {
  std::size_t routers = 0, controllers = 0;
  std::size_t faultTolerance = 1;  // faultTolerance: controllers that may be lost at once
  routing::Bounds bounds;
};

// One side of the comparison.
struct Side {
  std::shared_ptr<const control::Configuration> configuration;
  std::vector<schema::RunnerEntry> runners;
  std::vector<std::string> evacuated;
  std::vector<rollout::InForce> rollouts{};
  Daemons daemons;
};

enum class RouteChangeKind { Added, Removed, Retargeted, Changed };
// As plans show it.
std::string_view name(RouteChangeKind kind);

struct RouteChange {
  std::string name;
  RouteChangeKind kind = RouteChangeKind::Changed;
  std::string from, to;  // services with weights, or the fields that differ
  double moved = 0;      // share of its requests that go to another service
};
struct ServiceChange {
  std::string name;
  std::size_t runnersFrom = 0, runnersTo = 0;
  double prefixesMoved = 0;  // share of prompt prefixes whose parts are expected at another runner
  double slowStartRateFrom = 0, slowStartRateTo = 0;  // requests a second that one router may send to a cold runner
};

struct HeldBack {
  std::string service, instanceId, why;
};

struct Plan {
  std::vector<std::string> invalid;
  std::vector<RouteChange> routes;
  std::vector<ServiceChange> services;
  std::vector<HeldBack> heldBack;  // by a rollout to come
  std::size_t routersFrom = 0, routersTo = 0, controllersFrom = 0, controllersTo = 0;
  double slackFrom = 0, slackTo = 0;  // one router's part of the retry budget's slack
  bool moves() const;
};

// The samples stand for prompts and requests; the more, the finer the shares.
Plan make(const Side& from, const Side& to, std::size_t samples = 4000);
std::string asText(const Plan& plan);
std::string asJson(const Plan& plan);

// {"daemons":[{"id":..,"role":"router"|"controller"}],"retryBudgetSlack":..,"warmupOvershoot":..,"warmupSlack":..}
base::Result<Daemons> parseDaemons(const std::string& text);

}  // namespace indigohill::plan
