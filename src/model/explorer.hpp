#pragma once
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "model/visited.hpp"

// An explicit-state explorer for any system that is given as a model: states, the actions that are possible in each,
// and a verdict on each state. The search is depth-first, so that only one path is held in memory besides the
// fingerprints of the states seen. Three ways to use it:
//  - `explore` with every action free: all interleavings up to a depth.
//  - `explore` with a number of deviations: in each state the model names one usual action, which is free; every other
//    one costs what it says. All schedules with so many deviations are explored, far deeper than all interleavings
//    could be (delay-bounded scheduling; Emmi, Qadeer, Rakamaric, POPL 2011).
//  - `walk`: random schedules beyond those bounds, each from a seed.
// A counterexample is the list of actions from the initial state; `shorten` drops those that it does without.
namespace indigohill::model {

template <class M>
concept Model = requires(const M& model, const typename M::State& state, const typename M::Action& action) {
  { model.initial() } -> std::convertible_to<typename M::State>;
  // Those possible in the state; the first one is the usual one.
  { model.actions(state) } -> std::convertible_to<std::vector<typename M::Action>>;
  { model.possible(state, action) } -> std::convertible_to<bool>;
  { model.apply(state, action) } -> std::convertible_to<typename M::State>;
  { model.fingerprint(state) } -> std::convertible_to<std::uint64_t>;
  // What is wrong with the state, if anything.
  { model.violation(state) } -> std::convertible_to<std::optional<std::string>>;
  { model.text(state, action) } -> std::convertible_to<std::string>;
  { action.cost } -> std::convertible_to<unsigned>;
};

struct Bounds {
  std::size_t states = 100'000;  // a search stops when it has seen so many
  std::uint16_t depth = 200;     // actions from the initial state
  std::uint16_t deviations = 0;  // sum of the costs of the actions
  std::chrono::milliseconds time = std::chrono::hours(24);
};

template <Model M>
struct Counterexample {
  std::string violation;
  std::vector<typename M::Action> actions;
};

template <Model M>
struct Outcome {
  std::size_t states = 0, transitions = 0;
  std::size_t deepest = 0;
  bool complete = false;  // everything within depth and deviations has been seen
  std::chrono::milliseconds took{0};
  std::optional<Counterexample<M>> counterexample;
};

// A verdict on the state in which a schedule ends, for what no single state can show (progress).
template <Model M>
using EndCheck = std::function<std::optional<std::string>(const typename M::State&)>;

// Depth-first, within the bounds, up to the first state with a violation.
template <Model M>
Outcome<M> explore(const M& model, const Bounds& bounds) {
  struct Step {
    typename M::State state;
    std::vector<typename M::Action> actions;
    std::size_t next = 0;
    Visited::Remaining remaining;
  };
  const auto startedAt = std::chrono::steady_clock::now();
  const auto passed = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt);
  };
  Outcome<M> outcome;
  Visited visited;
  std::vector<Step> path;
  const auto enter = [&](typename M::State state, Visited::Remaining remaining) {
    if (!visited.visit(model.fingerprint(state), remaining)) return;
    auto actions = remaining.depth == 0 ? std::vector<typename M::Action>{} : model.actions(state);
    path.push_back({std::move(state), std::move(actions), 0, remaining});
    outcome.deepest = std::max(outcome.deepest, path.size() - 1);
  };
  enter(model.initial(), {bounds.depth, bounds.deviations});
  bool withinBudget = true;
  while (!path.empty() && withinBudget) {
    auto& step = path.back();
    if (step.next == step.actions.size()) {
      path.pop_back();
      continue;
    }
    const auto& action = step.actions[step.next++];
    if (action.cost > step.remaining.deviations) continue;
    auto state = model.apply(step.state, action);
    ++outcome.transitions;
    if (auto violation = model.violation(state)) {
      outcome.counterexample = Counterexample<M>{std::move(*violation), {}};
      for (const auto& taken : path) outcome.counterexample->actions.push_back(taken.actions[taken.next - 1]);
      break;
    }
    const Visited::Remaining remaining{static_cast<std::uint16_t>(step.remaining.depth - 1),
                                       static_cast<std::uint16_t>(step.remaining.deviations - action.cost)};
    enter(std::move(state), remaining);
    withinBudget = visited.size() < bounds.states && passed() < bounds.time;
  }
  outcome.states = visited.size();
  outcome.complete = path.empty() && !outcome.counterexample;
  outcome.took = passed();
  return outcome;
}

