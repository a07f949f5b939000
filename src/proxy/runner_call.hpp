#pragma once
#include <memory>
#include <optional>
#include <string>

#include "proxy/exchange.hpp"
#include "proxy/first_byte_watchdog.hpp"
#include "proxy/proxy_state.hpp"
#include "proxy/socket_timer.hpp"

// One attempt at a runner: a connection is acquired, the request sent, the response that belongs to it found and
// judged, and passed on. docs/control/calls.md says what each end of an attempt means. Used on one strand.
namespace indigohill::proxy {

class RunnerCall {
 public:
  RunnerCall(ProxyState& state, Exchange& exchange, routing::PassTo& target)
      : state_(state), exchange_(exchange), target_(target) {}
  http::asio::awaitable<AttemptOutcome> run();

 private:
  using Parser = http::wire::response_parser<http::wire::buffer_body>;

  // The attempt, with the client watched over it.
  http::asio::awaitable<AttemptOutcome> runSteps();
  // The steps. One that returns an outcome has ended the attempt.
  http::asio::awaitable<std::optional<AttemptOutcome>> acquire();
  http::asio::awaitable<std::optional<AttemptOutcome>> send();
  http::asio::awaitable<std::optional<AttemptOutcome>> awaitHead();
  void recordHead();
  void countRun();
  std::optional<AttemptOutcome> judgeHead();
  http::asio::awaitable<AttemptOutcome> handleRejection();
  http::asio::awaitable<AttemptOutcome> passOn();
  http::asio::awaitable<AttemptOutcome> passOnComplete();
  http::asio::awaitable<AttemptOutcome> relayAnswer(http::Response begun);
  bool holdAnswer(std::uint64_t bytes);
  // `isWhole`: false where it was left off for want of memory.
  http::asio::awaitable<std::optional<AttemptOutcome>> readBody(std::string& body, bool& isWhole);
  void recordOutcome(const AttemptOutcome& outcome);
  void releaseConnection();

  http::asio::awaitable<bool> skipBody();
  void recordTransportFailure(const boost::system::error_code& error, bool responded);
  // Ends the runner's work, as nobody is left to respond to.
  void abandon();
  void recordFailure() {
    if (!abandoned_) record(routing::AttemptResult::Failure);
  }
  void record(routing::AttemptResult result) {
    state_.table.recordResult(target_.instanceId, result, base::Clock::now());
  }
  bool isRejection() const;

  ProxyState& state_;
  Exchange& exchange_;
  routing::PassTo& target_;
  std::unique_ptr<Connection> connection_;
  std::optional<SocketTimer> deadline_;
  std::optional<FirstByteWatchdog> watchdog_;
  std::unique_ptr<Parser> parser_;
  boost::system::error_code writeError_;
  bool abandoned_ = false;
  bool skippedOther_ = false;                 // the response to another request stood before this one's
  rollout::ReportedVersion reportedVersion_;  // of the weights, by the head
};

}  // namespace indigohill::proxy
