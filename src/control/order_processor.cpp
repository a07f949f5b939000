#include "control/order_processor.hpp"

#include "base/lists.hpp"
#include "control/configuration.hpp"
#include "rollout/orders.hpp"
#include "rollout/taken_orders.hpp"

namespace indigohill::control {

namespace {

// Of taken configurations: 16 bytes each. A caller sends one again within seconds, so this covers any storm of changes.
constexpr std::size_t kTakenOrdersKept = 512;

constexpr int kOk = 200, kInvalid = 400, kNotFound = 404, kConflict = 409, kVersionConflict = 412, kUnclear = 503;

OrderOutcome processEvacuation(const Order& order, schema::ControlState next) {
  const bool evacuated = base::contains(next.evacuated, order.body);
  const bool wanted = order.kind == OrderKind::Evacuate;
  if (evacuated == wanted) return Answer{order.call, kOk, "{}", {}};
  if (wanted)
    next.evacuated.push_back(order.body);
  else
    std::erase(next.evacuated, order.body);
  return next;
}

// An order that builds on another version than the current one was taken before, or never will be.
Answer answerOtherBase(const Order& order, std::uint64_t digest, const schema::ControlState& state) {
  const auto recalled = order.baseVersion > state.revision
                            ? rollout::Recall::NotTaken
                            : rollout::recall(state.takenOrders, kTakenOrdersKept, order.baseVersion, digest);
  switch (recalled) {
    case rollout::Recall::Taken:
      return {order.call, kOk, "{}", {}};
    case rollout::Recall::Forgotten:
      return {order.call, kUnclear, "built on a version too old to tell whether this was taken", {}};
    case rollout::Recall::NotTaken:
      break;
  }
  return {order.call, kVersionConflict, "the current revision is " + std::to_string(state.revision), {}};
}

OrderOutcome processConfiguration(const Order& order, schema::ControlState next) {
  const bool update = order.kind == OrderKind::Update;
  const auto digest = orderDigest(update ? "update" : "replace", order.baseVersion, order.body);
  if (order.baseVersion != next.revision) return answerOtherBase(order, digest, next);
  std::string document = order.body;
  if (update) {
    if (next.document.empty()) return Answer{order.call, kInvalid, "update: there is no configuration yet", {}};
    auto merged = applyUpdate(next.document, order.body);
    if (const auto* bad = base::errorIn(merged)) return Answer{order.call, kInvalid, bad->message, {}};
    document = std::get<std::string>(std::move(merged));
  }
  auto parsed = parseConfiguration(document);
  if (const auto* bad = base::errorIn(parsed)) return Answer{order.call, kInvalid, bad->message, {}};
  const auto revision = std::get<Configuration>(parsed).revision;
  if (revision <= next.revision)
    return Answer{order.call, kInvalid, "revision: not above the current one, " + std::to_string(next.revision), {}};
  next.revision = revision;
  next.document = std::move(document);
  rollout::remember(next.takenOrders, kTakenOrdersKept, order.baseVersion, digest);
  return next;
}

// Rollouts are kept beside the operator's document, which is read back as it was sent.
OrderOutcome processRollout(const Order& order, rollout::Change kind, schema::ControlState next) {
  const auto digest =
      orderDigest("rollout/" + std::to_string(static_cast<int>(kind)) + "/" + order.service, 0, order.body);
  if (next.document.empty()) return Answer{order.call, kConflict, "there is no configuration yet", {}};
  auto parsed = parseStoredConfiguration(next.document);
  const auto known = [&](const std::string& service) {
    return base::errorIn(parsed) == nullptr && std::get<Configuration>(parsed).service(service) != nullptr;
  };
  auto changed = rollout::change(kind, order.service, order.body, {next.rollouts, order.runners, known, digest});
  if (const auto* refused = std::get_if<rollout::Refusal>(&changed))
    return Answer{order.call, refused->status, refused->what, {}};
  if (std::get<0>(changed) == next.rollouts) return Answer{order.call, kOk, "{}", {}};
  next.rollouts = std::get<0>(std::move(changed));
  return next;
}

}  // namespace

OrderOutcome processOrder(const Order& order, const schema::ControlState& state) {
  auto next = state;
  ++next.version.sequence;
  switch (order.kind) {
    case OrderKind::Evacuate:
    case OrderKind::EndEvacuation:
      return processEvacuation(order, std::move(next));
    case OrderKind::DeclareRollout:
      return processRollout(order, rollout::Change::Declare, std::move(next));
    case OrderKind::AdvanceRollout:
      return processRollout(order, rollout::Change::Advance, std::move(next));
    case OrderKind::WithdrawRollout:
      return processRollout(order, rollout::Change::Withdraw, std::move(next));
    default:
      return processConfiguration(order, std::move(next));
  }
}

Answer answerRead(const Order& order, const schema::ControlState& published) {
  if (order.kind == OrderKind::DescribeRollouts) return {order.call, kOk, rollout::describe(published.rollouts), {}};
  if (published.document.empty()) return {order.call, kNotFound, "no configuration yet", {}};
  return {order.call, kOk, published.document, {}};
}

}  // namespace indigohill::control
