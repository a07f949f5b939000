#include "proxy/answer_relay.hpp"

#include <sstream>
#include <utility>
#include <vector>

#include "http/answer_writer.hpp"
#include "proxy/chunks.hpp"
#include "proxy/headers.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace wire = http::wire;

bool AnswerRelay::isPossible() const {
  constexpr unsigned kVersionWithChunks = 11;
  return parser_.content_length().has_value() || exchange_.request.version() >= kVersionWithChunks;
}

asio::awaitable<AttemptOutcome> AnswerRelay::run(http::Response begun) {
  bool passed = co_await begin(std::move(begun));
  exchange_.clientLimits.hold(http::MemoryKind::Answer, kBytes, base::Clock::now());
  while (passed && !parser_.is_done()) {
    auto& body = parser_.get().body();
    body.data = buffer_.data();
    body.size = buffer_.size();
    auto [error, bytes] = co_await wire::async_read_some(connection_.stream, connection_.buffer, parser_, http::kTuple);
    if (error && error != wire::error::need_buffer)
      co_return AttemptOutcome::failed("the response breaks off: " + error.message());
    const auto size = buffer_.size() - parser_.get().body().size;
    passed = co_await pass({buffer_.data(), size}, parser_.is_done());
  }
  co_return passed ? AttemptOutcome::answered() : AttemptOutcome::clientGone();
}

asio::awaitable<bool> AnswerRelay::begin(http::Response begun) {
  const auto length = parser_.content_length();
  chunked_ = !length.has_value();
  if (chunked_)
    begun.chunked(true);
  else
    begun.content_length(*length);
  exchange_.keepAlive = state_.keepAlive(exchange_.request);
  begun.keep_alive(exchange_.keepAlive);
  exchange_.started = true;
  exchange_.status = static_cast<int>(begun.result_int());
  std::ostringstream head;
  head << begun.base();
  const auto lines = std::move(head).str();
  exchange_.client.expires_at(exchange_.deadline + kWriteGrace);
  exchange_.clientLimits.beginAnswer(base::Clock::now());
  const auto error = co_await http::writeBytes(exchange_.client, asio::const_buffer(lines.data(), lines.size()),
                                               exchange_.clientLimits);
  if (error) co_return false;
  co_return co_await pass(begun.body(), parser_.is_done());
}

asio::awaitable<bool> AnswerRelay::pass(std::string_view bytes, bool last) {
  std::vector<asio::const_buffer> parts;
  const auto chunk = wire::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
  const auto end = wire::make_chunk_last();
  if (!chunked_)
    parts.emplace_back(bytes.data(), bytes.size());
  else if (!bytes.empty())
    appendBuffers(parts, chunk);
  if (chunked_ && last) appendBuffers(parts, end);
  const auto error = co_await http::writeBytes(exchange_.client, parts, exchange_.clientLimits);
  co_return !error;
}

}  // namespace indigohill::proxy
