#pragma once
#include "http/types.hpp"

// What the stand-ins ask of a socket and do to it.
namespace indigohill::emulator {

// Whether the peer has closed or reset the connection; looked at without taking any bytes.
inline bool isClosedByPeer(http::tcp::socket& socket) {
  char next = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(http::asio::buffer(&next, 1), http::tcp::socket::message_peek, error);
  return error && error != http::asio::error::would_block;
}

// Closes it by a reset.
inline void reset(http::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(http::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace indigohill::emulator
