#pragma once
#include <memory>
#include <optional>
#include <string>

#include "proxy/client_connection.hpp"
#include "proxy/exchange.hpp"
#include "proxy/headers.hpp"
#include "proxy/proxy_state.hpp"
#include "proxy/request_progress.hpp"
#include "routing/routing_policy.hpp"

namespace indigohill::proxy {

// Answers one request of a client: finds its route, and does what the routing policy decides (an attempt at a runner, a
// wait, an end) until the client has a response. Used on one strand.
class RequestHandler {
 public:
  // The client's monitor watches its connection meanwhile.
  RequestHandler(ProxyState& state, ClientConnection client, const http::Request& request, base::TimePoint arrivedAt)
      : state_(state),
        connection_(client),
        client_(client.stream),
        monitor_(client.monitor),
        request_(request),
        progress_(state.metrics, std::string(request[kAttemptId]), arrivedAt),
        arrivedAt_(arrivedAt) {}
  // False when the client's connection cannot be used further.
  http::asio::awaitable<bool> run();

 private:
  using Snapshot = std::shared_ptr<const routing::RoutingSnapshot>;

  http::asio::awaitable<Snapshot> awaitSnapshot();
  http::asio::awaitable<bool> route(const control::Route& route, routing::Caller caller);
  // Nothing: the client has its response, or has gone.
  http::asio::awaitable<std::optional<routing::Ending>> tryRunners(Exchange& exchange, routing::RoutingPolicy& policy);
  http::asio::awaitable<std::optional<routing::Ending>> attempt(Exchange& exchange, routing::RoutingPolicy& policy,
                                                                routing::PassTo& target);
  bool considerClientGone();
  void prepareResume(Exchange& exchange, routing::RoutingPolicy& policy, const routing::PassTo& target) const;
  http::asio::awaitable<bool> replyUnrouted(int status, std::string body, double retryAfterS = 0);
  http::asio::awaitable<bool> finish(Exchange& exchange, const routing::Ending& ending);
  http::asio::awaitable<bool> reply(int status, std::string body, double retryAfterS = 0);
  void record(const Exchange& exchange, int status, std::uint32_t attempts) const;

  ProxyState& state_;
  ClientConnection connection_;
  http::beast::tcp_stream& client_;
  ClientMonitor& monitor_;
  const http::Request& request_;
  RequestProgress progress_;
  base::TimePoint arrivedAt_;
  base::Millis clientTime_{0};  // that the client will wait
  bool answered_ = false, clientGone_ = false;
};

}  // namespace indigohill::proxy
