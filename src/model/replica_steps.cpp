// What an action does to a state of the model.
#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "base/lists.hpp"
#include "model/replicas_internal.hpp"
#include "net/codec.hpp"

namespace indigohill::model {

using replica_model::findMessage;
using replica_model::is;
using replica_model::Kind;
using replica_model::kTick;
using replica_model::Millis;
using replica_model::nameOf;

namespace {

constexpr Millis kLongTick{7000};  // longer than every time-out
constexpr Millis kLease{3000};     // renewed by each tick for as long as the schedule likes
constexpr Millis kFreeze{4000};    // how long a frozen machine was away

std::uint64_t identityBit(std::uint8_t index, std::uint8_t wipes) {
  return 1ULL << (index * 8 + std::min<std::uint8_t>(wipes, 7));
}

}  // namespace

// A message arrives, here perhaps at a faulty replica.
void ReplicaModel::deliver(Machine& machine, const InFlight& message, control::Effects& effects) const {
  const auto from = addressOf(message.from);
  const auto& record = machine.replica->record();
  if (settings_.mutation == Mutation::AcknowledgesOldCopies)
    if (const auto* copy = std::get_if<schema::ReplicateState>(message.message.get());
        copy != nullptr && !copy->install && record && copy->record.epoch < record->epoch) {
      effects.out.push_back({from, schema::ReplicateAck{machine.voterId, copy->token, copy->record.epoch, true}});
      return;
    }
  machine.replica->receive(*message.message, from, machine.now, effects);
}

void ReplicaModel::order(State& state, std::uint8_t index, Machine& machine, const Action& action,
                         control::Effects& effects) const {
  const bool reading = action.kind == Kind::Read;
  auto order = reading ? state.history.read(index) : state.history.issue(action.order, index);
  const auto& published = machine.replica->published();
  if (machine.active() && published) {
    if (settings_.mutation == Mutation::ReadsUnconfirmed && reading) {
      effects.answers.push_back({order.call, 200, published->document, {}});
      return;
    }
    if (settings_.mutation == Mutation::AcknowledgesAtOnce && order.kind == control::OrderKind::Update &&
        order.baseVersion == published->revision)
      effects.answers.push_back({order.call, 200, "{}", {}});
    if (settings_.mutation == Mutation::RefusesUnconfirmed && order.kind == control::OrderKind::Update &&
        order.baseVersion != published->revision) {
      effects.answers.push_back({order.call, 412, "", {}});
      return;
    }
  }
  machine.replica->submit(std::move(order), machine.now, effects);
}

ReplicaModel::State ReplicaModel::apply(const State& before, const Action& action) const {
  State state = before;
  Step step{state, action.machine, *state.machines[action.machine], {}};
  switch (action.kind) {
    case Kind::Deliver:
    case Kind::Repeat:
    case Kind::Release:
    case Kind::Hold:
      moveMessage(step, action);
      break;
    case Kind::Sync:
    case Kind::DiskError:
      endWrite(step, action.kind == Kind::Sync ? control::WriteOutcome::Synced : control::WriteOutcome::Failed);
      break;
    case Kind::Tick:
    case Kind::LongTick:
    case Kind::LeaseLoss:
    case Kind::View:
      passTime(step, action.kind);
      break;
    case Kind::CrashAfterSync:
    case Kind::Crash:
    case Kind::Restart:
    case Kind::Wipe:
      endOrStart(step, action.kind);
      break;
    case Kind::Cut:
    case Kind::Heal:
    case Kind::Freeze:
    case Kind::Thaw:
    case Kind::Hang:
    case Kind::Unhang:
      disturb(step, action.kind);
      break;
    case Kind::Order:
      if (action.cost > 0)
        ++(before.history.orders()[action.order].issued ? state.used.resends : state.used.strayOrders);
      order(state, step.index, step.machine, action, step.effects);
      break;
    case Kind::Read:
      ++state.used.reads;
      order(state, step.index, step.machine, action, step.effects);
      break;
    case Kind::Transfer:
      ++state.used.transfers;
      step.machine.replica->transferLeadership(step.effects.out);
      break;
  }
  settle(state, step.index, std::move(step.machine), std::move(step.effects));
  return state;
}

// A message arrives, arrives twice, or is held back to arrive later.
void ReplicaModel::moveMessage(Step& step, const Action& action) const {
  auto& state = step.state;
  auto& among = action.kind == Kind::Release ? state.held : state.network;
  const auto at = findMessage(among, action);
  const auto message = among[*at];
  among.erase(among.begin() + static_cast<std::ptrdiff_t>(*at));
  if (action.kind == Kind::Deliver && action.cost > 0) ++state.used.reorders;
  if (action.kind == Kind::Repeat) ++state.used.repeats;
  if (action.kind == Kind::Hold) ++state.used.holds;
  if (action.kind == Kind::Repeat || action.kind == Kind::Hold) state.held.push_back(message);
  // Those that are addressed to a machine that is down are lost.
  if (action.kind != Kind::Hold && step.machine.replica) deliver(step.machine, message, step.effects);
}

// The oldest write of the machine ends.
void ReplicaModel::endWrite(Step& step, control::WriteOutcome outcome) const {
  auto& machine = step.machine;
  const auto write = machine.pending.front();
  machine.pending.erase(machine.pending.begin());
  if (outcome == control::WriteOutcome::Synced)
    keep(step, write);
  else
    ++step.state.used.diskErrors;
  machine.replica->onDiskWrite(write.token, outcome, machine.now, step.effects);
}

// The write is on the disk.
void ReplicaModel::keep(Step& step, const control::DiskWrite& write) const {
  auto& machine = step.machine;
  if (settings_.mutation == Mutation::SyncsNothing && write.slot == control::Slot::State) return;
  machine.disk[write.slot] = write.bytes;
  if (write.slot != control::Slot::State) return;
  auto decoded = net::decodeControlState(write.bytes);
  if (const auto* held = std::get_if<schema::ControlState>(&decoded))
    step.state.history.onDisk(identityBit(step.index, machine.wipes), *held);
}

void ReplicaModel::passTime(Step& step, Kind kind) const {
  auto& state = step.state;
  auto& machine = step.machine;
  auto passed = kTick;
  switch (kind) {
    case Kind::LongTick:
      ++state.used.longTicks;
      passed = kLongTick;
      break;
    case Kind::LeaseLoss:
      ++state.used.leaseLosses;
      machine.lease = false;
      break;
    case Kind::View:
      machine.view = trueView(state, step.index);
      machine.lease = true;
      passed = Millis(0);
      break;
    default:
      state.turn = static_cast<std::uint8_t>((step.index + 1) % state.machines.size());
  }
  machine.now += passed;
  auto view = machine.view;
  if (machine.lease) view.leaseUntil = machine.now + kLease;
  machine.replica->tick(machine.now, view, step.effects);
}

// The process ends, starts again, or loses its disk in between.
void ReplicaModel::endOrStart(Step& step, Kind kind) const {
  auto& machine = step.machine;
  auto& used = step.state.used;
  if (kind == Kind::CrashAfterSync)
    for (const auto& write : machine.pending) keep(step, write);
  if (kind != Kind::Restart) {
    ++(kind == Kind::Wipe ? used.wipes : used.crashes);
    machine.replica.reset();
    machine.pending.clear();
    machine.frozen = machine.hung = false;
    step.state.history.machineGone(step.index);
  }
  if (kind == Kind::Wipe) loseDisk(machine, step.index);
  if (kind == Kind::Crash || kind == Kind::CrashAfterSync) return;
  ++machine.restarts;
  if (settings_.mutation == Mutation::ForgetsVote) machine.disk.erase(control::Slot::Vote);
  start(machine, step.index);
}

void ReplicaModel::loseDisk(Machine& machine, std::uint8_t index) const {
  machine.disk.clear();
  ++machine.wipes;
  if (settings_.mutation != Mutation::KeepsIdentityAfterWipe) {
    machine.voterId = fmt::format("{}/{}", nameOf(index), machine.wipes);
    return;
  }
  std::vector<std::string> names;
  for (std::uint8_t i = 0; i < settings_.machines; ++i) names.push_back(nameOf(i));
  machine.disk[control::Slot::Record] = net::encodeRecord(control::Replica::firstRecord(names));
}

// Links and standstills.
void ReplicaModel::disturb(Step& step, Kind kind) const {
  auto& state = step.state;
  auto& machine = step.machine;
  const auto index = step.index;
  switch (kind) {
    case Kind::Cut:
      ++state.used.cuts;
      machine.cut = true;
      std::erase_if(state.network, [&](const auto& message) { return message.from == index || message.to == index; });
      break;
    case Kind::Heal:
      machine.cut = false;
      break;
    case Kind::Freeze:
      ++state.used.freezes;
      machine.frozen = true;
      break;
    case Kind::Thaw:
      machine.frozen = false;
      machine.now += kFreeze;
      machine.lease = false;
      break;
    case Kind::Hang:
      ++state.used.hangs;
      machine.hung = true;
      break;
    default:
      machine.hung = false;
  }
}

// What a step had for consequences: messages and writes are under way, and the history hears of records and answers.
void ReplicaModel::settle(State& state, std::uint8_t index, Machine machine, control::Effects effects) const {
  const auto& before = *state.machines[index];
  for (auto& write : effects.writes) machine.pending.push_back(std::move(write));
  for (auto& outgoing : effects.out) {
    const auto to = static_cast<std::uint8_t>(outgoing.to.ip - 1);
    if (to >= state.machines.size() || machine.cut || state.machines[to]->cut) continue;
    base::Fingerprint fingerprint;
    fingerprint.add(index, to, outgoing.message);
    state.network.push_back(
        {index, to, std::make_shared<const schema::Message>(std::move(outgoing.message)), fingerprint.value()});
  }
  if (machine.replica) {
    const auto& replica = *machine.replica;
    if (replica.record() && !(before.replica && before.replica->record() == replica.record()))
      state.history.adopted(*replica.record());
    const bool publishes = machine.active() && replica.published();
    const bool sameAsBefore = publishes && before.active() && before.replica->published() &&
                              before.replica->published()->version == replica.published()->version;
    if (publishes && !sameAsBefore) state.history.published(*replica.published());
  }
  for (const auto& answer : effects.answers) state.history.answered(answer);
  base::Fingerprint fingerprint;
  fingerprint.add(machine.voterId, machine.disk, machine.pending.size());
  for (const auto& write : machine.pending) fingerprint.add(write.token, write.slot, write.bytes);
  fingerprint.add(machine.view.controllers, machine.view.voters, machine.lease, machine.cut, machine.frozen,
                  machine.hung, machine.wipes, machine.restarts, machine.replica.has_value());
  if (machine.replica) fingerprint.add(machine.replica->fingerprint(machine.now));
  machine.fingerprint = fingerprint.value();
  state.machines[index] = std::make_shared<const Machine>(std::move(machine));
}

}  // namespace indigohill::model
