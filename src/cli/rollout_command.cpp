// `indigohill rollout`: an operator's orders about rollouts of weights, over the control address.
#include "cli/rollout_command.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "cli/controller_client.hpp"
#include "cli/input_files.hpp"
#include "rollout/record.hpp"

namespace indigohill::cli {

namespace json = boost::json;

namespace {

// Exit statuses. With kNoClearAnswer the order may be in force or not.
constexpr int kDone = 0, kSomebodyHeldBack = 1, kBadOrder = 2, kBadInput = 3, kConflict = 4, kNoClearAnswer = 5;

json::value parsed(const std::string& text, const std::string& what) {
  json::error_code error;
  auto value = json::parse(text, error);
  if (error || !value.is_object()) throw BadInput{what + ": the answer is not readable as JSON"};
  return value;
}

int noClearAnswer(const ControllerClient& controllers, bool order) {
  std::cerr << "indigohill: rollout: no clear answer (" << controllers.lastFailure() << ")"
            << (order ? "; the order may be in force or not: send exactly the same again" : "") << "\n";
  return kNoClearAnswer;
}

int finish(const RolloutArguments& arguments, const ControllerReply& reply, json::object what) {
  const bool done = reply.status == 200;
  if (arguments.json) {
    what["done"] = done;
    if (!done) what["why"] = reply.body;
    std::cout << json::serialize(what) << "\n";
  } else if (done) {
    std::cout << "in force: service " << what["service"].as_string().c_str() << ", number " << what["number"] << "\n";
  }
  if (done) return kDone;
  std::cerr << "indigohill: rollout: " << reply.body << "\n";
  return reply.status == 400 || reply.status == 413 ? kBadOrder : kConflict;
}

int declare(const RolloutArguments& arguments, ControllerClient& controllers) {
  auto document = contents(arguments.file);
  if (arguments.evenWithoutRunners) {
    json::error_code error;
    auto value = json::parse(document, error);
    if (!error && value.is_object()) {
      value.as_object()["evenWithoutRunners"] = true;
      document = json::serialize(value);
    }
  }
  // The same check as the controller's, before anything is sent.
  auto record = rollout::parseRecord(document);
  if (const auto* bad = base::errorIn(record)) {
    std::cerr << "indigohill: rollout: " << arguments.file << ": " << bad->message << "\n";
    return kBadOrder;
  }
  const auto& rollout = std::get<rollout::Record>(record);
  const auto reply = controllers.call(http::wire::verb::post, "/v1/Rollouts.Declare/" + rollout.service, document);
  if (!reply) return noClearAnswer(controllers, true);
  return finish(arguments, *reply,
                {{"service", rollout.service}, {"number", rollout.number}, {"stage", rollout.stages[0].name}});
}

// The number after the one in force: of two operators that go by the same state, one wins.
std::optional<std::uint64_t> nextNumber(const RolloutArguments& arguments, ControllerClient& controllers) {
  if (arguments.number != 0) return arguments.number;
  const auto reply = controllers.call(http::wire::verb::get, "/v1/Rollouts.Describe", "");
  if (!reply || reply->status != 200) return std::nullopt;
  const auto described = parsed(reply->body, "Rollouts.Describe");
  for (const auto& rollout : described.at("rollouts").as_array())
    if (rollout.at("service").as_string() == arguments.service)
      return rollout.at("number").to_number<std::uint64_t>() + 1;
  return 1;
}

int move(RolloutVerb verb, const RolloutArguments& arguments, ControllerClient& controllers) {
  const auto number = nextNumber(arguments, controllers);
  if (!number) return noClearAnswer(controllers, false);
  json::object body{{"service", arguments.service}, {"number", *number}};
  if (!arguments.stage.empty()) body["stage"] = arguments.stage;
  if (arguments.evenWithoutRunners) body["evenWithoutRunners"] = true;
  const auto* call = verb == RolloutVerb::Advance ? "/v1/Rollouts.Advance/" : "/v1/Rollouts.Withdraw/";
  const auto reply = controllers.call(http::wire::verb::post, call + arguments.service, json::serialize(body));
  if (!reply) return noClearAnswer(controllers, true);
  return finish(arguments, *reply, {{"service", arguments.service}, {"number", *number}});
}

std::string stages(const json::value& rollout) {
  std::vector<std::string> out;
  for (const auto& stage : rollout.at("record").at("stages").as_array()) {
    const bool now = stage.at("name") == rollout.at("stage");
    const std::string name(stage.at("name").as_string());
    out.push_back(now ? "[" + name + "]" : name);
  }
  return fmt::format("{}", fmt::join(out, " > "));
}

int status(const RolloutArguments& arguments, ControllerClient& controllers) {
  const auto described = controllers.call(http::wire::verb::get, "/v1/Rollouts.Describe", "");
  if (!described) return noClearAnswer(controllers, false);
  if (described->status != 200) throw BadInput{"Rollouts.Describe: " + described->body};
  // Who is held back comes from the same controller: it has what is in force.
  controllers.useOnly(described->from);
  const auto state = controllers.call(http::wire::verb::get, "/v1/Status", "");
  if (!state || state->status != 200) return noClearAnswer(controllers, false);
  auto rolloutsInForce = parsed(described->body, "Rollouts.Describe");
  const auto statusNow = parsed(state->body, "Status");
  json::array shown;
  bool anyHeldBack = false;
  for (auto& rollout : rolloutsInForce.at("rollouts").as_array()) {
    if (rollout.as_object().contains("withdrawn") ||
        (!arguments.service.empty() && rollout.at("service").as_string() != arguments.service))
      continue;
    auto out = rollout.as_object();
    if (const auto* judged = statusNow.as_object().if_contains("rollouts"))
      for (const auto& j : judged->as_array())
        if (j.at("service") == rollout.at("service")) {
          out["serving"] = j.at("serving");
          out["heldBack"] = j.at("heldBack");
          anyHeldBack = anyHeldBack || !j.at("heldBack").as_array().empty();
        }
    shown.push_back(std::move(out));
  }
  if (arguments.json) {
    std::cout << json::serialize(json::object{{"rollouts", std::move(shown)}}) << "\n";
    return anyHeldBack ? kSomebodyHeldBack : kDone;
  }
  if (shown.empty())
    std::cout << "no rollout is declared" << (arguments.service.empty() ? "" : " for service " + arguments.service)
              << "\n";
  for (const auto& rollout : shown) {
    std::cout << "service " << rollout.at("service").as_string().c_str() << ": number " << rollout.at("number")
              << ", stages " << (rollout.at("record").is_object() ? stages(rollout) : "that this program cannot read");
    const auto* whom = rollout.as_object().if_contains("heldBack");
    if (whom == nullptr) {
      std::cout << "\n";
      continue;
    }
    std::cout << "; " << rollout.at("serving") << " runners may serve, " << whom->as_array().size() << " held back\n";
    for (const auto& heldBack : whom->as_array())
      std::cout << "  " << heldBack.at("instanceId").as_string().c_str() << " in "
                << heldBack.at("zone").as_string().c_str() << ": " << heldBack.at("why").as_string().c_str() << "\n";
  }
  return anyHeldBack ? kSomebodyHeldBack : kDone;
}

// The options that all orders share.
CLI::App* addVerb(CLI::App& rollout, const char* name, const char* description, RolloutVerb verb,
                  const std::shared_ptr<RolloutArguments>& arguments) {
  auto* command = rollout.add_subcommand(name, description);
  command
      ->add_option("--control", arguments->control,
                   "control address HOST:PORT; given several times, they are tried in turn")
      ->required()
      ->allow_extra_args(false);
  command->add_option("--wait", arguments->waitS, "seconds to go on until there is a clear answer")
      ->capture_default_str();
  command->add_flag("--json", arguments->json, "the result as JSON");
  command->callback([arguments, verb] { arguments->verb = verb; });
  if (verb == RolloutVerb::Declare || verb == RolloutVerb::Advance)
    command->add_flag("--even-without-runners", arguments->evenWithoutRunners,
                      "also if no runner of the service may serve then");
  if (verb == RolloutVerb::Advance || verb == RolloutVerb::Withdraw) {
    command->add_option("service", arguments->service, "service")->required();
    command->add_option("--number", arguments->number, "number of the order; default: the one after that in force");
  }
  return command;
}

}  // namespace

int runRollout(RolloutVerb verb, const RolloutArguments& arguments) {
  try {
    ControllerClient controllers(arguments.control, arguments.waitS);
    if (verb == RolloutVerb::Declare) return declare(arguments, controllers);
    if (verb == RolloutVerb::Status) return status(arguments, controllers);
    return move(verb, arguments, controllers);
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: rollout: " << bad.what << "\n";
    return kBadInput;
  } catch (const std::exception& error) {
    // Fields that an answer of ours always has: the other side is something else.
    std::cerr << "indigohill: rollout: the answer is not understood: " << error.what() << "\n";
    return kNoClearAnswer;
  }
}

Command addRolloutCommand(CLI::App& app) {
  const auto arguments = std::make_shared<RolloutArguments>();
  auto* rollout = app.add_subcommand("rollout", "keep runners apart whose weights must not serve together");
  rollout->require_subcommand(1);
  rollout->footer(
      "Exit status: 0 done (status: nobody is held back), 1 status: somebody is held back, 2 the order or its "
      "record is wrong, 3 an input cannot be used, 4 the order does not fit what is in force, 5 no clear answer.");
  addVerb(*rollout, "declare", "put a record in force, at its first stage", RolloutVerb::Declare, arguments)
      ->add_option("file", arguments->file, "the record (JSON)")
      ->required();
  addVerb(*rollout, "status", "show the rollouts in force and who is held back", RolloutVerb::Status, arguments)
      ->add_option("service", arguments->service, "this service alone");
  addVerb(*rollout, "advance", "go to the next stage", RolloutVerb::Advance, arguments)
      ->add_option("--stage", arguments->stage, "its name, to be sure; refused if it is not the next");
  addVerb(*rollout, "withdraw", "end a rollout: all runners of the service may serve", RolloutVerb::Withdraw,
          arguments);
  return {rollout, [arguments] { return runRollout(arguments->verb, *arguments); }};
}

}  // namespace indigohill::cli
