#include "cli/status_command.hpp"

#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <utility>

#include "cli/controller_client.hpp"
#include "cli/input_files.hpp"

namespace indigohill::cli {

namespace json = boost::json;

namespace {

int askAndShow(const StatusQuery& query, const StatusArguments& arguments) {
  ControllerClient controllers(arguments.control, arguments.waitS);
  const auto reply = controllers.call(http::wire::verb::get, "/v1/Status", "");
  if (!reply || reply->status != 200) {
    std::cerr << "indigohill: " << query.part << ": no controller answers (" << controllers.lastFailure() << ")\n";
    return kStatusNoAnswer;
  }
  const auto status = json::parse(reply->body);
  const auto* part = status.as_object().if_contains(query.part);
  if (part == nullptr) {
    std::cerr << "indigohill: " << query.part << ": " << query.ifAbsent << "\n";
    return kStatusBadInput;
  }
  return query.show(arguments, {reply->from, part->as_object()});
}

}  // namespace

int showStatusPart(const StatusQuery& query, const StatusArguments& arguments) {
  try {
    return askAndShow(query, arguments);
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: " << query.part << ": " << bad.what << "\n";
    return kStatusBadInput;
  } catch (const std::exception& error) {
    std::cerr << "indigohill: " << query.part << ": the answer is not understood: " << error.what() << "\n";
    return kStatusNoAnswer;
  }
}

Command addStatusCommand(CLI::App& app, const StatusCommandText& text, std::function<int(const StatusArguments&)> run) {
  const auto arguments = std::make_shared<StatusArguments>();
  auto* command = app.add_subcommand(text.name, text.description);
  command
      ->add_option("--control", arguments->control,
                   "control address HOST:PORT; given several times, they are tried in turn")
      ->required()
      ->allow_extra_args(false);
  command->add_option("--wait", arguments->waitS, "seconds to go on until there is an answer")->capture_default_str();
  command->add_flag("--json", arguments->json, "the result as JSON");
  command->footer(text.footer);
  return {command, [arguments, run = std::move(run)] { return run(*arguments); }};
}

}  // namespace indigohill::cli
