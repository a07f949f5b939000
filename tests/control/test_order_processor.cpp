// Orders judged against the control state.
#include "control/order_processor.hpp"

#include "documents.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using control::Answer;
using control::Order;
using control::OrderKind;
using control::processOrder;

namespace {

Order orderOf(OrderKind kind, std::uint64_t baseVersion, std::string body) {
  Order out;
  out.call = 1;
  out.kind = kind;
  out.baseVersion = baseVersion;
  out.body = std::move(body);
  return out;
}

// The state after an order that must change it.
schema::ControlState changed(const Order& order, const schema::ControlState& state) {
  auto outcome = processOrder(order, state);
  cr_assert(std::holds_alternative<schema::ControlState>(outcome));
  return std::get<schema::ControlState>(outcome);
}

int refusal(const Order& order, const schema::ControlState& state) {
  const auto outcome = processOrder(order, state);
  cr_assert(std::holds_alternative<Answer>(outcome));
  return std::get<Answer>(outcome).status;
}

}  // namespace

Test(order_processor, a_configuration_on_the_current_version_is_taken) {
  const auto state = changed(orderOf(OrderKind::Replace, 0, document(3)), {});
  cr_assert(state.revision == 3 && state.document == document(3) && state.version.sequence == 1);
  cr_assert_eq(state.takenOrders.size(), 1u);
}

Test(order_processor, a_taken_order_is_acknowledged_again_and_an_overtaken_one_refused) {
  const auto first = orderOf(OrderKind::Replace, 0, document(3));
  const auto state = changed(orderOf(OrderKind::Replace, 3, document(4)), changed(first, {}));
  cr_assert_eq(refusal(first, state), 200);
  cr_assert_eq(refusal(orderOf(OrderKind::Replace, 0, document(5)), state), 412);
  cr_assert_eq(refusal(orderOf(OrderKind::Replace, 9, document(10)), state), 412);
}

Test(order_processor, invalid_configurations_are_refused) {
  const auto state = changed(orderOf(OrderKind::Replace, 0, document(3)), {});
  cr_assert_eq(refusal(orderOf(OrderKind::Replace, 3, "{"), state), 400);
  cr_assert_eq(refusal(orderOf(OrderKind::Replace, 3, document(3)), state), 400, "a revision has to rise");
  cr_assert_eq(refusal(orderOf(OrderKind::Update, 0, update(1, 900)), {}), 400, "nothing to update");
  cr_assert_eq(changed(orderOf(OrderKind::Update, 3, update(4, 900)), state).revision, 4u);
}

Test(order_processor, evacuations_are_idempotent) {
  const auto evacuate = orderOf(OrderKind::Evacuate, 0, "z1"), end = orderOf(OrderKind::EndEvacuation, 0, "z1");
  cr_assert_eq(refusal(end, {}), 200);
  const auto state = changed(evacuate, {});
  cr_assert(state.evacuated == std::vector<std::string>({"z1"}));
  cr_assert_eq(refusal(evacuate, state), 200);
  cr_assert(changed(end, state).evacuated.empty());
}

Test(order_processor, reads_answer_what_is_in_force) {
  const auto read = orderOf(OrderKind::Describe, 0, "");
  cr_assert_eq(control::answerRead(read, {}).status, 404);
  const auto state = changed(orderOf(OrderKind::Replace, 0, document(3)), {});
  const auto answer = control::answerRead(read, state);
  cr_assert(answer.status == 200 && answer.body == document(3));
}
