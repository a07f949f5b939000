#pragma once
#include <memory>

#include "base/result.hpp"
#include "http/types.hpp"

namespace indigohill::http {

// One connection to one address, kept between calls; one call at a time.
class Client {
 public:
  Client(asio::any_io_executor executor, settings::Endpoint to) : executor_(executor), to_(to) {}
  asio::awaitable<base::Result<Response>> call(Request request, base::Millis limit);
  void close() { stream_.reset(); }

 private:
  asio::any_io_executor executor_;
  settings::Endpoint to_;
  std::unique_ptr<beast::tcp_stream> stream_;
};

}  // namespace indigohill::http
