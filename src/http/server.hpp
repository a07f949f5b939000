#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/listener.hpp"
#include "http/request_reader.hpp"

namespace indigohill::http {

// Who made a request. `gone` says whether the caller has closed or lost the connection by now; it may be called until
// the request is answered.
struct Caller {
  settings::Endpoint address;
  std::function<bool()> gone;
};

// A small server for the system's own calls: readiness, operators, the cohort's larger messages. Traffic has its own
// path in src/proxy.
class Server {
 public:
  struct Limits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8u << 20;
    base::Millis idle{30000};
    ResourceLimiter::Limits clients{};  // of all connections together
  };
  using Handler = std::function<asio::awaitable<Response>(Request, Caller)>;

  // Serves what comes to `acceptor`, on its executor. `memory`: of the process, where several listeners share it.
  Server(tcp::acceptor acceptor, Limits limits, Handler handler,
         std::shared_ptr<MemoryBudget> memory = MemoryBudget::unlimited());
  // Listens itself; throws like `listen`.
  Server(asio::any_io_executor executor, const settings::Endpoint& at, Limits limits, Handler handler,
         std::shared_ptr<MemoryBudget> memory = MemoryBudget::unlimited())
      : Server(listen(executor, at, "server at"), limits, std::move(handler), std::move(memory)) {}
  void start();
  void stop();

 private:
  asio::awaitable<void> accept();
  asio::awaitable<void> session(tcp::socket socket);
  // Nothing when there is no request, or one that was answered with an error; the connection ends then.
  asio::awaitable<std::optional<Request>> readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                      ResourceLimiter::Connection& connection);
  // False when the connection cannot be used further.
  asio::awaitable<bool> reply(beast::tcp_stream& stream, Response reply, ResourceLimiter::Connection& connection);
  asio::awaitable<void> reject(beast::tcp_stream& stream, const Request& request, int status, std::string reason);

  asio::any_io_executor executor_;
  Limits limits_;
  Handler handler_;
  ResourceLimiter limiter_;
  tcp::acceptor acceptor_;
};

}  // namespace indigohill::http
