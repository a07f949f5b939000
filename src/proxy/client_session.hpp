#pragma once
#include <optional>
#include <string>

#include "control/configuration.hpp"
#include "http/request_reader.hpp"
#include "proxy/client_monitor.hpp"
#include "proxy/proxy_state.hpp"

namespace indigohill::proxy {

// One connection of a client: requests are read and checked one after the other, each is handled, and the connection is
// closed so that no response is lost. Used on one strand.
class ClientSession {
 public:
  ClientSession(ProxyState& state, http::tcp::socket socket);
  http::asio::awaitable<void> run();

 private:
  using Parser = http::RequestParser;

  enum class Wait { Ready, Closed, Cancelled };
  http::asio::awaitable<Wait> awaitRequest(base::Millis idleTimeout);
  // Nothing when there is no request, or one that was answered with an error; the connection ends then.
  http::asio::awaitable<std::optional<http::Request>> readRequest(const control::Limits& limits);
  http::asio::awaitable<bool> readHead(Parser& parser, base::Millis timeout);
  http::asio::awaitable<bool> readBody(Parser& parser, base::Millis timeout);
  http::asio::awaitable<void> reject(const http::ReadResult& read, bool late, const char* part);
  http::asio::awaitable<void> reject(int status, std::string reason, const char* retryAfter = nullptr);
  http::asio::awaitable<void> closeGracefully();

  ProxyState& state_;
  http::beast::tcp_stream client_;
  http::ResourceLimiter::Connection connection_;
  http::beast::flat_buffer buffer_;
  bool evicted_ = false;  // it gives way to others and is closed at once
  ClientMonitor monitor_{client_, buffer_};
};

}  // namespace indigohill::proxy
