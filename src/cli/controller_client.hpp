#pragma once
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "http/client.hpp"

// Calls to the controllers' control addresses, as an operator makes them.
namespace indigohill::cli {

struct ControllerReply {
  int status = 0;
  std::string body;
  settings::Endpoint from;
};

// Redirections are followed twice, and after a time-out, a fault or a status that settles nothing the next address gets
// exactly the same, with a backoff.
class ControllerClient {
 public:
  // `addresses`: HOST:PORT; `timeoutS`: for a clear answer to all calls together. Throws `BadInput` for an address.
  ControllerClient(const std::vector<std::string>& addresses, double timeoutS);

  // The clear answer; nothing when there was none in the time given, `lastFailure` then says what came instead.
  std::optional<ControllerReply> call(http::wire::verb verb, const std::string& target, const std::string& body);
  const std::string& lastFailure() const { return lastFailure_; }
  // Further calls go to this address alone.
  void useOnly(settings::Endpoint address) { addresses_ = {address}; }

 private:
  http::asio::awaitable<void> callUntilClear(http::wire::verb verb, std::string target, std::string body,
                                             std::optional<ControllerReply>& out);
  http::asio::awaitable<std::optional<ControllerReply>> callOnce(settings::Endpoint at, http::wire::verb verb,
                                                                 const std::string& target, const std::string& body);

  http::asio::io_context io_;
  std::vector<settings::Endpoint> addresses_;
  base::TimePoint deadline_;
  std::string lastFailure_;
};

}  // namespace indigohill::cli
