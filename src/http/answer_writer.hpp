#pragma once
#include "http/resource_limiter.hpp"

// Writing to a client within what the peers of a process may hold together: a client that does not take its answer may
// be given up for others.
namespace indigohill::http {

// Writes all bytes of a buffer sequence. REQUIRES: `beginAnswer` was called for the answer that they are of.
template <class Buffers>
asio::awaitable<boost::system::error_code> writeBytes(beast::tcp_stream& stream, const Buffers& buffers,
                                                      ResourceLimiter::Connection& connection) {
  beast::buffers_suffix<Buffers> rest(buffers);
  while (beast::buffer_bytes(rest) > 0) {
    connection.beginAnswerWait(base::Clock::now());
    auto [error, bytes] = co_await stream.async_write_some(rest, kTuple);
    connection.endWait(error.failed());
    if (error) co_return error;
    connection.onAnswerTaken(bytes);
    rest.consume(bytes);
  }
  co_return boost::system::error_code{};
}

// Writes a whole response. Its memory is the caller's to hold.
asio::awaitable<boost::system::error_code> writeAnswer(beast::tcp_stream& stream, const Response& response,
                                                       ResourceLimiter::Connection& connection);

}  // namespace indigohill::http
