// `indigohill duties`: who performs the duties at the platform.
#include "cli/duties_command.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <iostream>

namespace indigohill::cli {

namespace json = boost::json;

namespace {

constexpr int kShown = 0, kSomeWithoutHolder = 1;
constexpr std::int64_t kMaxTableAgeMs = 3000;  // a primary tells its controllers of the leases more often

std::string text(const json::value& value) { return std::string(value.as_string()); }

void print(const json::object& duties) {
  for (const auto& lease : duties.at("leases").as_array()) {
    const auto subject = text(lease.at("subject"));
    const auto remaining = lease.at("remainingMs").to_number<std::int64_t>();
    std::cout << text(lease.at("duty")) << (subject.empty() ? "" : " " + subject) << ": ";
    if (remaining == 0)
      std::cout << "no holder (last: " << text(lease.at("holder")) << ")";
    else
      std::cout << text(lease.at("holder")) << ", lease ends in " << remaining << " ms unless it is renewed";
    std::cout << "; attempt " << lease.at("attempt") << "\n";
  }
  if (const auto* call = duties.if_contains("lastCall"))
    std::cout << "last call from there: " << text(call->at("path")) << ", fence " << call->at("fence") << ", "
              << text(call->at("outcome")) << ", " << call->at("agoMs") << " ms ago\n";
}

int show(const StatusArguments& arguments, const StatusPart& part) {
  const auto& known = part.fields;
  const auto age = known.at("tableAgeMs").to_number<std::int64_t>();
  if (age < 0 || age > kMaxTableAgeMs) {
    std::cerr << "indigohill: duties: " << settings::text(part.from)
              << (age < 0 ? " has never heard of the leases"
                          : fmt::format(" has not heard of the leases for {} ms", age))
              << ": no primary with a majority reaches it; ask another controller\n";
    return kStatusNoAnswer;
  }
  if (arguments.json)
    std::cout << json::serialize(known) << "\n";
  else
    print(known);
  for (const auto& lease : known.at("leases").as_array())
    if (lease.at("remainingMs").to_number<std::int64_t>() == 0) return kSomeWithoutHolder;
  return known.at("leases").as_array().empty() ? kSomeWithoutHolder : kShown;
}

}  // namespace

int showDuties(const StatusArguments& arguments) {
  return showStatusPart({"duties", "the platform expects none (cloudApi.duties in the controller's settings)", show},
                        arguments);
}

Command addDutiesCommand(CLI::App& app) {
  return addStatusCommand(
      app,
      {"duties", "show who performs the duties at the platform",
       "Exit status: 0 every duty has a holder, 1 some has none, 3 an input cannot be used, 5 no answer, or none that "
       "rests on a majority."},
      showDuties);
}

}  // namespace indigohill::cli
