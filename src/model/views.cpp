#include "model/views.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cstdlib>

#include "base/fingerprint.hpp"
#include "model/explorer.hpp"

namespace indigohill::model {

namespace {

using Kind = ViewAction::Kind;

constexpr std::uint8_t kNextEpoch = 100;  // where the numbers of its views begin

constexpr MachineSet bit(std::uint8_t machine) { return static_cast<MachineSet>(1U << machine); }
constexpr bool in(MachineSet set, std::uint8_t machine) { return (set & bit(machine)) != 0; }
bool majority(MachineSet present, MachineSet voters) {
  return 2 * std::popcount(static_cast<MachineSet>(present & voters)) > std::popcount(voters);
}

std::string lettersOf(MachineSet set) {
  std::string out;
  for (std::uint8_t i = 0; i < ViewModel::kMachines; ++i)
    if (in(set, i)) out += static_cast<char>('a' + i);
  return out;
}

}  // namespace

ViewModel::State ViewModel::initial() const {
  State state;
  auto& first = state.proposals[0];
  first.committed = true;
  for (std::uint8_t i = 0; i < settings_.machines; ++i) {
    if (in(settings_.lostAtStart, i))
      state.machines[i].lost = true;
    else
      first.members |= bit(i);
  }
  first.acknowledged = first.members;
  return state;
}

// Under the fence an acceptance binds at once, and so does knowing the decided record.
bool ViewModel::fenced(const Machine& machine, std::uint8_t epoch) const {
  return settings_.rule == FenceRule::Fenced && epoch == 0 && (machine.accepted || machine.knows);
}

bool ViewModel::quorate(std::uint8_t epoch, std::uint8_t baseEpoch, MachineSet members) const {
  if (!majority(members, votersOf(epoch))) return false;
  return settings_.rule != FenceRule::BothMajorities || majority(members, votersOf(baseEpoch));
}

bool ViewModel::decided(const State& state) const {
  MachineSet accepted = 0;
  for (std::uint8_t i = 0; i < settings_.machines; ++i)
    if (state.machines[i].accepted) accepted |= bit(i);
  return majority(accepted, settings_.oldVoters) && majority(accepted, settings_.newVoters);
}

// The extension that a machine proposes while it suspects these members. It manages only if all older ones are among
// them. What it has acknowledged is kept and the rest appended.
std::optional<ViewModel::Proposal> ViewModel::extension(const State& state, std::uint8_t machine,
                                                        MachineSet suspected) const {
  const auto& self = state.machines[machine];
  if (self.view == kNone || in(suspected, machine)) return std::nullopt;
  const auto& view = state.proposals[self.view];
  // Whoever has started anew asks to join, so its former incarnation has failed.
  auto failed = suspected;
  for (std::uint8_t i = 0; i < settings_.machines; ++i)
    if (view.lives[i] != state.machines[i].incarnation) failed |= bit(i);
  const auto older = static_cast<MachineSet>(view.members & (bit(machine) - 1));
  if ((older & ~failed) != 0) return std::nullopt;
  Proposal result;
  result.number = view.number;
  result.epoch = view.epoch;
  result.members = view.members;
  result.lives = view.lives;
  if (self.pending != kNone) {
    const auto& pending = state.proposals[self.pending];
    if (pending.number > view.number && in(pending.members, machine)) {
      result.number = pending.number;
      result.epoch = pending.epoch;
      result.faults = pending.faults;
      result.members = static_cast<MachineSet>(view.members & ~pending.faults);
      if (pending.base == self.view) {
        result.members = pending.members;
        result.lives = pending.lives;
      }
    }
  }
  MachineSet gone = suspected & result.members;
  for (std::uint8_t i = 0; i < settings_.machines; ++i)
    if (in(result.members, i) && result.lives[i] != state.machines[i].incarnation) gone |= bit(i);
  result.faults |= gone;
  result.members &= static_cast<MachineSet>(~gone);
  const bool ownRound = self.pending != kNone && state.proposals[self.pending].proposer == machine;
  const auto before = ownRound ? state.proposals[self.pending] : view;
  if (self.knows) result.epoch = 1;
  // Those without a view ask to join.
  for (std::uint8_t i = 0; i < settings_.machines; ++i)
    if (!state.machines[i].lost && state.machines[i].view == kNone && !in(suspected, i)) {
      result.members |= bit(i);
      result.lives[i] = state.machines[i].incarnation;
    }
  if (result.members == before.members && result.lives == before.lives && result.epoch == before.epoch)
    return std::nullopt;
  if (settings_.pendingRises)
    for (std::uint8_t i = 0; i < settings_.machines; ++i)
      if (const auto& other = state.machines[i]; in(result.members, i) && other.pending != kNone)
        result.number = std::max(result.number, state.proposals[other.pending].number);
  ++result.number;
  if (settings_.epochsApart && result.epoch > 0) result.number = std::max(result.number, kNextEpoch);
  result.base = self.view;
  result.proposer = machine;
  if (!quorate(result.epoch, view.epoch, result.members) || fenced(self, result.epoch)) return std::nullopt;
  return result;
}

// Whether the proposal has the machine as it is now among its members.
bool ViewModel::names(const State& state, std::uint8_t index, std::uint8_t machine) const {
  const auto& proposal = state.proposals[index];
  return in(proposal.members, machine) && proposal.lives[machine] == state.machines[machine].incarnation;
}

bool ViewModel::mayAcknowledge(const State& state, std::uint8_t machine, std::uint8_t index) const {
  const auto& self = state.machines[machine];
  const auto& proposal = state.proposals[index];
  if (self.lost || !names(state, index, machine) || in(proposal.acknowledged, machine)) return false;
  if (fenced(self, proposal.epoch)) return false;
  if (self.view != kNone) {
    const auto& view = state.proposals[self.view];
    const auto& base = state.proposals[proposal.base];
    if (base.number <= view.number && !in(view.members, proposal.proposer)) return false;
    if (base.number < view.number || proposal.number <= view.number) return false;
  }
  if (settings_.pendingRises && self.pending != kNone && proposal.number <= state.proposals[self.pending].number)
    return false;
  // An extension acknowledged before may have been committed: its failures must be in this one too.
  if (self.pending != kNone && (state.proposals[self.pending].faults & proposal.members) != 0) return false;
  return true;
}

bool ViewModel::possible(const State& state, const Action& action) const {
  const auto& self = state.machines[action.machine];
  if (self.lost) return false;
  const auto& proposal = state.proposals[action.proposal];
  switch (action.kind) {
    case Kind::Accept:
      return !self.accepted && in(static_cast<MachineSet>(settings_.oldVoters | settings_.newVoters), action.machine);
    case Kind::Decide:
      return !self.knows && self.accepted && decided(state);
    case Kind::Learn: {
      bool told = false;
      for (const auto& machine : state.machines) told |= machine.knows;
      return told && !self.knows;
    }
    case Kind::Propose:
      return state.proposalCount <= settings_.proposals &&
             extension(state, action.machine, action.suspected).has_value();
    case Kind::Acknowledge:
      return action.proposal != 0 && action.proposal < state.proposalCount &&
             mayAcknowledge(state, action.machine, action.proposal);
    case Kind::Commit:
      return action.proposal < state.proposalCount && !proposal.committed && proposal.proposer == action.machine &&
             self.pending == action.proposal && proposal.acknowledged == proposal.members &&
             !fenced(self, proposal.epoch);
    case Kind::Install:
      return action.proposal < state.proposalCount && proposal.committed &&
             names(state, action.proposal, action.machine) && self.view != action.proposal &&
             !fenced(self, proposal.epoch) &&
             (self.view == kNone ? in(proposal.acknowledged, action.machine)
                                 : state.proposals[self.view].number < proposal.number);
    case Kind::Leave:
      return action.proposal < state.proposalCount && proposal.committed && !in(proposal.members, action.machine) &&
             self.view != kNone && state.proposals[self.view].number < proposal.number;
    // One without a view does not wait for ever for the commit of what it has acknowledged.
    case Kind::GiveUp:
      return self.view == kNone && self.pending != kNone;
    case Kind::Expelled: {
      // By a member that has acknowledged an extension without this one.
      if (self.view == kNone) return false;
      const auto shutsOut = [&](const Machine& other) {
        return !other.lost && other.view == self.view && other.pending != kNone &&
               !in(state.proposals[other.pending].members, action.machine);
      };
      return std::any_of(state.machines.begin(), state.machines.end(), shutsOut);
    }
    case Kind::Lose: {
      std::uint8_t knowing = 0;
      for (const auto& machine : state.machines) knowing += machine.knows && !machine.lost;
      return state.losses < settings_.losses && knowing >= settings_.knownBeforeLoss;
    }
  }
  std::abort();
}

std::vector<ViewModel::Action> ViewModel::actions(const State& state) const {
  std::vector<Action> out;
  const auto offer = [&](const Action& action) {
    if (possible(state, action)) out.push_back(action);
  };
  for (std::uint8_t i = 0; i < settings_.machines; ++i) {
    if (state.machines[i].lost) continue;
    for (const auto kind : {Kind::Accept, Kind::Decide, Kind::Learn, Kind::Expelled, Kind::GiveUp, Kind::Lose})
      offer({kind, i});
    for (std::uint8_t p = 1; p < state.proposalCount; ++p)
      for (const auto kind : {Kind::Acknowledge, Kind::Commit, Kind::Install, Kind::Leave}) offer({kind, i, p});
    if (state.machines[i].view == kNone) continue;
    const auto all = static_cast<MachineSet>(bit(settings_.machines) - 1);
    for (MachineSet suspected = 0; suspected <= all; ++suspected) offer({Kind::Propose, i, 0, suspected});
  }
  return out;
}

ViewModel::State ViewModel::apply(State state, const Action& action) const {
  auto& self = state.machines[action.machine];
  auto& proposal = state.proposals[action.proposal];
  switch (action.kind) {
    case Kind::Accept:
      self.accepted = true;
      break;
    case Kind::Decide:
    case Kind::Learn:
      self.knows = true;
      break;
    case Kind::Propose: {
      auto next = *extension(state, action.machine, action.suspected);
      next.acknowledged = bit(action.machine);
      self.pending = state.proposalCount;
      state.proposals[state.proposalCount++] = next;
      break;
    }
    case Kind::Acknowledge:
      self.pending = action.proposal;
      proposal.acknowledged |= bit(action.machine);
      break;
    case Kind::Commit:
      proposal.committed = true;
      [[fallthrough]];
    case Kind::Install:
      self.view = action.proposal;
      if (self.pending != kNone && state.proposals[self.pending].number <= proposal.number) self.pending = kNone;
      break;
    case Kind::Leave:
    case Kind::Expelled:
      self.view = self.pending = kNone;
      ++self.incarnation;
      break;
    case Kind::GiveUp:
      self.pending = kNone;
      break;
    case Kind::Lose:
      self.lost = true;
      ++state.losses;
      break;
  }
  check(state);
  return state;
}

bool ViewModel::leasePossible(const State& state, std::uint8_t index) const {
  const auto& proposal = state.proposals[index];
  MachineSet lending = 0;
  for (std::uint8_t i = 0; i < settings_.machines; ++i) {
    const auto& machine = state.machines[i];
    if (!machine.lost && machine.view == index && !fenced(machine, proposal.epoch)) lending |= bit(i);
  }
  return majority(lending, votersOf(proposal.epoch));
}

void ViewModel::check(State& state) const {
  for (std::uint8_t one = 0; one < state.proposalCount; ++one)
    for (std::uint8_t other = 0; other < one; ++other) {
      const auto& a = state.proposals[one];
      const auto& b = state.proposals[other];
      if (a.committed && b.committed && a.number == b.number && (a.members != b.members || a.epoch != b.epoch))
        state.violation = fmt::format("two views of number {}: {} of epoch {}, {} of epoch {}", a.number,
                                      lettersOf(a.members), a.epoch, lettersOf(b.members), b.epoch);
    }
  for (std::uint8_t index = 0; index < state.proposalCount; ++index) {
    if (!leasePossible(state, index)) continue;
    const auto& newest = state.proposals[state.newestLeased];
    const auto& proposal = state.proposals[index];
    if (index != state.newestLeased && proposal.number <= newest.number)
      state.violation = fmt::format("a lease under view {} ({}) after one under view {} ({})", proposal.number,
                                    lettersOf(proposal.members), newest.number, lettersOf(newest.members));
    else
      state.newestLeased = index;
  }
}

std::uint64_t ViewModel::fingerprint(const State& state) const {
  base::Fingerprint out;
  for (std::uint8_t i = 0; i < settings_.machines; ++i) {
    const auto& machine = state.machines[i];
    out.add(machine.view, machine.pending, machine.lost, machine.accepted, machine.knows, machine.incarnation);
  }
  for (std::uint8_t p = 0; p < state.proposalCount; ++p) {
    const auto& proposal = state.proposals[p];
    out.add(proposal.number, proposal.epoch, proposal.base, proposal.proposer, proposal.members, proposal.faults);
    out.add(proposal.acknowledged, proposal.committed, proposal.lives);
  }
  out.add(state.proposalCount, state.losses, state.newestLeased);
  return out.value();
}

std::string ViewModel::text(const State& state, const Action& action) const {
  const auto name = lettersOf(bit(action.machine));
  switch (action.kind) {
    case Kind::Accept:
      return fmt::format("{} accepts the next record", name);
    case Kind::Decide:
      return fmt::format("{} finds the record decided", name);
    case Kind::Learn:
      return fmt::format("{} is told of the record", name);
    case Kind::Propose: {
      const auto next = extension(state, action.machine, action.suspected);
      if (!next) return fmt::format("{} proposes nothing", name);
      return fmt::format("{} proposes #{}: view {} of epoch {} on #{}: {}", name, state.proposalCount, next->number,
                         next->epoch, next->base, lettersOf(next->members));
    }
    case Kind::Acknowledge:
      return fmt::format("{} acknowledges #{}", name, action.proposal);
    case Kind::Commit:
      return fmt::format("{} commits #{}", name, action.proposal);
    case Kind::Install:
      return fmt::format("{} installs #{}", name, action.proposal);
    case Kind::Leave:
      return fmt::format("{} is left out by #{} and gives its view up", name, action.proposal);
    case Kind::Expelled:
      return fmt::format("{} is told dead and gives its view up", name);
    case Kind::GiveUp:
      return fmt::format("{} waits no longer for the view that it has acknowledged", name);
    case Kind::Lose:
      return fmt::format("{} is lost", name);
  }
  std::abort();
}

// What is left to itself: nobody is lost any more, everybody hears everybody and suspects the lost alone, besides
// those that an acknowledged extension holds for failed. The goal is reported as a violation, for the explorer stops at
// one.
struct Recovery : ViewModel {
  explicit Recovery(const ViewModel& model, const State& start) : ViewModel(model), from(start) {
    settings_.losses = 0;
    settings_.proposals = kProposals - 1;
  }
  State initial() const { return from; }
  std::vector<Action> actions(const State& state) const {
    MachineSet lost = 0, held = 0;
    for (std::uint8_t i = 0; i < settings_.machines; ++i) {
      const auto& machine = state.machines[i];
      if (machine.lost) lost |= bit(i);
      if (!machine.lost && machine.pending != kNone) held |= state.proposals[machine.pending].faults;
    }
    auto out = ViewModel::actions(state);
    std::erase_if(out, [&](const auto& action) {
      return action.kind == Kind::Accept || action.kind == Kind::Decide ||
             (action.kind == Kind::Propose && action.suspected != lost &&
              action.suspected != static_cast<MachineSet>((lost | held) & ~bit(action.machine)));
    });
    return out;
  }
  std::optional<std::string> violation(const State& state) const {
    for (std::uint8_t p = 0; p < state.proposalCount; ++p)
      if (state.proposals[p].epoch == 1 && leasePossible(state, p)) return "goal";
    // A majority of the voters without a view founds the group anew.
    MachineSet founders = 0;
    for (std::uint8_t i = 0; i < settings_.machines; ++i)
      if (const auto& machine = state.machines[i]; !machine.lost && machine.view == kNone && machine.knows)
        founders |= bit(i);
    if (majority(founders, settings_.newVoters)) return "goal";
    return std::nullopt;
  }
  State from;
};

bool ViewModel::canGoOn(const State& state, std::size_t states) const {
  const Recovery recovery(*this, state);
  if (recovery.violation(state)) return true;
  return explore(recovery, {.states = states, .depth = 60}).counterexample.has_value();
}

}  // namespace indigohill::model
