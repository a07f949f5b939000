// Which actions are possible in a state of the model, and which of them is the usual one.
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "model/replicas_internal.hpp"
#include "net/codec.hpp"

namespace indigohill::model {

using replica_model::findMessage;
using replica_model::is;
using replica_model::Kind;

namespace {

constexpr std::size_t kWindow = 4;  // of the oldest messages, those that may overtake in a search by deviations

// Whether the quota still allows one more.
bool left(std::uint8_t used, std::uint8_t quota) { return used < quota; }

}  // namespace

std::optional<ReplicaModel::Action> ReplicaModel::operatorsAction(const State& state) const {
  const auto& orders = state.history.orders();
  std::optional<std::uint8_t> active;
  for (std::uint8_t i = 0; i < state.machines.size(); ++i)
    if (state.machines[i]->reachable() && state.machines[i]->active() && !active) active = i;
  if (!active) return std::nullopt;
  for (std::uint8_t order = 0; order < orders.size(); ++order) {
    const auto& entry = orders[order];
    if (entry.acknowledged || entry.refused) continue;
    if (state.history.waitsFor(order)) return std::nullopt;
    if (order > 0 && order > settings_.orders.size()) return std::nullopt;
    return Action{.kind = Kind::Order, .machine = *active, .order = order};
  }
  return std::nullopt;
}

// What happens when nothing goes wrong: disks are quick, messages arrive in order, views follow, the operator sends one
// order after the other and sends again what got no clear answer, and time passes when there is nothing else to do.
std::optional<ReplicaModel::Action> ReplicaModel::usual(const State& state) const {
  const auto count = static_cast<std::uint8_t>(state.machines.size());
  for (std::uint8_t i = 0; i < count; ++i)
    if (const auto& machine = *state.machines[i]; machine.runs() && !machine.hung && !machine.pending.empty())
      return Action{.kind = Kind::Sync, .machine = i};
  for (std::size_t at = 0; at < state.network.size(); ++at)
    if (!state.machines[state.network[at].to]->frozen) return messageAction(Kind::Deliver, state.network, at);
  for (std::uint8_t i = 0; i < count; ++i)
    if (state.machines[i]->reachable() && viewIsOld(state, i)) return Action{.kind = Kind::View, .machine = i};
  if (const auto action = operatorsAction(state)) return action;
  for (std::uint8_t step = 0; step < count; ++step) {
    const auto i = static_cast<std::uint8_t>((state.turn + step) % count);
    if (state.machines[i]->runs()) return Action{.kind = Kind::Tick, .machine = i};
  }
  return std::nullopt;
}

ReplicaModel::Action ReplicaModel::messageAction(Action::Kind kind, const std::vector<InFlight>& among,
                                                 std::size_t at) const {
  const auto& message = among[at];
  Action action{.kind = kind, .machine = message.to};
  action.from = message.from;
  action.type = static_cast<std::uint8_t>(message.message->index());
  for (std::size_t before = 0; before < at; ++before)
    action.nth += among[before].to == message.to && among[before].from == message.from &&
                  among[before].message->index() == message.message->index();
  return action;
}
// A disk may be lost while no more than f identities of the newest record are gone and no repair is under way.
bool ReplicaModel::wipeAllowed(const State& state) const {
  const auto& record = state.history.newestRecord();
  std::size_t gone = 0;
  const auto here = [&](const std::string& voterId) {
    return std::any_of(state.machines.begin(), state.machines.end(),
                       [&](const auto& machine) { return machine->voterId == voterId; });
  };
  for (const auto& voter : record.voters) gone += !here(voter);
  std::size_t total = 0;
  for (const auto& machine : state.machines) total += machine->wipes;
  if (total < settings_.faultTolerance) return true;  // never more than f in all: nothing to be repaired first
  if (gone > 0) return false;
  // Repaired: everybody knows the newest record and its primary has shown a state of that epoch.
  return state.history.inForce().version.epoch == record.epoch &&
         std::all_of(state.machines.begin(), state.machines.end(), [&](const auto& machine) {
           return machine->replica && machine->replica->record() && *machine->replica->record() == record;
         });
}

void ReplicaModel::networkDeviations(const State& state, std::vector<Action>& out) const {
  const auto& quotas = settings_.quotas;
  const auto& used = state.used;
  const auto window = settings_.everyInterleaving ? state.network.size() : std::min(kWindow, state.network.size());
  for (std::size_t at = 0; at < window; ++at) {
    if (state.machines[state.network[at].to]->frozen) continue;
    if (settings_.everyInterleaving || left(used.reorders, quotas.reorders))
      out.push_back(messageAction(Kind::Deliver, state.network, at));
    if (at != 0 && !settings_.everyInterleaving) continue;
    if (left(used.holds, quotas.holds)) out.push_back(messageAction(Kind::Hold, state.network, at));
    if (left(used.repeats, quotas.repeats)) out.push_back(messageAction(Kind::Repeat, state.network, at));
  }
  for (std::size_t at = 0; at < state.held.size(); ++at)
    if (state.machines[state.held[at].to]->runs()) out.push_back(messageAction(Kind::Release, state.held, at));
}

void ReplicaModel::operatorDeviations(const State& state, std::vector<Action>& out) const {
  const auto& orders = state.history.orders();
  const auto& quotas = settings_.quotas;
  for (std::uint8_t i = 0; i < state.machines.size(); ++i) {
    if (!state.machines[i]->runs()) continue;
    if (left(state.used.reads, quotas.reads)) out.push_back({.kind = Kind::Read, .machine = i});
    bool first = true;
    for (std::uint8_t order = 0; order < orders.size(); ++order) {
      if (state.history.waitsAt(order, i)) continue;
      if (!orders[order].issued && !first) continue;  // the operator's orders keep their sequence
      if (!orders[order].issued) first = false;
      const bool allowed = orders[order].issued ? left(state.used.resends, quotas.resends)
                                                : left(state.used.strayOrders, quotas.strayOrders);
      if (allowed) out.push_back({.kind = Kind::Order, .machine = i, .order = order});
    }
  }
}

void ReplicaModel::machineDeviations(const State& state, std::uint8_t i, std::vector<Action>& out) const {
  const auto& machine = *state.machines[i];
  const auto& quotas = settings_.quotas;
  const auto& used = state.used;
  const auto offer = [&](Kind kind) { out.push_back({.kind = kind, .machine = i}); };
  if (!machine.replica) {
    offer(Kind::Restart);
    return;
  }
  if (left(used.crashes, quotas.crashes)) {
    offer(Kind::Crash);
    if (!machine.pending.empty()) offer(Kind::CrashAfterSync);
  }
  if (left(used.wipes, quotas.wipes) && wipeAllowed(state)) offer(Kind::Wipe);
  if (machine.cut)
    offer(Kind::Heal);
  else if (left(used.cuts, quotas.cuts))
    offer(Kind::Cut);
  if (machine.frozen) {
    offer(Kind::Thaw);
    return;
  }
  if (left(used.freezes, quotas.freezes)) offer(Kind::Freeze);
  if (machine.hung)
    offer(Kind::Unhang);
  else if (left(used.hangs, quotas.hangs))
    offer(Kind::Hang);
  if (!machine.pending.empty()) {
    if (settings_.everyInterleaving && !machine.hung) offer(Kind::Sync);
    if (left(used.diskErrors, quotas.diskErrors)) offer(Kind::DiskError);
  }
  if (machine.lease && left(used.leaseLosses, quotas.leaseLosses)) offer(Kind::LeaseLoss);
  if (machine.reachable() && viewIsOld(state, i)) offer(Kind::View);
  if (left(used.transfers, quotas.transfers) && machine.active()) offer(Kind::Transfer);
  if (left(used.longTicks, quotas.longTicks)) offer(Kind::LongTick);
  if (settings_.everyInterleaving) offer(Kind::Tick);
}

void ReplicaModel::deviations(const State& state, std::vector<Action>& out) const {
  networkDeviations(state, out);
  operatorDeviations(state, out);
  for (std::uint8_t i = 0; i < state.machines.size(); ++i) machineDeviations(state, i, out);
}

std::vector<ReplicaModel::Action> ReplicaModel::actions(const State& state) const {
  std::vector<Action> out;
  if (auto action = usual(state)) out.push_back(*action);
  const auto usualCount = out.size();
  deviations(state, out);
  if (usualCount > 0) {
    const auto sameAsUsual = [&](const auto& action) { return action == out.front(); };
    out.erase(std::remove_if(out.begin() + 1, out.end(), sameAsUsual), out.end());
  }
  if (!settings_.everyInterleaving)
    for (auto i = usualCount; i < out.size(); ++i) out[i].cost = 1;
  return out;
}

bool ReplicaModel::possible(const State& state, const Action& action) const {
  const auto& machine = *state.machines[action.machine];
  switch (action.kind) {
    case Kind::Deliver:
    case Kind::Repeat:
    case Kind::Hold:
      return findMessage(state.network, action).has_value() && !machine.frozen;
    case Kind::Release:
      return findMessage(state.held, action).has_value() && machine.runs();
    case Kind::Sync:
    case Kind::DiskError:
      return machine.runs() && !machine.hung && !machine.pending.empty();
    case Kind::Restart:
      return !machine.replica;
    case Kind::Wipe:
      return machine.replica && wipeAllowed(state);
    case Kind::Crash:
    case Kind::CrashAfterSync:
      return machine.replica.has_value();
    case Kind::Cut:
      return machine.replica && !machine.cut;
    case Kind::Heal:
      return machine.cut;
    case Kind::Thaw:
      return machine.replica && machine.frozen;
    case Kind::View:
      return machine.reachable();
    case Kind::Unhang:
      return machine.hung;
    case Kind::Order:
      return machine.runs() && action.order < state.history.orders().size() &&
             !state.history.waitsAt(action.order, action.machine);
    case Kind::Transfer:
      return machine.runs() && machine.active();
    case Kind::Tick:
    case Kind::LongTick:
    case Kind::LeaseLoss:
    case Kind::Freeze:
    case Kind::Hang:
    case Kind::Read:
      return machine.runs();
  }
  std::abort();
}

}  // namespace indigohill::model
