#pragma once
#include <array>
#include <optional>
#include <string>
#include <utility>

#include "proxy/exchange.hpp"
#include "proxy/proxy_state.hpp"

namespace indigohill::proxy {

// The message of a failed attempt at a runner that loads other weights between two events of its stream.
inline constexpr const char* kWeightsChanged = "the weights change within the stream";

// Whether a rollout allows that the version of a stream's weights changes so.
bool mayChangeVersion(const ProxyState& state, const Exchange& exchange, std::uint64_t from, std::uint64_t to);

// Passes a runner's stream to the client event by event, and only complete events, so that another runner can resume it
// after the last. The head is sent with the first event; until then another runner may still respond.
class StreamRelay {
 public:
  using Parser = http::wire::response_parser<http::wire::buffer_body>;

  StreamRelay(ProxyState& state, Exchange& exchange, Connection& connection, Parser& parser)
      : state_(state), exchange_(exchange), connection_(connection), parser_(parser) {}
  http::asio::awaitable<AttemptOutcome> run();

 private:
  http::asio::awaitable<boost::system::error_code> read(std::string& events);
  // Whether there is memory for so many bytes of events.
  http::asio::awaitable<bool> holdEvents(std::size_t bytes);
  http::asio::awaitable<bool> pass(std::string events, bool last);
  http::asio::awaitable<AttemptOutcome> passThenFail(std::string events, AttemptOutcome failure);
  std::string startHead();
  bool isContinued(const std::string& events, const std::string& idBefore);
  std::optional<rollout::Forbidden> forbiddenChangeIn(const std::string& events);

  ProxyState& state_;
  Exchange& exchange_;
  Connection& connection_;
  Parser& parser_;
  const bool resumes_ = exchange_.started;  // the client has events of another runner
  bool firstEvents_ = true;
  std::array<char, 8192> buffer_{};
};

}  // namespace indigohill::proxy
