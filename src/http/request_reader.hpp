#pragma once
#include <optional>

#include "http/resource_limiter.hpp"

// Reading a request's body within what a listener's clients may hold together.
namespace indigohill::http {

using RequestParser = wire::request_parser<wire::string_body>;

// How the reading of a body ended.
enum class BodyEnd {
  Complete,
  Failed,  // by an error of the connection or of the protocol
  NoRoom   // the memory for bodies is used up, or this one has stalled while others want it
};
struct BodyRead {
  BodyEnd end = BodyEnd::Failed;
  boost::system::error_code error;  // Failed: which
};

// Reads the rest of a request whose head has been read. The body's memory is the connection's until it releases it; it
// is freed and released where the body does not become complete. `buffer` needs a bound (`kMaxBufferedBytes` or more).
asio::awaitable<BodyRead> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                   ResourceLimiter::Connection& connection);

// The status that tells a client of such an error; nothing where its connection has ended or broken.
std::optional<int> statusOf(const boost::system::error_code& error);

}  // namespace indigohill::http
