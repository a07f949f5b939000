#pragma once
#include <optional>

#include "http/resource_limiter.hpp"

// Reading a request within what the peers of a process may hold together.
namespace indigohill::http {

using RequestParser = wire::request_parser<wire::string_body>;

// How the reading of a head or of a body ended.
enum class ReadEnd {
  Complete,
  Evicted,  // a head only: the connection gives way to others
  Failed,   // by an error of the connection or of the protocol
  NoRoom    // the memory is used up, or this one has stalled while others want it
};
struct ReadResult {
  ReadEnd end = ReadEnd::Failed;
  boost::system::error_code error;  // Failed: which
};

// Reads the head of a request. Its memory and that of the buffer are the connection's until they are released.
// `buffer` needs a bound (`kMaxBufferedBytes` or more).
asio::awaitable<ReadResult> readHead(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                     ResourceLimiter::Connection& connection);

// Reads the rest of a request whose head has been read. The body's memory is the connection's until it releases it.
asio::awaitable<ReadResult> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                     ResourceLimiter::Connection& connection);

// A request has ended: its memory is free again, and so is that of the buffer beyond what it still holds.
void releaseRequest(beast::flat_buffer& buffer, ResourceLimiter::Connection& connection);

// The status that tells a client of such an error; nothing where its connection has ended or broken.
std::optional<int> statusOf(const boost::system::error_code& error);

}  // namespace indigohill::http
