// The model of the control state: its initial state, what a machine knows of the others, and progress.
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "base/hash.hpp"
#include "model/replicas_internal.hpp"
#include "net/codec.hpp"

namespace indigohill::model {

using replica_model::describe;
using replica_model::Kind;
using replica_model::kStart;
using replica_model::kZones;
using replica_model::Millis;
using replica_model::nameOf;

namespace {

constexpr std::size_t kStartSteps = 2000;

// Shorter than the daemon's, in the same order, so that fewer ticks lead to each time-out.
control::ReplicaTimes timesOfModel() {
  control::ReplicaTimes times;
  times.heartbeatInterval = Millis(500);
  times.resendInterval = Millis(250);
  times.campaignTimeout = Millis(500);
  times.electionTimeout = Millis(1250);
  times.writeTimeout = Millis(750);
  times.orderTimeout = Millis(2500);
  times.voterReplacementDelay = Millis(1250);
  times.electionStagger = Millis(500);
  times.placementWait = Millis(750);
  return times;
}

}  // namespace

ReplicaModel::ReplicaModel(ReplicaSettings settings) : settings_(std::move(settings)), times_(timesOfModel()) {
  auto orders = settings_.orders;
  orders.insert(orders.begin(), OrderKind::Update);  // the configuration that everything starts from
  State state;
  state.history = History(orders, settings_.faultTolerance + 1);
  std::vector<std::string> names;
  for (std::uint8_t i = 0; i < settings_.machines; ++i) names.push_back(nameOf(i));
  for (std::uint8_t i = 0; i < settings_.machines; ++i) {
    Machine machine;
    machine.voterId = names[i];
    machine.now = kStart;
    machine.disk[control::Slot::Record] = net::encodeRecord(control::Replica::firstRecord(names));
    start(machine, i);
    state.machines.push_back(std::make_shared<const Machine>(std::move(machine)));
  }
  // Explored is what follows once a primary is in office and the first order is acknowledged.
  const auto wanted = settings_.orders.size();
  settings_.orders.clear();
  for (std::size_t step = 0; !state.history.orders()[0].acknowledged && step < kStartSteps; ++step)
    if (const auto action = usual(state)) state = apply(state, *action);
  if (!state.history.orders()[0].acknowledged) std::abort();
  settings_.orders.resize(wanted);
  initial_ = std::move(state);
}

void ReplicaModel::start(Machine& machine, std::uint8_t index) const {
  control::Replica::Loaded loaded;
  const auto load = [&](control::Slot slot, auto decode, auto& into) {
    const auto found = machine.disk.find(slot);
    if (found == machine.disk.end()) return;
    auto decoded = decode(found->second);
    if (base::errorIn(decoded) == nullptr) into = std::get<0>(std::move(decoded));
  };
  load(control::Slot::Record, net::decodeRecord, loaded.record);
  load(control::Slot::Vote, net::decodeVote, loaded.vote);
  load(control::Slot::State, net::decodeControlState, loaded.state);
  const auto seed = base::mix(settings_.seed + 1000 * index + 10 * machine.restarts + machine.wipes);
  machine.replica.emplace(control::Replica::Self{machine.voterId, addressOf(index), settings_.faultTolerance},
                          std::move(loaded), times_, seed);
  machine.view = {};
  machine.lease = false;
}

// The view as it would be once everybody has noticed who is there.
control::ClusterView ReplicaModel::trueView(const State& state, std::uint8_t index) const {
  control::ClusterView view;
  for (std::uint8_t i = 0; i < state.machines.size(); ++i) {
    const auto& machine = *state.machines[i];
    if (i != index && !machine.reachable()) continue;
    schema::Member member;
    member.id = nameOf(i);
    member.voterId = machine.voterId;
    member.zone = fmt::format("z{}", i % kZones);
    member.role = 2;
    member.ip = addressOf(i).ip;
    member.port = addressOf(i).port;
    member.bootId = member.incarnation = 1U + i + 16U * machine.wipes + 256U * machine.restarts;
    view.controllers.push_back(member);
  }
  view.voters = state.history.newestRecord().voters;
  return view;
}

bool ReplicaModel::viewIsOld(const State& state, std::uint8_t index) const {
  const auto& machine = *state.machines[index];
  const auto view = trueView(state, index);
  return !machine.lease || machine.view.controllers != view.controllers || machine.view.voters != view.voters;
}

std::uint64_t ReplicaModel::fingerprint(const State& state) const {
  base::Fingerprint out;
  for (const auto& machine : state.machines) out.add(machine->fingerprint);
  const auto unordered = [&](const std::vector<InFlight>& messages) {
    std::vector<std::uint64_t> all;
    all.reserve(messages.size());
    for (const auto& message : messages) all.push_back(message.fingerprint);
    std::sort(all.begin(), all.end());
    out.add(all);
  };
  if (settings_.everyInterleaving) {
    unordered(state.network);
  } else {
    out.add(state.network.size());
    for (const auto& message : state.network) out.add(message.fingerprint);
    out.add(state.turn);
  }
  unordered(state.held);
  state.history.fingerprint(out);
  const auto& u = state.used;
  out.add(u.crashes, u.wipes, u.holds, u.repeats, u.cuts, u.freezes, u.hangs, u.diskErrors, u.leaseLosses, u.transfers,
          u.resends, u.strayOrders, u.reads, u.longTicks, u.reorders);
  return out.value();
}

std::optional<std::string> ReplicaModel::noProgress(State state, std::size_t ticks) const {
  state.held.clear();
  for (std::uint8_t i = 0; i < state.machines.size(); ++i) {
    const auto mend = [&](Kind kind) {
      const Action action{.kind = kind, .machine = i};
      if (possible(state, action)) state = apply(state, action);
    };
    mend(Kind::Heal);
    mend(Kind::Thaw);
    mend(Kind::Unhang);
    mend(Kind::Restart);
  }
  const auto fresh = static_cast<std::uint8_t>(state.history.orders().size());
  state.history.addOrder(OrderKind::Update);
  auto fair = *this;
  fair.settings_.orders.resize(fresh);
  for (std::size_t passed = 0; passed < ticks;) {
    if (state.history.orders()[fresh].acknowledged) return std::nullopt;
    const auto action = fair.usual(state);
    if (!action) break;
    passed += action->kind == Kind::Tick;
    state = fair.apply(state, *action);
    if (auto wrong = violation(state)) return wrong;
  }
  std::string where;
  for (const auto& machine : state.machines)
    if (machine->replica)
      where += fmt::format("; {} {}{}", machine->voterId, machine->active() ? "active in " : "",
                           machine->replica->record() ? describe(*machine->replica->record()) : "no record");
  return fmt::format("no progress: an order is not acknowledged within {} ticks although nothing fails{}", ticks,
                     where);
}

}  // namespace indigohill::model
