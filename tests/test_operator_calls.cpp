// Operators' calls over real connections, with a stand-in for the core.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <vector>

#include "cli/operator_calls.hpp"
#include "http/server.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
namespace asio = http::asio;
using http::tcp;

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

// A controller's control address. Nothing is read or answered but within `runUntil`, as while a machine is frozen.
class Desk {
 public:
  Desk() {
    at_ = {kLoopback, http::listen(io_.get_executor(), {kLoopback, 0}, "probe").local_endpoint().port()};
    server_ = std::make_unique<http::Server>(
        io_.get_executor(), at_, http::Server::Limits{}, [this](http::Request request, http::Caller caller) {
          control::Call call{control::Call::Kind::Order, control::OrderKind::Replace, ""};
          return calls.carryOut(call, std::move(request), std::move(caller));
        });
    server_->start();
  }

  tcp::socket send(const std::string& body, const std::string& headers = "") {
    tcp::socket socket(io_);
    socket.connect(http::tcpEndpoint(at_));
    const auto text =
        fmt::format("POST /v1/Configuration.Replace HTTP/1.1\r\nHost: x\r\n{}Content-Length: {}\r\n\r\n{}", headers,
                    body.size(), body);
    asio::write(socket, asio::buffer(text));
    return socket;
  }
  // Whether `done` came to hold.
  bool runUntil(const std::function<bool()>& done, base::Millis limit = base::Millis(5000)) {
    const auto end = base::Clock::now() + limit;
    while (!done() && base::Clock::now() < end) {
      io_.restart();
      io_.run_one_for(base::Millis(5));
    }
    return done();
  }
  // The status line and the body of the answer.
  std::string answerOn(tcp::socket& socket) {
    std::string out;
    socket.non_blocking(true);
    runUntil([&] {
      char part[1024];
      boost::system::error_code error;
      const auto got = socket.read_some(asio::buffer(part), error);
      if (!error) out.append(part, got);
      return out.find("\r\n\r\n") != std::string::npos;
    });
    return out.substr(0, 12) + " / " + out.substr(out.find("\r\n\r\n") + 4);
  }

  std::vector<control::Order> submitted;
  std::vector<std::uint64_t> forgotten;

 private:
  asio::io_context io_;
  settings::Endpoint at_;
  std::unique_ptr<http::Server> server_;

 public:
  cli::OperatorCalls calls{
      io_.get_executor(),
      {[this](control::Order order) { submitted.push_back(std::move(order)); },
       [this](std::uint64_t call) { forgotten.push_back(call); }, [] { return std::uint16_t{8000}; }}};
};

}  // namespace

// Found in a review: a machine that wakes finds orders in its sockets whose callers went elsewhere long ago.
Test(operator_calls, an_order_whose_caller_has_gone_is_not_carried_out) {
  Desk desk;
  desk.send("stale").close();
  auto present = desk.send("present");
  cr_assert(desk.runUntil([&] { return !desk.submitted.empty(); }));
  desk.runUntil([] { return false; }, base::Millis(50));
  cr_assert_eq(desk.submitted.size(), 1u);
  cr_assert_eq(desk.submitted[0].body, "present");
}

Test(operator_calls, an_order_that_waits_is_dropped_when_its_caller_goes) {
  Desk desk;
  auto first = desk.send("first");
  auto second = desk.send("second");
  cr_assert(desk.runUntil([&] { return desk.submitted.size() == 2; }));
  desk.calls.dropAbandoned();
  cr_assert(desk.forgotten.empty());
  const bool firstCameFirst = desk.submitted[0].body == "first";
  const auto gone = desk.submitted[firstCameFirst ? 0 : 1].call;
  const auto stays = desk.submitted[firstCameFirst ? 1 : 0].call;
  first.close();
  desk.calls.dropAbandoned();
  cr_assert(desk.runUntil([&] { return desk.calls.waiting() == 1; }));
  cr_assert(desk.forgotten == std::vector<std::uint64_t>{gone});
  // Its answer goes to nobody, above all not to the other call.
  desk.calls.answer({gone, 412, "of the first", {}});
  desk.calls.answer({stays, 200, "of the second", {}});
  cr_assert_eq(desk.answerOn(second), "HTTP/1.1 200 / of the second");
}

// The operator's resend, while the first call is under way: each is answered on its own connection.
Test(operator_calls, answers_find_their_calls_by_number) {
  Desk desk;
  auto first = desk.send("same");
  cr_assert(desk.runUntil([&] { return desk.submitted.size() == 1; }));
  auto again = desk.send("same");
  cr_assert(desk.runUntil([&] { return desk.submitted.size() == 2; }));
  desk.calls.answer({desk.submitted[1].call, 200, "to the second", {}});
  desk.calls.answer({desk.submitted[0].call, 503, "to the first", {}});
  cr_assert_eq(desk.answerOn(again), "HTTP/1.1 200 / to the second");
  cr_assert_eq(desk.answerOn(first), "HTTP/1.1 503 / to the first");
  cr_assert_eq(desk.calls.waiting(), 0u);
}

Test(operator_calls, a_missing_base_version_is_0_and_one_that_is_no_number_is_refused) {
  Desk desk;
  for (const auto* bad : {"x", "-1", "1.5", "99999999999999999999", "3 4"}) {
    auto call = desk.send("{}", fmt::format("Indigohill-Base-Version: {}\r\n", bad));
    cr_assert_eq(desk.answerOn(call).substr(0, 12), "HTTP/1.1 400", "%s", bad);
  }
  cr_assert(desk.submitted.empty());
  auto missing = desk.send("{}");
  auto given = desk.send("{}", "Indigohill-Base-Version:  17 \r\n");
  cr_assert(desk.runUntil([&] { return desk.submitted.size() == 2; }));
  cr_assert_eq(desk.submitted[0].baseVersion + desk.submitted[1].baseVersion, 17u);
}
