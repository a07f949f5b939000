// `indigohill router`, `controller` and `check-settings`: the subcommands that read a settings file.
#include <sys/resource.h>
#include <unistd.h>

#include <iostream>
#include <memory>

#include "base/log.hpp"
#include "base/process_end.hpp"
#include "base/process_memory.hpp"
#include "cli/command.hpp"
#include "cli/daemons.hpp"
#include "cli/settings_option.hpp"
#include "cli/settings_watch.hpp"

namespace indigohill::cli {

namespace {

constexpr const char* kRouter = "router";
constexpr const char* kController = "controller";

// A limit that the kernel enforces; the largest number where there is none.
rlim_t softLimit(int resource) {
  rlimit limit{};
  ::getrlimit(static_cast<__rlimit_resource>(resource), &limit);
  return limit.rlim_cur;
}

// The first line of each life, before anything that may prevent the start.
void logStart(const settings::Settings& settings) {
  base::logInfo(base::LogEvent("process_started")
                    .with("version", INDIGOHILL_VERSION)
                    .with("pid", ::getpid())
                    .with("memoryMb", settings.memoryMb)
                    .with("cpuCores", settings.cpuCores)
                    .with("workers", settings.workers)
                    .with("descriptors", softLimit(RLIMIT_NOFILE))
                    .with("fileSizeLimit", softLimit(RLIMIT_FSIZE))
                    .with("addressSpaceLimit", softLimit(RLIMIT_AS))
                    .with("dataLimit", softLimit(RLIMIT_DATA))
                    .with("stackLimit", softLimit(RLIMIT_STACK)));
}

using Daemon = int (*)(const settings::Settings&, const DaemonOptions&);

int runDaemon(const std::string& role, Daemon daemon, const DaemonOptions& options) {
  base::returnFreedMemory();
  base::boundThreadMemory();
  auto loaded = awaitSettings(options.settingsPath, role);
  if (const auto* status = std::get_if<int>(&loaded)) return *status;
  const auto& [settings, unreadable] = std::get<settings::TolerantSettings>(loaded);
  base::openLog(settings.nodeName, role, settings.logLevel);
  base::logAbnormalEnd(settings.nodeName, role);
  logStart(settings);
  logUnreadable(unreadable);
  try {
    return daemon(settings, options);
  } catch (const std::exception& error) {
    base::logError(base::LogEvent("process_failed").with("error", error.what()));
    return 1;
  }
}

Command addDaemonCommand(CLI::App& app, const char* role, const char* description, Daemon daemon) {
  const auto options = std::make_shared<DaemonOptions>();
  auto* parser = app.add_subcommand(role, description);
  addSettingsOption(*parser, options->settingsPath);
  parser->add_option("--metrics-port", options->metricsPort,
                     "port at the machine's address where GET /metrics tells the daemon's figures; 0: none");
  return {parser, [role, daemon, options] { return runDaemon(role, daemon, *options); }, true};
}

}  // namespace

Command addRouterCommand(CLI::App& app) {
  return addDaemonCommand(app, kRouter, "carry clients' requests to the runners", runRouter);
}

Command addControllerCommand(CLI::App& app) {
  return addDaemonCommand(app, kController, "hold the configuration and take operators' orders", runController);
}

Command addCheckSettingsCommand(CLI::App& app) {
  const auto path = std::make_shared<std::string>();
  const auto role = std::make_shared<std::string>(kRouter);
  auto* parser = app.add_subcommand("check-settings", "read the settings file and say what is wrong with it");
  addSettingsOption(*parser, *path);
  parser->add_option("--role", *role, "role to check for")->check(CLI::IsMember({kRouter, kController}));
  return {parser, [path, role] {
            const auto loaded = loadSettings(*path, *role);
            if (const auto* status = std::get_if<int>(&loaded)) return *status;
            std::cout << *path << ": good for " << *role << "\n";
            return 0;
          }};
}

}  // namespace indigohill::cli
