#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// An operator's order and its answer.
namespace indigohill::control {

enum class OrderKind {
  Replace,
  Update,
  Evacuate,
  EndEvacuation,
  Describe,
  DeclareRollout,
  AdvanceRollout,
  WithdrawRollout,
  DescribeRollouts,
  Lease  // a daemon's request about duty leases
};
constexpr bool isReading(OrderKind kind) { return kind == OrderKind::Describe || kind == OrderKind::DescribeRollouts; }

struct Order {
  std::uint64_t call = 0;
  OrderKind kind = OrderKind::Describe;
  std::uint64_t baseVersion = 0;
  std::string body;                            // document, update, or name of the zone
  std::string service{};                       // of a rollout
  std::vector<schema::RunnerEntry> runners{};  // as this controller knows them, for rollouts
  schema::LeaseRequest lease{};                // of a Lease order
};

struct QueuedOrder {
  Order order;
  base::TimePoint arrivedAt{};
  schema::LeaseReply leaseReply{};  // what a Lease order is answered once its change is written
};
void addToFingerprint(base::Fingerprint& out, const QueuedOrder& queued, base::TimePoint now, base::Millis horizon);

// 307 and 503 are no clear answer: the order may be sent again. All others are final.
struct Answer {
  std::uint64_t call = 0;
  int status = 503;
  std::string body;
  settings::Endpoint redirect;  // cohort address of the primary, where status is 307
  schema::LeaseReply lease{};   // of a Lease order, where status is 200
};
// Whether the answer is final.
constexpr bool isClear(const Answer& answer) { return answer.status != 503 && answer.status != 307; }

}  // namespace indigohill::control
