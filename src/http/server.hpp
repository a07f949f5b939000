#pragma once
#include <functional>
#include <memory>

#include "http/types.hpp"

namespace indigohill::http {

// A small server for the system's own calls: readiness, operators, the cohort's larger messages. Traffic has its own
// path in src/proxy.
class Server {
 public:
  struct Limits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8u << 20;
    base::Millis idle{30000};
  };
  using Handler = std::function<asio::awaitable<Response>(Request, settings::Endpoint)>;

  Server(asio::any_io_executor executor, const settings::Endpoint& at, Limits limits, Handler handler);
  void start();
  void stop();

 private:
  asio::awaitable<void> accept();
  asio::awaitable<void> session(tcp::socket socket);

  asio::any_io_executor executor_;
  Limits limits_;
  Handler handler_;
  tcp::acceptor acceptor_;
};

// Opens a listening socket or throws std::runtime_error naming what it was for.
tcp::acceptor listen(asio::any_io_executor executor, const settings::Endpoint& at, const char* what);

}  // namespace indigohill::http
