#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/replica.hpp"
#include "model/history.hpp"

// A model of the control state for the explorer: some machines that each run a real `control::Replica`, with a disk, a
// network, an operator and whatever may go wrong between them. The group's view is a stand-in: a machine's view may
// differ from what is true at any time, and its lease may last for as long as the schedule likes, which is more than
// the lease rule allows; what holds here rests on neither.
namespace indigohill::model {

// What a schedule may contain besides the usual, at most so many times each.
struct Quotas {
  std::uint8_t crashes = 0, wipes = 0, holds = 0, repeats = 0, cuts = 0, freezes = 0, hangs = 0, diskErrors = 0;
  std::uint8_t leaseLosses = 0, transfers = 0, resends = 0, strayOrders = 0, reads = 0, longTicks = 0, reorders = 0;
};

// Faults put into a replica or its surroundings on purpose, to show that the checker sees them.
enum class Mutation {
  None,
  AcknowledgesOldCopies,   // a backup says yes to a copy of an epoch that it knows to be over
  RefusesUnconfirmed,      // an active primary judges an order by what it holds, without asking anybody
  AcknowledgesAtOnce,      // an active primary answers 200 before the write
  ForgetsVote,             // a voter starts again without its vote
  SyncsNothing,            // the disk reports writes as done that it does not keep
  KeepsIdentityAfterWipe,  // a wiped voter comes back under its old name with the first record
  ReadsUnconfirmed         // an active primary answers reads from what it holds
};

struct ReplicaSettings {
  std::size_t machines = 3, faultTolerance = 1;
  std::vector<OrderKind> orders{OrderKind::Update};
  Quotas quotas;
  Mutation mutation = Mutation::None;
  bool everyInterleaving = false;  // all actions free and in any order, instead of deviations from the usual one
  std::uint64_t seed = 1;
};

struct ReplicaAction {
  enum class Kind : std::uint8_t {
    Deliver,
    Repeat,     // delivered, and kept to be delivered again
    Hold,       // set aside: lost unless released
    Release,    // a message set aside arrives after all
    Sync,       // the oldest write of a machine is on its disk
    DiskError,  // or is refused
    Tick,
    LongTick,  // after all time-outs have passed
    LeaseLoss,
    View,            // the machine learns who is up and which voters the group rests on, and has a lease
    Crash,           // the writes under way are lost
    CrashAfterSync,  // they are on disk, but nobody was told
    Restart,
    Wipe,  // the disk is lost, and a newcomer starts on the machine
    Cut,
    Heal,
    Freeze,
    Thaw,
    Hang,  // the disk
    Unhang,
    Order,
    Read,
    Transfer
  };
  Kind kind = Kind::Tick;
  std::uint8_t machine = 0;
  std::uint8_t order = 0;
  // A message is named by its ends, its type and how many like it are before it, so that it is found again when a
  // counterexample is shortened.
  std::uint8_t from = 0, type = 0, nth = 0;
  unsigned cost = 0;
  bool operator==(const ReplicaAction&) const = default;
};

class ReplicaModel {
 public:
  using Action = ReplicaAction;

  struct InFlight {
    std::uint8_t from = 0, to = 0;
    std::shared_ptr<const schema::Message> message;
    std::uint64_t fingerprint = 0;
  };
  struct Machine {
    std::optional<control::Replica> replica;  // none: down
    std::string voterId;
    std::map<control::Slot, std::string> disk;
    std::vector<control::DiskWrite> pending;
    base::TimePoint now;
    control::ClusterView view;
    bool lease = false, cut = false, frozen = false, hung = false;
    std::uint8_t wipes = 0, restarts = 0;
    std::uint64_t fingerprint = 0;

    bool active() const { return replica && replica->active(now); }
    bool runs() const { return replica && !frozen; }
    bool reachable() const { return runs() && !cut; }
  };
  struct State {
    std::vector<std::shared_ptr<const Machine>> machines;
    std::vector<InFlight> network, held;
    History history;
    Quotas used;
    std::uint8_t turn = 0;  // whose tick comes next
  };

  explicit ReplicaModel(ReplicaSettings settings);

  const State& initial() const { return initial_; }
  std::vector<Action> actions(const State& state) const;
  bool possible(const State& state, const Action& action) const;
  State apply(const State& state, const Action& action) const;
  std::uint64_t fingerprint(const State& state) const;
  std::optional<std::string> violation(const State& state) const { return state.history.violation(); }
  std::string text(const State& state, const Action& action) const;

  // Whether, once nothing goes wrong any more, a new order is acknowledged within so many ticks of
  // any machine.
  std::optional<std::string> noProgress(State state, std::size_t ticks) const;

 private:
  std::optional<Action> usual(const State& state) const;
  std::optional<Action> operatorsAction(const State& state) const;
  void deviations(const State& state, std::vector<Action>& out) const;
  void networkDeviations(const State& state, std::vector<Action>& out) const;
  void operatorDeviations(const State& state, std::vector<Action>& out) const;
  void machineDeviations(const State& state, std::uint8_t index, std::vector<Action>& out) const;
  Action messageAction(Action::Kind kind, const std::vector<InFlight>& among, std::size_t at) const;
  bool wipeAllowed(const State& state) const;
  control::ClusterView trueView(const State& state, std::uint8_t index) const;
  bool viewIsOld(const State& state, std::uint8_t index) const;
  void start(Machine& machine, std::uint8_t index) const;
  void deliver(Machine& machine, const InFlight& message, control::Effects& effects) const;
  // One step that is being made: the state before it, the machine as it becomes, and what the machine wants done.
  struct Step {
    State& state;
    std::uint8_t index;
    Machine machine;
    control::Effects effects;
  };
  void moveMessage(Step& step, const Action& action) const;
  void endWrite(Step& step, control::WriteOutcome outcome) const;
  void keep(Step& step, const control::DiskWrite& write) const;
  void passTime(Step& step, Action::Kind kind) const;
  void endOrStart(Step& step, Action::Kind kind) const;
  void loseDisk(Machine& machine, std::uint8_t index) const;
  void disturb(Step& step, Action::Kind kind) const;
  void order(State& state, std::uint8_t index, Machine& machine, const Action& action, control::Effects& effects) const;
  void settle(State& state, std::uint8_t index, Machine machine, control::Effects effects) const;
  settings::Endpoint addressOf(std::uint8_t index) const { return {static_cast<std::uint32_t>(index + 1), 1}; }

  ReplicaSettings settings_;
  control::ReplicaTimes times_;
  State initial_;
};

}  // namespace indigohill::model
