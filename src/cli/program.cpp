// The program: its subcommands, put together.
#include "cli/program.hpp"

#include "cli/command.hpp"
#include "cli/settings_option.hpp"

extern "C" [[gnu::visibility("default")]] int indigohillMain(int argc, char** argv, void (*restoreSignals)()) {
  using namespace indigohill::cli;
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
    if (!command.isDaemon) restoreSignals();
    return command.run();
  }
  return 1;
}
