#pragma once
#include <functional>

#include "http/types.hpp"

// Sockets at the addresses that a daemon serves.
namespace indigohill::http {

// Opens a listening socket or throws std::runtime_error naming what it was for.
tcp::acceptor listen(const asio::any_io_executor& executor, const settings::Endpoint& at, const char* what);

// The same, but where the address is in use, or not there yet, that is logged (`address_unavailable`) and waited for,
// however long it lasts. A port may be held by a process that is still being torn down, or by somebody's outgoing
// connection. Blocks; for a daemon's start.
tcp::acceptor awaitListen(const asio::any_io_executor& executor, const settings::Endpoint& at, const char* what);

// Waits in the same way until `bind` gives no error. Throws boost::system::system_error for any other error than one of
// an address that cannot be had now.
void awaitBind(const settings::Endpoint& at, const char* what, const std::function<boost::system::error_code()>& bind);

}  // namespace indigohill::http
