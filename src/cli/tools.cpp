#include "cli/tools.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include "import/envoy.hpp"
#include "plan/plan.hpp"
#include "runners/list.hpp"

namespace indigohill::cli {

std::string contents(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw BadInput{path + ": cannot be read"};
  std::ostringstream all;
  all << in.rdbuf();
  return std::move(all).str();
}

int runPlan(const PlanArguments& a) {
  try {
    plan::Side from;
    from.configuration = std::make_shared<const control::Configuration>(
        need(control::parseConfiguration(contents(a.current)), a.current));
    if (!a.runners.empty()) from.runners = need(runners::parsePage(contents(a.runners)), a.runners).runners;
    if (!a.daemons.empty()) from.daemons = need(plan::parseDaemons(contents(a.daemons)), a.daemons);
    auto to = from;
    if (!a.changedRunners.empty())
      to.runners = need(runners::parsePage(contents(a.changedRunners)), a.changedRunners).runners;
    if (!a.changedDaemons.empty()) to.daemons = need(plan::parseDaemons(contents(a.changedDaemons)), a.changedDaemons);
    for (const auto& file : a.rollouts) {
      auto record = need(rollout::parseRecord(contents(file)), file);
      std::size_t stage = 0;
      if (!a.rolloutStage.empty()) {
        while (stage < record.stages.size() && record.stages[stage].name != a.rolloutStage) ++stage;
        if (stage == record.stages.size()) throw BadInput{file + ": stages: there is none '" + a.rolloutStage + "'"};
      }
      to.rollouts.push_back({record.service, record.number, stage, std::move(record), {}});
    }
    std::string document;
    if (!a.update.empty())
      document = need(control::applyUpdate(contents(a.current), contents(a.update)), a.update);
    else if (!a.changed.empty())
      document = contents(a.changed);
    plan::Plan plan;
    if (!document.empty()) {
      auto parsed = control::parseConfiguration(document);
      if (const auto* bad = base::errorIn(parsed))
        plan.invalid.push_back(bad->what);
      else
        to.configuration = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
    }
    if (plan.invalid.empty()) plan = plan::make(from, to);
    std::cout << (a.json ? plan::asJson(plan) + "\n" : plan::asText(plan));
    return !plan.invalid.empty() ? 2 : plan.moves() ? 1 : 0;
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: plan: " << bad.what << "\n";
    return 3;
  }
}

int runImport(const ImportArguments& a) {
  try {
    const auto imported = need(import::fromEnvoy(contents(a.file), a.revision), a.file);
    if (a.output.empty()) {
      std::cout << imported.document << "\n";
    } else {
      std::ofstream out(a.output);
      out << imported.document << "\n";
      out.flush();
      if (!out) throw BadInput{a.output + ": cannot be written"};
    }
    for (const auto& note : imported.notes) std::cerr << a.file << ": " << note << "\n";
    return imported.notes.empty() ? 0 : 1;
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: import: " << bad.what << "\n";
    return 3;
  }
}

}  // namespace indigohill::cli
