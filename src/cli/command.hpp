#pragma once
#include <CLI/CLI.hpp>
#include <functional>

namespace indigohill::cli {

// A subcommand: its options, and what is done once they are parsed. `run` gives the process's exit status.
struct Command {
  CLI::App* parser;
  std::function<int()> run;
  bool isDaemon = false;  // it runs until it is told to stop, whatever becomes of the terminal
};

// Each adds its subcommand to the program's parser.
Command addRouterCommand(CLI::App& app);
Command addControllerCommand(CLI::App& app);
Command addCheckSettingsCommand(CLI::App& app);
Command addReplayCommand(CLI::App& app);
Command addPlanCommand(CLI::App& app);
Command addImportCommand(CLI::App& app);
Command addRolloutCommand(CLI::App& app);
Command addDutiesCommand(CLI::App& app);
Command addTalliesCommand(CLI::App& app);

}  // namespace indigohill::cli
