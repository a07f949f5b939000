#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "base/log.hpp"
#include "cli/replay.hpp"
#include "cli/roles.hpp"
#include "cli/rollout.hpp"
#include "cli/tools.hpp"
#include "settings/settings.hpp"

namespace {

constexpr const char* kSettingsVariable = "INDIGOHILL_NODE_FILE";

// Settings that a role can run with, or a message on standard error and exit status 2.
std::variant<indigohill::settings::Settings, int> load(const std::string& path, const std::string& role) {
  if (path.empty()) {
    std::cerr << "indigohill: no settings file: give --settings or set " << kSettingsVariable << "\n";
    return 2;
  }
  auto read = indigohill::settings::read(path);
  if (const auto* bad = indigohill::base::errorIn(read)) {
    std::cerr << "indigohill: settings: " << bad->what << "\n";
    return 2;
  }
  auto settings = std::get<0>(std::move(read));
  if (auto missing = indigohill::settings::missingFor(settings, role); !missing.empty()) {
    std::cerr << "indigohill: settings: " << missing << "\n";
    return 2;
  }
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"indigohill: a router fleet for language models"};
  app.set_version_flag("--version", std::string("indigohill ") + INDIGOHILL_VERSION);
  app.require_subcommand(1);
  app.footer(std::string("The settings file is named by --settings or by ") + kSettingsVariable + ".");
  std::string path;
  if (const char* named = std::getenv(kSettingsVariable)) path = named;
  std::string role = "router";

