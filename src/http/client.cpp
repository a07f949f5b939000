#include "http/client.hpp"

namespace indigohill::http {

asio::awaitable<base::Result<Response>> Client::call(Request request, base::Millis limit) {
  const auto deadline = base::Clock::now() + limit;
  request.set(wire::field::host, settings::text(to_));
  request.prepare_payload();
  const bool reused = stream_ != nullptr;
  for (int round = 0;; ++round) {
    if (!stream_) {
      stream_ = std::make_unique<beast::tcp_stream>(executor_);
      stream_->expires_at(deadline);
      openOutgoing(stream_->socket());
      auto [error] = co_await stream_->async_connect(tcpEndpoint(to_), kTuple);
      if (error) {
        stream_.reset();
        co_return base::Error{base::ErrorCode::Unavailable, error.message()};
      }
      tune(stream_->socket(), limit);
    }
    stream_->expires_at(deadline);
    auto [writeError, written] = co_await wire::async_write(*stream_, request, kTuple);
    beast::flat_buffer buffer(kMaxBufferedBytes);
    wire::response_parser<wire::string_body> parser;
    parser.body_limit(16u << 20);
    boost::system::error_code error = writeError;
    if (!error) {
      auto [readError, read] = co_await wire::async_read(*stream_, buffer, parser, kTuple);
      error = readError;
    }
    if (error) {
      stream_.reset();
      // A kept connection that the other side has closed meanwhile: once more on a new one. These calls may repeat.
      if (reused && round == 0 && base::Clock::now() < deadline) continue;
      co_return base::Error{base::ErrorCode::Unavailable, error.message()};
    }
    auto response = parser.release();
    if (!response.keep_alive() || buffer.size() != 0) stream_.reset();
    co_return response;
  }
}

}  // namespace indigohill::http
