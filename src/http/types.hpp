#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/time.hpp"
#include "settings/settings.hpp"

// Names for the HTTP library's parts that are used throughout: Boost.Beast on Boost.Asio.
namespace indigohill::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using asio::ip::tcp;
using Request = wire::request<wire::string_body>;
using Response = wire::response<wire::string_body>;

// Every asynchronous call gives its error back as a value.
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// How much is read of a peer ahead of what can be used of it: a head, the trailers of a chunked body, requests sent in
// a row. Every buffer that a connection reads into has a bound of this size or more.
constexpr std::size_t kMaxBufferedBytes = 64u << 10;

inline tcp::endpoint tcpEndpoint(const settings::Endpoint& endpoint) {
  return {asio::ip::address_v4(endpoint.ip), endpoint.port};
}

// What the kernel may keep of a connection in each direction. It is memory of the machine that a peer decides on, by
// not reading or by sending what cannot be read yet.
constexpr int kSocketBufferBytes = 32 << 10;

// For a listening socket it holds for the connections that come; to be set before they are made.
template <class Socket>
void boundBuffers(Socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
}

// Opens a socket for an outgoing connection. The port that the kernel gives it, for as long as the connection lasts and
// in TIME_WAIT, may be one that a daemon of this machine is to listen at: with the option on both sockets the kernel
// lets it. An error shows when the socket is connected.
inline void openOutgoing(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.open(tcp::v4(), ignored);
  socket.set_option(asio::socket_base::reuse_address(true), ignored);
}

// Small messages go out at once, and a peer that has gone silent is noticed although it never resets.
inline void tune(tcp::socket& socket, base::Millis silent) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, 18 /* TCP_USER_TIMEOUT */>;
  socket.set_option(UserTimeout(static_cast<int>(silent.count())), ignored);
}

// The peer's bytes are not HTTP, as against a connection that ended or broke.
inline bool malformed(const boost::system::error_code& error) {
  return error.category() == wire::make_error_code(wire::error::bad_method).category() &&
         error != wire::error::end_of_stream && error != wire::error::partial_message;
}

Response answer(const Request& request, int status, std::string body, const char* type = "text/plain");

}  // namespace indigohill::http
