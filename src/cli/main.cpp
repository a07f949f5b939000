// The program: its subcommands, put together.
#include "base/ignored_signals.hpp"
#include "cli/command.hpp"
#include "cli/settings_option.hpp"

int main(int argc, char** argv) {
  using namespace indigohill::cli;
  // First of all: a signal may come as soon as the process is there.
  const indigohill::base::IgnoredSignals ignored;
  CLI::App app{"indigohill: a router fleet for language models"};
  app.set_version_flag("--version", std::string("indigohill ") + INDIGOHILL_VERSION);
  app.require_subcommand(1);
  app.footer(std::string("The settings file is named by --settings or by ") + kSettingsVariable + ".");
  const Command commands[] = {addRouterCommand(app),  addControllerCommand(app), addCheckSettingsCommand(app),
                              addReplayCommand(app),  addPlanCommand(app),       addImportCommand(app),
                              addRolloutCommand(app), addDutiesCommand(app),     addTalliesCommand(app)};
  CLI11_PARSE(app, argc, argv);
  for (const auto& command : commands) {
    if (!command.parser->parsed()) continue;
    if (!command.isDaemon) ignored.restore();
    return command.run();
  }
  return 1;
}
