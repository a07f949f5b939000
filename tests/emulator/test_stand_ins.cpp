#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "emulator/payload.hpp"
#include "emulator/runner.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::emulator;
namespace asio = http::asio;

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr std::uint16_t kPort = 18161;

// A runner, and what a router sends to it; ends with the last answer.
struct Play {
  asio::io_context io;
  Records records;
  std::shared_ptr<Runner> runner;

  explicit Play(const std::string& service) {
    RunnerSpec spec;
    spec.instanceId = "i-0";
    spec.service = service;
    spec.address = {kLoopback, kPort};
    runner = std::make_shared<Runner>(io.get_executor(), spec, records);
    runner->start();
  }

  // The whole answer to one request, or what comes of it when the connection is closed after `patience`.
  std::string send(const std::string& bytes, base::Millis patience = base::Millis(20000)) {
    std::string out;
    http::tcp::socket socket(io);
    socket.connect(http::tcp::endpoint(asio::ip::address_v4(kLoopback), kPort));
    asio::write(socket, asio::buffer(bytes));
    asio::steady_timer timer(io, patience);
    timer.async_wait([&](boost::system::error_code) { socket.close(); });
    bool finished = false;
    asio::async_read(socket, asio::dynamic_buffer(out), [&](boost::system::error_code, std::size_t) {
      finished = true;
      timer.cancel();
    });
    while (!finished || records.arrivals.empty() || records.arrivals.back().end == Arrival::End::Working) io.run_one();
    return out;
  }
};

std::string request(RouteKind kind, const std::string& more = "") {
  const auto body = requestBody("a");
  return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\n{}: a\r\n{}Content-Length: {}\r\n\r\n{}", requestTarget(kind, "a"),
                     kAttemptIdField, more, body.size(), body);
}

// After it a test closes its kept connection: nothing is judged by how long this is.
constexpr base::Millis kSoon{1000};

}  // namespace

Test(stand_in_runner, it_answers_with_its_seal_and_the_attempts_id) {
  Play play(kPlainService);
  const auto out = play.send(request(RouteKind::Idempotent), base::Millis(2000));
  const auto& arrival = play.records.arrivals.front();
  cr_assert(arrival.end == Arrival::End::Completed && arrival.intact && arrival.ran);
  cr_assert(out.find("Indigohill-Attempt-Id: a\r\n") != std::string::npos);
  cr_assert(out.ends_with(arrival.body), "%s", out.c_str());
}

Test(stand_in_runner, it_turns_away_what_is_meant_for_another) {
  Play play(kPlainService);
  const auto out = play.send(request(RouteKind::Idempotent, "Indigohill-Target-Instance: i-9\r\n"), kSoon);
  cr_assert(out.starts_with("HTTP/1.1 421"));
  cr_assert(play.records.arrivals.front().end == Arrival::End::Misdirected && !play.records.arrivals.front().ran);
}

Test(stand_in_runner, it_drops_work_whose_connection_closes) {
  Play play(kStreamService);
  play.runner->setPace(1000);
  play.send(request(RouteKind::ResumableStream), kSoon);
  cr_assert(play.records.arrivals.front().end == Arrival::End::Abandoned && play.records.arrivals.front().ran);
}

Test(stand_in_runner, a_stream_goes_on_behind_the_event_that_is_named) {
  Play play(kStreamService);
  const auto out = play.send(request(RouteKind::ResumableStream, "Last-Event-Id: 2\r\n"), base::Millis(5000));
  cr_assert(out.find(eventText("a", 2)) == std::string::npos);
  cr_assert(out.find(eventText("a", 3)) != std::string::npos);
  cr_assert(out.find(eventText("a", eventCount("a"))) != std::string::npos);
}

Test(stand_in_runner, it_ends_work_at_the_time_that_is_left) {
  Play play(kPlainService);
  play.runner->setPace(1000);
  const auto out = play.send(request(RouteKind::Idempotent, "Indigohill-Time-Remaining: 100\r\n"));
  cr_assert(out.starts_with("HTTP/1.1 504"));
  cr_assert(play.records.arrivals.front().end == Arrival::End::Expired);
}