// With no deviation, one, two and so on, so that a counterexample has as few of them as any.
template <Model M>
Outcome<M> exploreDeepening(const M& model, Bounds bounds) {
  const auto most = bounds.deviations;
  Outcome<M> sum;
  for (bounds.deviations = 0;; ++bounds.deviations) {
    auto outcome = explore(model, bounds);
    outcome.transitions += sum.transitions;
    outcome.took += sum.took;
    sum = std::move(outcome);
    if (sum.counterexample || bounds.deviations == most || sum.took >= bounds.time) return sum;
  }
}

// One random schedule: mostly the usual action, and every `rarity`th time, on average, any of the others.
template <Model M>
Outcome<M> walk(const M& model, std::uint64_t seed, std::size_t steps, unsigned rarity,
                const EndCheck<M>& atTheEnd = {}) {
  Outcome<M> outcome;
  std::mt19937_64 random(seed);
  std::vector<typename M::Action> taken;
  auto state = model.initial();
  for (; outcome.transitions < steps; ++outcome.transitions) {
    auto actions = model.actions(state);
    if (actions.empty()) break;
    const bool usual = actions.size() == 1 || random() % rarity != 0;
    const auto& action = usual ? actions.front() : actions[1 + random() % (actions.size() - 1)];
    taken.push_back(action);
    state = model.apply(state, action);
    if (auto violation = model.violation(state)) {
      outcome.counterexample = Counterexample<M>{std::move(*violation), taken};
      break;
    }
  }
  outcome.states = outcome.transitions;
  outcome.deepest = outcome.transitions;
  if (!outcome.counterexample && atTheEnd)
    if (auto violation = atTheEnd(state))
      outcome.counterexample = Counterexample<M>{std::move(*violation), std::move(taken)};
  return outcome;
}

// The violation that the actions lead to, if any, and after how many of them. Impossible ones are passed over.
template <Model M>
std::optional<Counterexample<M>> replay(const M& model, const std::vector<typename M::Action>& actions,
                                        const EndCheck<M>& atTheEnd = {}) {
  auto state = model.initial();
  std::vector<typename M::Action> taken;
  for (const auto& action : actions) {
    if (!model.possible(state, action)) continue;
    taken.push_back(action);
    state = model.apply(state, action);
    if (auto violation = model.violation(state)) return Counterexample<M>{std::move(*violation), std::move(taken)};
  }
  if (atTheEnd)
    if (auto violation = atTheEnd(state)) return Counterexample<M>{std::move(*violation), std::move(taken)};
  return std::nullopt;
}

// Leaves out what a counterexample does without: runs of actions first, then single ones, until none can go.
template <Model M>
Counterexample<M> shorten(const M& model, Counterexample<M> found, const EndCheck<M>& atTheEnd = {}) {
  for (auto run = std::max<std::size_t>(found.actions.size() / 2, 1);;) {
    bool shorter = false;
    for (std::size_t at = 0; at < found.actions.size();) {
      auto trial = found.actions;
      const auto end = std::min(at + run, trial.size());
      trial.erase(trial.begin() + static_cast<std::ptrdiff_t>(at), trial.begin() + static_cast<std::ptrdiff_t>(end));
      auto still = replay(model, trial, atTheEnd);
      if (still && still->actions.size() < found.actions.size()) {
        found = std::move(*still);
        shorter = true;
      } else {
        at += run;
      }
    }
    if (run == 1 && !shorter) return found;
    if (run > 1) run /= 2;
  }
}

// One line for each action, and the violation.
template <Model M>
std::string trace(const M& model, const Counterexample<M>& found) {
  std::string out;
  auto state = model.initial();
  std::size_t number = 0;
  for (const auto& action : found.actions) {
    out += std::to_string(++number) + ". " + model.text(state, action) + "\n";
    state = model.apply(state, action);
  }
  return out + "=> " + found.violation + "\n";
}

}  // namespace indigohill::model
