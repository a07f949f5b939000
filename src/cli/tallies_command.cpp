// `indigohill tallies`: whether a replica of the tallies reaches the others, and what it has that they lack.
#include "cli/tallies_command.hpp"

#include <boost/json.hpp>
#include <iostream>

namespace indigohill::cli {

namespace {

constexpr int kWhole = 0, kNotWhole = 1;

void print(const StatusPart& part) {
  const auto& tallies = part.fields;
  std::cout << settings::text(part.from) << ": replica " << tallies.at("replica") << ", " << tallies.at("tallies")
            << " tallies, " << tallies.at("remembered") << " ids remembered\n";
  if (!tallies.at("caughtUp").as_bool()) std::cout << "has not caught up after its start and answers no reads\n";
  if (tallies.at("apart").as_bool())
    std::cout << "apart for " << tallies.at("apartMs")
              << " ms: fewer disks can be reached than an add is to be kept on\n";
  std::cout << tallies.at("reachable") << " other replicas in reach, " << tallies.at("unmerged")
            << " adds that some replica is not known to have\n";
}

int show(const StatusArguments& arguments, const StatusPart& part) {
  const auto& tallies = part.fields;
  const bool isWhole = tallies.at("caughtUp").as_bool() && !tallies.at("apart").as_bool() &&
                       tallies.at("unmerged").to_number<std::uint64_t>() == 0;
  if (arguments.json)
    std::cout << boost::json::serialize(tallies) << "\n";
  else
    print(part);
  return isWhole ? kWhole : kNotWhole;
}

}  // namespace

int showTallies(const StatusArguments& arguments) {
  return showStatusPart(
      {"tallies",
       "that controller keeps none: it has no disk, or the settings' guarantees name no \"apart\"; ask "
       "another one",
       show},
      arguments);
}

Command addTalliesCommand(CLI::App& app) {
  return addStatusCommand(app,
                          {"tallies", "show whether a controller's tallies are whole",
                           "Exit status: 0 the replica reaches enough others and has nothing that they lack, 1 "
                           "otherwise, 3 an input cannot "
                           "be used or no tallies are kept there, 5 no answer."},
                          showTallies);
}

}  // namespace indigohill::cli
