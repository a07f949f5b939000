#pragma once
#include <variant>

#include "control/order.hpp"
#include "schema/messages.hpp"

// Judges operators' orders against the control state. Pure: nothing is kept between calls.
namespace indigohill::control {

// What an order comes to: an answer when there is nothing to write, else the next state, one sequence number on.
using OrderOutcome = std::variant<Answer, schema::ControlState>;

// REQUIRES: the order is no read. `state` is the newest that the primary holds.
// Answers: 200 when the change is in force already or was taken before, 400 for what is invalid, 409 and 412 for what
// builds on another version, 503 for a resend that is too old to tell apart from an order that was overtaken.
OrderOutcome processOrder(const Order& order, const schema::ControlState& state);

// Answers an order that reads: the state in force. 404 before the first configuration.
Answer answerRead(const Order& order, const schema::ControlState& published);

}  // namespace indigohill::control
