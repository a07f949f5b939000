// Rollouts of weights: the command line against stand-in controllers.
#include <fmt/format.h>

#include <thread>

#include "cli/rollout_command.hpp"
#include "http/server.hpp"
// These bring in Criterion, whose macros get in the way of Boost's headers, so they come last.
#include <criterion/criterion.h>
#include "rollouts.hpp"

using namespace indigohill;
using base::Millis;
using namespace tests;
namespace asio = http::asio;

namespace {
struct StandInControllers {
  asio::io_context io;
  std::vector<std::string> seen;  // METHOD target body
  std::vector<std::unique_ptr<http::Server>> servers;
  std::thread thread;
  using Answers = std::function<std::pair<int, std::string>(const std::string& target)>;

  // Each answers by its function; a 307 names the next one.
  explicit StandInControllers(std::vector<Answers> answers) {
    for (std::size_t i = 0; i < answers.size(); ++i) {
      const auto probe = http::listen(io.get_executor(), {0x7f000001, 0}, "probe");
      ports.push_back(probe.local_endpoint().port());
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
      servers.push_back(std::make_unique<http::Server>(
          io.get_executor(), settings::Endpoint{0x7f000001, ports[i]}, http::Server::Limits{},
          [this, i, answer = answers[i]](http::Request r, const http::Caller&) -> asio::awaitable<http::Response> {
            const std::string target(r.target());
            seen.push_back(fmt::format("{} {} {}", i, target, r.body()));
            const auto [status, body] = answer(target);
            auto out = http::answer(r, status, body);
            if (status == 307)
              out.set("Location", fmt::format("http://127.0.0.1:{}{}", ports[(i + 1) % ports.size()], target));
            co_return out;
          }));
      servers.back()->start();
    }
    thread = std::thread([this] { io.run(); });
  }
  ~StandInControllers() {
    io.stop();
    thread.join();
  }
  cli::RolloutArguments arguments() {
    cli::RolloutArguments a;
    for (const auto port : ports) a.control.push_back(fmt::format("127.0.0.1:{}", port));
    a.service = "plain";
    a.waitS = 1;
    return a;
  }
  std::vector<std::uint16_t> ports;
};
std::string described(std::uint64_t number) {
  return fmt::format(R"({{"rollouts":[{{"service":"plain","number":{},"stage":"before","record":{}}}]}})", number,
                     record(number));
}
}  // namespace

Test(rollout_cli, redirections_are_followed_and_what_settles_nothing_is_sent_again) {
  int refused = 0;
  StandInControllers controllers(
      {[](const auto&) {
         return std::pair{307, std::string()};
       },
       [&](const auto& target) {
         if (target == "/v1/Rollouts.Describe") return std::pair{200, described(4)};
         return ++refused < 3 ? std::pair{503, std::string("no primary")} : std::pair{200, std::string("{}")};
       }});
  auto a = controllers.arguments();
  a.waitS = 20;
  cr_assert_eq(cli::runRollout(cli::RolloutVerb::Advance, a), 0);
  cr_assert_gt(refused, 2);
  for (const auto& line : controllers.seen)
    if (has(line, "Advance"))
      cr_assert(has(line, R"(/v1/Rollouts.Advance/plain {"service":"plain","number":5})"), "%s", line.c_str());
}

Test(rollout_cli, exit_statuses_tell_what_happened) {
  int status = 200;
  std::string held = "[]";
  StandInControllers controllers({[&](const auto& target) {
    if (target == "/v1/Rollouts.Describe") return std::pair{200, described(1)};
    if (target == "/v1/Status")
      return std::pair{200, R"({"rollouts":[{"service":"plain","serving":1,"heldBack":)" + held + "}]}"};
    return std::pair{status, std::string("why")};
  }});
  auto a = controllers.arguments();
  using enum cli::RolloutVerb;
  cr_assert_eq(cli::runRollout(Status, a), 0);
  held = R"([{"instanceId":"b","zone":"z","why":"unknown"}])";
  cr_assert_eq(cli::runRollout(Status, a), 1);
  for (const auto& [answered, exit] : std::map<int, int>{{200, 0}, {400, 2}, {409, 4}, {503, 5}}) {
    status = answered;
    cr_assert_eq(cli::runRollout(Withdraw, a), exit, "%d", answered);
  }
  a.file = "/nowhere/record.json";
  cr_assert_eq(cli::runRollout(Declare, a), 3);
  a.control = {"nowhere"};
  cr_assert_eq(cli::runRollout(Status, a), 3);
}
