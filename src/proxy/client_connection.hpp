#pragma once
#include "http/resource_limiter.hpp"
#include "proxy/client_monitor.hpp"

namespace indigohill::proxy {

// A client's connection as a request in progress sees it; all parts outlive the request.
struct ClientConnection {
  http::beast::tcp_stream& stream;
  http::ResourceLimiter::Connection& limits;  // what the client holds of the process
  ClientMonitor& monitor;
};

}  // namespace indigohill::proxy
