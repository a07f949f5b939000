#pragma once
#include <atomic>
#include <functional>
#include <string>

#include "base/log.hpp"
#include "http/types.hpp"
#include "proxy/events.hpp"
#include "proxy/pool.hpp"
#include "proxy/prompt.hpp"
#include "proxy/request_queue.hpp"
#include "routing/routing_policy.hpp"

namespace indigohill::proxy {

// Takes clients' connections and does what the routing table's decisions say: passes, waits, or sheds.
class Executor {
 public:
  struct Counters {
    std::atomic<std::uint64_t> requests{0}, passed{0}, retried{0}, resumed{0}, shed{0}, cut{0}, failed{0};
    std::atomic<std::int64_t> active{0};
  };

  Executor(http::asio::any_io_executor pool, routing::Table& table)
      : executor_(pool), table_(table), pool_(pool), waitlist_(512) {}

  http::asio::awaitable<void> accept(http::tcp::acceptor& acceptor);
  // Where a line about each request goes; nowhere at first.
  void setTrafficLog(std::shared_ptr<spdlog::logger> log) { trafficLog_ = std::move(log); }
  // From now on every answer says that the connection closes.
  void leave() { leaving_ = true; }
  const Counters& counters() const { return counters_; }
  Pool& pool() { return pool_; }
  RequestQueue& waitlist() { return waitlist_; }

 private:
  struct Exchange;
  struct Outcome;

  http::asio::awaitable<void> session(http::tcp::socket socket);
  // Answers one request; false when the connection cannot be used further.
  http::asio::awaitable<bool> serve(http::beast::tcp_stream& client, http::Request& request, base::TimePoint arrivedAt);
  http::asio::awaitable<Outcome> attempt(Exchange& x, routing::PassTo& to);
  // Whether a stream may go from one version of the weights to another.
  bool mayChange(const Exchange& x, std::uint64_t from, std::uint64_t to) const;
  http::asio::awaitable<Outcome> answerWhole(Exchange& x, Connection& connection,
                                             http::wire::response_parser<http::wire::buffer_body>& parser,
                                             const std::string& instanceId);
  http::asio::awaitable<Outcome> relayEvents(Exchange& x, Connection& connection,
                                             http::wire::response_parser<http::wire::buffer_body>& parser);
  http::asio::awaitable<bool> reply(Exchange& x, int status, std::string body, double retryAfterS = 0);
  void record(const Exchange& x, base::TimePoint arrivedAt, int status, std::uint32_t tries) const;
  bool keepAlive(const http::Request& request) const { return request.keep_alive() && !leaving_; }

  http::asio::any_io_executor executor_;
  routing::Table& table_;
  Pool pool_;
  RequestQueue waitlist_;
  Counters counters_;
  std::shared_ptr<spdlog::logger> trafficLog_;
  std::atomic<bool> leaving_{false};
};

// The request as the runner gets it: all end-to-end headers, the time that is left, the instance that is meant, and
// the version of the weights where one is expected and the client names none itself.
http::Request forRunner(const http::Request& in, const std::string& instanceId, base::Millis left,
                        const std::string& lastEventId, std::optional<std::uint64_t> expectedVersion = {});

// The headers of a runner's answer that a client gets: those on the allow list.
void copyAnswerHead(const http::wire::fields& from, http::wire::fields& to);

}  // namespace indigohill::proxy
