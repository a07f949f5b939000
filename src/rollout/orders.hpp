#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rollout/record.hpp"

// The operator's orders about rollouts, checked against what is in force.
namespace indigohill::rollout {

enum class Change { Declare, Advance, Withdraw };

// What an order is checked against.
struct Standing {
  const std::vector<schema::Rollout>& rollouts;
  const std::vector<schema::RunnerEntry>& runners;        // as last listed
  std::function<bool(const std::string& service)> known;  // whether the configuration has the service
  std::optional<std::uint64_t> order{};                   // digest of the order that is checked
};

// 400: the order itself is wrong, and `what` names the field; 409: it does not fit what is in force; 503: it was taken
// and has been overtaken since, or is too old to tell, and gets neither an acknowledgement nor a refusal.
struct Refusal {
  int status = 400;
  std::string what;
};

// The rollouts that the order makes of those in force; the same ones where it is an exact resend of the last order
// about its service. `service`
// is that of the path, empty to take the body's word. The body of `Declare` is a record; of the others {"number": ..,
// "stage": .., "evenWithoutRunners": ..}, where stage (of `Advance` alone) names the one to go to and has to be the
// next.
std::variant<std::vector<schema::Rollout>, Refusal> change(Change kind, const std::string& service,
                                                           std::string_view body, const Standing& standing);

struct HeldBack {
  std::string service, instanceId, zone, why;
};
// Who is held back among these runners, and how many of a service are not.
std::vector<HeldBack> heldBack(const std::vector<InForce>& rollouts, const std::vector<schema::RunnerEntry>& runners);
std::size_t serving(const InForce& rollout, const std::vector<schema::RunnerEntry>& runners);
std::vector<InForce> readAll(const std::vector<schema::Rollout>& rollouts);

// {"rollouts": [{"service", "number", "stage", "record"}]}: the records as they were sent.
std::string describe(const std::vector<schema::Rollout>& rollouts);
// [{"service", "number", "stage", "serving", "heldBack": [{"instanceId", "zone", "why"}]}], for Status.
std::string status(const std::vector<schema::Rollout>& rollouts, const std::vector<schema::RunnerEntry>& runners);

}  // namespace indigohill::rollout
