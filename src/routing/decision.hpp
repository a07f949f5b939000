#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/time.hpp"
#include "rollout/record.hpp"
#include "routing/admission.hpp"
#include "settings/settings.hpp"

// What is to be done with a request: the answer of the routing table.
namespace indigohill::routing {

struct PassTo {
  std::string instanceId;
  settings::Endpoint address;
  std::string zone;
  std::uint32_t connections = 1;  // how many this router may hold to it
  Admission admission;
  rollout::Snapshot snapshot{};                    // as listed
  std::optional<std::uint64_t> expectedVersion{};  // of the weights; set while a rollout or a stream requires one
  // Set for a runner in slow start: what is not sent by then must not be sent, as it would come together with what is
  // admitted later.
  std::optional<base::TimePoint> sendBy{};
};
struct Wait {
  base::TimePoint until;
};
struct Reject {
  int status = 503;
  double retryAfterS = 0;
  std::string why;
};
using Decision = std::variant<PassTo, Wait, Reject>;

// How a request at a runner went, as far as the runner's health is concerned.
enum class AttemptResult { Success, Rejected, Failure };

}  // namespace indigohill::routing
