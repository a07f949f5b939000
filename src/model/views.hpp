#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// A reduced model of how the group's views and the epoch record that exchanges voters work together. It keeps of
// `membership::Group` what agreement rests on (who proposes, acknowledges, commits, installs and lends a lease, and
// under which voters) and leaves out times, hellos and contents. Messages are implicit: what was proposed,
// acknowledged, committed or decided may be acted on at any later time, or never.
namespace indigohill::model {

// Which voters must be in an extension that takes over the next record's voters.
enum class FenceRule {
  BothMajorities,  // a majority of either set, no fence
  Fenced,   // a majority of the new voters; who has accepted the record takes no part in views of the older epoch
  Unfenced  // a majority of the new voters and no fence: wrong, and has to be found
};

using MachineSet = std::uint16_t;  // one bit for each machine

struct ViewSettings {
  std::uint8_t machines = 4;  // in the order of age
  MachineSet oldVoters = 0b0111, newVoters = 0b1011;
  MachineSet lostAtStart = 0;
  std::uint8_t losses = 0;           // further ones, for good
  std::uint8_t proposals = 3;        // at most
  std::uint8_t knownBeforeLoss = 1;  // machines that know the record to be decided before another is lost
  bool epochsApart = true;           // the views of the next epoch have numbers above all of the present one's
  bool pendingRises = true;          // what was acknowledged gives way only to a higher number, which a refusal tells
  FenceRule rule = FenceRule::Fenced;
};

struct ViewAction {
  enum class Kind : std::uint8_t {
    Accept,
    Decide,
    Learn,
    Propose,
    Acknowledge,
    Commit,
    Install,
    Leave,
    Expelled,
    GiveUp,
    Lose
  };
  Kind kind = Kind::Accept;
  std::uint8_t machine = 0, proposal = 0;
  MachineSet suspected = 0;  // by the proposer
  unsigned cost = 0;
  bool operator==(const ViewAction&) const = default;
};

class ViewModel {
 public:
  using Action = ViewAction;
  static constexpr std::size_t kMachines = 8, kProposals = 8;
  static constexpr std::uint8_t kNone = 0xff;

  // Number 0 is the view that all have at first.
  struct Proposal {
    std::uint8_t number = 0, epoch = 0, base = kNone, proposer = 0;
    MachineSet members = 0, faults = 0, acknowledged = 0;
    bool committed = false;
    std::array<std::uint8_t, kMachines> lives{};  // which incarnation of each member is meant: its incarnation
  };
  struct Machine {
    std::uint8_t view = 0, pending = kNone;  // proposals
    std::uint8_t incarnation = 0;            // one more each time that it gives its view up to join as somebody new
    bool lost = false, accepted = false, knows = false;
  };
  struct State {
    std::array<Machine, kMachines> machines{};
    std::array<Proposal, kProposals> proposals{};
    std::uint8_t proposalCount = 1, losses = 0;
    std::uint8_t newestLeased = 0;  // the proposal under which a lease was last possible, by number
    std::optional<std::string> violation;
  };

  explicit ViewModel(ViewSettings settings) : settings_(settings) {}

  State initial() const;
  std::vector<Action> actions(const State& state) const;
  bool possible(const State& state, const Action& action) const;
  State apply(State state, const Action& action) const;
  std::uint64_t fingerprint(const State& state) const;
  std::optional<std::string> violation(const State& state) const { return state.violation; }
  std::string text(const State& state, const Action& action) const;

  // Whether a majority of the view's voters has it, so that its members can hold a new lease.
  bool leasePossible(const State& state, std::uint8_t proposal) const;
  // Whether those that are left can come to a view of the next epoch under which they hold a lease, suspecting nobody
  // but the lost.
  bool canGoOn(const State& state, std::size_t states) const;
  bool decided(const State& state) const;

 private:
  friend struct Recovery;
  MachineSet votersOf(std::uint8_t epoch) const { return epoch == 0 ? settings_.oldVoters : settings_.newVoters; }
  bool fenced(const Machine& machine, std::uint8_t epoch) const;
  bool quorate(std::uint8_t epoch, std::uint8_t baseEpoch, MachineSet members) const;
  std::optional<Proposal> extension(const State& state, std::uint8_t machine, MachineSet suspected) const;
  bool names(const State& state, std::uint8_t proposal, std::uint8_t machine) const;
  bool mayAcknowledge(const State& state, std::uint8_t machine, std::uint8_t proposal) const;
  void check(State& state) const;

  ViewSettings settings_;
};

}  // namespace indigohill::model
