#pragma once
#include <functional>
#include <memory>
#include <optional>

#include "duties/platform_call.hpp"
#include "http/types.hpp"
#include "settings/settings.hpp"

// Carries out calls of duties at the platform, each on a connection of its own. Used on one strand.
namespace indigohill::duties {

class PlatformClient {
 public:
  using MayCall = std::function<bool(const PlatformCall&, base::TimePoint now)>;
  using OnEnded = std::function<void(std::uint64_t id, CallOutcome outcome)>;

  // `mayCall` is asked right before the bytes of a call are sent: the process may have stood still since it was given.
  PlatformClient(http::asio::any_io_executor executor, settings::Endpoint platform, MayCall mayCall, OnEnded onEnded)
      : executor_(std::move(executor)),
        platform_(platform),
        mayCall_(std::move(mayCall)),
        onEnded_(std::move(onEnded)) {}

  void start(PlatformCall call);
  // Closes the connection of a call at once. What has not left the machine is dropped: it must not arrive later.
  void abort(std::uint64_t id);

 private:
  struct Connection {
    explicit Connection(http::asio::any_io_executor executor) : stream(std::move(executor)) {}
    http::beast::tcp_stream stream;
    bool aborted = false;
  };

  http::asio::awaitable<void> run(PlatformCall call, std::shared_ptr<Connection> connection);
  http::asio::awaitable<CallOutcome> exchange(const PlatformCall& call, Connection& connection);

  http::asio::any_io_executor executor_;
  settings::Endpoint platform_;
  MayCall mayCall_;
  OnEnded onEnded_;
  std::uint64_t running_ = 0;  // id of the call under way; 0: none
  std::shared_ptr<Connection> connection_;
};

}  // namespace indigohill::duties