  auto* router = app.add_subcommand("router", "carry clients' requests to the runners");
  auto* controller = app.add_subcommand("controller", "hold the configuration and take operators' orders");
  auto* check = app.add_subcommand("check-settings", "read the settings file and say what is wrong with it");
  for (auto* command : {router, controller, check})
    command->add_option("--settings", path, "settings file")->capture_default_str();
  check->add_option("--role", role, "role to check for")->check(CLI::IsMember({"router", "controller"}));
  auto* replay = app.add_subcommand("replay", "play recorded traffic against a changed routing policy and compare");
  indigohill::cli::ReplayArguments played;
  replay->add_option("--traffic", played.traffic, "logs of routers with trafficLog=true")->required();
  replay->add_option("--configuration", played.configuration, "configuration in force (JSON)")->required();
  replay->add_option("--fleet", played.fleet, "runners, routers and troubles to play (JSON)")->required();
  replay->add_option("--current", played.currentPolicy, "policy in force (policy.* lines); default: the built-in one");
  replay->add_option("--changed", played.changedPolicy, "policy to compare with it");
  replay->add_option("--changed-configuration", played.changedConfiguration, "configuration to compare with");
  replay->add_option("--seed", played.seed, "seed of everything drawn by lot")->capture_default_str();
  replay->add_option("--most", played.most, "changed requests to list")->capture_default_str();
  replay->add_flag("--json", played.json, "the result as JSON");
  replay->footer("Exit status: 0 nothing is worse, 1 something is, 2 an input cannot be used.");
  auto* plan = app.add_subcommand("plan", "show what a change of configuration, runners or daemons would move");
  indigohill::cli::PlanArguments planned;
  plan->add_option("--current", planned.current, "configuration in force (JSON)")->required();
  auto* changed = plan->add_option("--changed", planned.changed, "whole configuration to come (JSON)");
  plan->add_option("--update", planned.update, "update to come (upsert and remove, JSON)")->excludes(changed);
  plan->add_option("--runners", planned.runners, "runners now, as the platform lists them (JSON)");
  plan->add_option("--changed-runners", planned.changedRunners, "runners to come");
  plan->add_option("--daemons", planned.daemons, "daemons now (JSON)");
  plan->add_option("--changed-daemons", planned.changedDaemons, "daemons to come");
  plan->add_option("--rollout", planned.rollouts, "record of a rollout to come (JSON), one for each service");
  plan->add_option("--rollout-stage", planned.rolloutStage, "stage to show of it; default: the first");
  plan->add_flag("--json", planned.json, "the result as JSON");
  plan->footer(
      "Exit status: 0 nothing moves, 1 something moves, 2 the change would be invalid, 3 an input cannot be used.");
  auto* import = app.add_subcommand("import", "make a configuration of an Envoy file");
  indigohill::cli::ImportArguments imported;
  import->add_option("file", imported.file, "Envoy's static configuration (YAML)")->required();
  import->add_option("--output", imported.output, "where to write; standard output if not given");
  import->add_option("--revision", imported.revision, "revision of the configuration")->capture_default_str();
  import->footer("Exit status: 0 all was carried over, 1 some was not and is listed, 3 the file cannot be used.");
  auto* rollout = app.add_subcommand("rollout", "keep runners apart whose weights must not serve together");
  rollout->require_subcommand(1);
  rollout->footer(
      "Exit status: 0 done (status: nobody is held back), 1 status: somebody is held back, 2 the order or its "
      "record is wrong, 3 an input cannot be used, 4 the order does not fit what is in force, 5 no clear answer.");
  using indigohill::cli::RolloutVerb;
  indigohill::cli::RolloutArguments rolled;
  std::optional<RolloutVerb> rolloutVerb;
  const auto verb = [&](const char* name, const char* what, RolloutVerb is) {
    auto* command = rollout->add_subcommand(name, what);
    command
        ->add_option("--control", rolled.control,
                     "control address HOST:PORT; given several times, they are tried in turn")
        ->required()
        ->allow_extra_args(false);
    command->add_option("--wait", rolled.waitS, "seconds to go on until there is a clear answer")
        ->capture_default_str();
    command->add_flag("--json", rolled.json, "the result as JSON");
    command->callback([&rolloutVerb, is] { rolloutVerb = is; });
    if (is == RolloutVerb::Declare || is == RolloutVerb::Advance)
      command->add_flag("--even-without-runners", rolled.evenWithoutRunners,
                        "also if no runner of the service may serve then");
    if (is == RolloutVerb::Advance || is == RolloutVerb::Withdraw) {
      command->add_option("service", rolled.service, "service")->required();
      command->add_option("--number", rolled.number, "number of the order; default: the one after that in force");
    }
    return command;
  };
  verb("declare", "put a record in force, at its first stage", RolloutVerb::Declare)
      ->add_option("file", rolled.file, "the record (JSON)")
      ->required();
  verb("status", "show the rollouts in force and who is held back", RolloutVerb::Status)
      ->add_option("service", rolled.service, "this service alone");
  verb("advance", "go to the next stage", RolloutVerb::Advance)
      ->add_option("--stage", rolled.stage, "its name, to be sure; refused if it is not the next");
  verb("withdraw", "end a rollout: all runners of the service may serve", RolloutVerb::Withdraw);
  CLI11_PARSE(app, argc, argv);
  if (rolloutVerb) return indigohill::cli::runRollout(*rolloutVerb, rolled);
  if (plan->parsed()) return indigohill::cli::runPlan(planned);
  if (import->parsed()) return indigohill::cli::runImport(imported);
  if (replay->parsed()) return indigohill::cli::runReplay(played);

  if (router->parsed()) role = "router";
  if (controller->parsed()) role = "controller";
  auto loaded = load(path, role);
  if (const auto* status = std::get_if<int>(&loaded)) return *status;
  const auto& settings = std::get<indigohill::settings::Settings>(loaded);
  if (check->parsed()) {
    std::cout << path << ": good for " << role << "\n";
    return 0;
  }
  indigohill::base::openLog(settings.nodeName, role, settings.logLevel);
  try {
    return role == "router" ? indigohill::cli::runRouter(settings, path)
                            : indigohill::cli::runController(settings, path);
  } catch (const std::exception& error) {
    spdlog::critical("ended: {}", error.what());
    return 1;
  }
}
