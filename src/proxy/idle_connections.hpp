#pragma once
#include <boost/asio/post.hpp>
#include <memory>
#include <mutex>
#include <set>

#include "http/types.hpp"

// The clients' connections that wait for their next request, so that a router that shuts down can close them.
// Thread-safe; a connection itself is touched on its own strand alone.
namespace indigohill::proxy {

class IdleConnections {
  struct Waiting {
    http::beast::tcp_stream* client = nullptr;  // null once the wait has ended
  };
  struct Registry {
    std::mutex mutex;
    std::set<std::shared_ptr<Waiting>> waiting;
  };

 public:
  // Registers a connection as idle for the life of this object. Created and destroyed on the connection's strand; it
  // may outlive the IdleConnections, as a coroutine's frame does that is destroyed with its io_context.
  class Scope {
   public:
    Scope(IdleConnections& connections, http::beast::tcp_stream& client)
        : registry_(connections.registry_), waiting_(std::make_shared<Waiting>()) {
      waiting_->client = &client;
      const std::lock_guard lock(registry_->mutex);
      registry_->waiting.insert(waiting_);
    }
    ~Scope() {
      const std::lock_guard lock(registry_->mutex);
      registry_->waiting.erase(waiting_);
      waiting_->client = nullptr;
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    std::shared_ptr<Registry> registry_;
    std::shared_ptr<Waiting> waiting_;
  };

  // Ends the wait of every connection that is idle now with operation_aborted. One whose next bytes have been read by
  // the time that its strand runs is left alone.
  void cancelAll() {
    const std::lock_guard lock(registry_->mutex);
    for (const auto& waiting : registry_->waiting)
      http::asio::post(waiting->client->get_executor(), [waiting] {
        if (waiting->client != nullptr) waiting->client->cancel();
      });
  }

 private:
  std::shared_ptr<Registry> registry_ = std::make_shared<Registry>();
};

}  // namespace indigohill::proxy
