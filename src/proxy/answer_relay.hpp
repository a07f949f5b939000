#pragma once
#include <array>
#include <string>

#include "proxy/exchange.hpp"
#include "proxy/proxy_state.hpp"

namespace indigohill::proxy {

// Passes on a runner's response that is no stream and that there is no memory to keep whole: no faster than the client
// takes it. Its head says where it ends, so that a client does not take what was broken off for complete. Once it has
// begun no other runner can respond.
class AnswerRelay {
 public:
  using Parser = http::wire::response_parser<http::wire::buffer_body>;

  // What a response takes while it is passed on: buffers here, and what the kernel keeps for a client that does not
  // read.
  static constexpr std::uint64_t kBytes = 128u << 10;

  AnswerRelay(ProxyState& state, Exchange& exchange, Connection& connection, Parser& parser)
      : state_(state), exchange_(exchange), connection_(connection), parser_(parser) {}

  // Whether the client could tell that the response was broken off.
  bool isPossible() const;
  // `begun`: the response's head and what has been read of its body. REQUIRES: isPossible().
  http::asio::awaitable<AttemptOutcome> run(http::Response begun);

 private:
  http::asio::awaitable<bool> begin(http::Response begun);
  // Some bytes of the body; with the end behind them if they are the last.
  http::asio::awaitable<bool> pass(std::string_view bytes, bool last);

  ProxyState& state_;
  Exchange& exchange_;
  Connection& connection_;
  Parser& parser_;
  bool chunked_ = false;
  std::array<char, 16384> buffer_{};
};

}  // namespace indigohill::proxy
