#pragma once
#include <boost/json/object.hpp>
#include <functional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "settings/settings.hpp"

// Subcommands that show a part of a controller's status.
namespace indigohill::cli {

struct StatusArguments {
  std::vector<std::string> control;  // addresses of controllers, tried in turn
  double waitS = 10;
  bool json = false;
};

// Exit statuses that these subcommands share.
constexpr int kStatusBadInput = 3, kStatusNoAnswer = 5;

// A part of the status, and who answered with it.
struct StatusPart {
  settings::Endpoint from;
  boost::json::object fields;
};

struct StatusQuery {
  std::string part;      // name of the subcommand, and of the part of the status
  std::string ifAbsent;  // what to say where the status has no such part
  std::function<int(const StatusArguments&, const StatusPart&)> show;
};

// Asks the controllers and shows the part. Without it, or with input that cannot be used: `kStatusBadInput`; without an
// answer that is understood: `kStatusNoAnswer`; each with a line on standard error.
int showStatusPart(const StatusQuery& query, const StatusArguments& arguments);

struct StatusCommandText {
  std::string name, description, footer;
};
Command addStatusCommand(CLI::App& app, const StatusCommandText& text, std::function<int(const StatusArguments&)> run);

}  // namespace indigohill::cli
