// `indigohill plan`: what a change would move.
#include "cli/plan_command.hpp"

#include <iostream>
#include <memory>
#include <vector>

#include "cli/command.hpp"
#include "cli/input_files.hpp"
#include "plan/plan.hpp"
#include "rollout/record.hpp"
#include "runners/list.hpp"

namespace indigohill::cli {

namespace {

constexpr int kNothingMoves = 0, kSomethingMoves = 1, kInvalidChange = 2, kBadInput = 3;

rollout::InForce readRollout(const std::string& path, const std::string& stageName) {
  auto record = need(rollout::parseRecord(contents(path)), path);
  std::size_t stage = 0;
  if (!stageName.empty()) {
    while (stage < record.stages.size() && record.stages[stage].name != stageName) ++stage;
    if (stage == record.stages.size()) throw BadInput{path + ": stages: there is none '" + stageName + "'"};
  }
  return {record.service, record.number, stage, std::move(record), {}};
}

plan::Side readCurrent(const PlanArguments& arguments) {
  plan::Side out;
  out.configuration = readConfiguration(arguments.current);
  if (!arguments.runners.empty())
    out.runners = need(runners::parsePage(contents(arguments.runners)), arguments.runners).runners;
  if (!arguments.daemons.empty())
    out.daemons = need(plan::parseDaemons(contents(arguments.daemons)), arguments.daemons);
  return out;
}

// The document to come; empty when the configuration stays.
std::string readChangedDocument(const PlanArguments& arguments) {
  if (!arguments.update.empty())
    return need(control::applyUpdate(contents(arguments.current), contents(arguments.update)), arguments.update);
  return arguments.changed.empty() ? std::string() : contents(arguments.changed);
}

plan::Plan makePlan(const PlanArguments& arguments) {
  const auto from = readCurrent(arguments);
  auto to = from;
  if (!arguments.changedRunners.empty())
    to.runners = need(runners::parsePage(contents(arguments.changedRunners)), arguments.changedRunners).runners;
  if (!arguments.changedDaemons.empty())
    to.daemons = need(plan::parseDaemons(contents(arguments.changedDaemons)), arguments.changedDaemons);
  for (const auto& path : arguments.rollouts) to.rollouts.push_back(readRollout(path, arguments.rolloutStage));
  if (const auto document = readChangedDocument(arguments); !document.empty()) {
    auto parsed = control::parseConfiguration(document);
    if (const auto* bad = base::errorIn(parsed)) {
      plan::Plan invalid;
      invalid.invalid.push_back(bad->message);
      return invalid;
    }
    to.configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
  }
  return plan::make(from, to);
}

}  // namespace

int runPlan(const PlanArguments& arguments) {
  try {
    const auto plan = makePlan(arguments);
    std::cout << (arguments.json ? plan::asJson(plan) + "\n" : plan::asText(plan));
    if (!plan.invalid.empty()) return kInvalidChange;
    return plan.moves() ? kSomethingMoves : kNothingMoves;
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: plan: " << bad.what << "\n";
    return kBadInput;
  }
}

Command addPlanCommand(CLI::App& app) {
  const auto arguments = std::make_shared<PlanArguments>();
  auto* plan = app.add_subcommand("plan", "show what a change of configuration, runners or daemons would move");
  plan->add_option("--current", arguments->current, "configuration in force (JSON)")->required();
  auto* changed = plan->add_option("--changed", arguments->changed, "whole configuration to come (JSON)");
  plan->add_option("--update", arguments->update, "update to come (upsert and remove, JSON)")->excludes(changed);
  plan->add_option("--runners", arguments->runners, "runners now, as the platform lists them (JSON)");
  plan->add_option("--changed-runners", arguments->changedRunners, "runners to come");
  plan->add_option("--daemons", arguments->daemons, "daemons now (JSON)");
  plan->add_option("--changed-daemons", arguments->changedDaemons, "daemons to come");
  plan->add_option("--rollout", arguments->rollouts, "record of a rollout to come (JSON), one for each service");
  plan->add_option("--rollout-stage", arguments->rolloutStage, "stage to show of it; default: the first");
  plan->add_flag("--json", arguments->json, "the result as JSON");
  plan->footer(
      "Exit status: 0 nothing moves, 1 something moves, 2 the change would be invalid, 3 an input cannot be used.");
  return {plan, [arguments] { return runPlan(*arguments); }};
}

}  // namespace indigohill::cli
