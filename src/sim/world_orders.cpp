// Operators' calls in the simulated world: orders to controllers, their answers, callers that give up.
#include "sim/world.hpp"

#include <fmt/format.h>

namespace indigohill::sim {

using base::Millis;

// An answer belongs to one call that this very process was asked, and comes once.
void World::takeAnswer(std::size_t i, const control::Answer& answer) {
  auto& node = *nodes_[i];
  const auto found = pendingCalls_.find(answer.call);
  if (found == pendingCalls_.end()) {
    breakRule(fmt::format("{} answers call {}, which it was not asked", node.name, answer.call));
    return;
  }
  auto& call = found->second;
  trace(i, {base::LogEvent("operator_call_answered")
                .with("call", answer.call)
                .with("status", answer.status)
                .with("body", answer.body.substr(0, 60))});
  if (call.node != i || call.incarnation != node.incarnation || call.answered)
    breakRule(fmt::format("{} answers call {} {}", node.name, answer.call, call.answered ? "again" : "of another"));
  call.answered = true;
  if (onAnswer) onAnswer(i, answer);
  const bool clear = answer.status != 307 && answer.status != 503;
  const auto& record = node.controller->replica().record();
  // Such an answer rests on a state that another primary may have moved on from before the order was sent.
  if (clear && record && record->epoch < call.epochWhenSent)
    breakRule(fmt::format("{} answers {} in epoch {}, a primary of epoch {} was active before the order was sent",
                          node.name, answer.status, record->epoch, call.epochWhenSent));
  if (clear && node.isolatedSince && call.sentAt > *node.isolatedSince + membership::Times{}.lease)
    breakRule(fmt::format("{} answers {}, cut off for longer than a lease when the order was sent", node.name,
                          answer.status));
  if (answer.status == 200 && !control::isReading(call.kind)) checkAck(i);
  if (!call.done) return;
  if (std::uniform_real_distribution<double>(0, 1)(random_) < shape_.answerLoss) return;
  after(Millis(1), [this, answer] {
    const auto waiting = pendingCalls_.find(answer.call);
    if (auto done = std::exchange(waiting->second.done, {})) done(answer);
  });
}

// The operator closes its connection; the daemon sees it, or does not (the close is lost, or seen too late).
void World::closeCall(std::uint64_t number) {
  if (random_() % 2 == 0) return;
  const auto& call = pendingCalls_[number];
  if (call.answered) return;
  onNode(call.node, call.incarnation, Input::Message,
         [this, number, node = call.node] { nodes_[node]->controller->cancel(number); });
}

void World::order(std::size_t i, control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                  std::function<void(const control::Answer&)> done) {
  const auto number = ++calls_;
  pendingCalls_[number] = {kind, i, nodes_[i]->incarnation, now_, newestActiveEpoch_, false, std::move(done)};
  const auto giveUp = [this, number] {
    auto late = std::exchange(pendingCalls_[number].done, {});
    if (!late) return;
    closeCall(number);
    late({number, 0, "", {}});
  };
  after(Millis(1), [this, i, number, kind, baseVersion, giveUp, body = std::move(body)] {
    auto& node = *nodes_[i];
    if (!node.alive && node.powered) {
      giveUp();
      return;
    }
    pendingCalls_[number].incarnation = node.incarnation;
    onNode(i, node.incarnation, Input::Order, [this, i, number, kind, baseVersion, body] {
      control::Effects effects;
      nodes_[i]->controller->submit({number, kind, baseVersion, body}, now_, effects);
      perform(i, effects);
    });
  });
  // The operator does not wait for ever.
  after(shape_.operatorWait, giveUp);
}

void World::orderUntilClear(control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                            std::function<void(const control::Answer&)> done) {
  tryOrder(random_() % shape_.controllers, kind, baseVersion, std::move(body), std::move(done));
}

void World::tryOrder(std::size_t i, control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                     std::function<void(const control::Answer&)> done) {
  order(i, kind, baseVersion, body, [this, i, kind, baseVersion, body, done](const control::Answer& answer) {
    const bool notYet = answer.status == 404 && kind == control::OrderKind::Describe;
    if (answer.status != 307 && answer.status != 503 && answer.status != 0 && !notYet) {
      done(answer);
      return;
    }
    auto next = (i + 1) % shape_.controllers;
    if (answer.status == 307)
      if (const auto primary = at(answer.redirect)) next = *primary;
    after(Millis(answer.status == 307 ? 2 : 100 + random_() % 200),
          [this, next, kind, baseVersion, body, done] { tryOrder(next, kind, baseVersion, body, done); });
  });
}

}  // namespace indigohill::sim
