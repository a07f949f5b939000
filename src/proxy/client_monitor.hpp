#pragma once
#include <functional>
#include <memory>

#include "http/types.hpp"

namespace indigohill::proxy {

// Watches a client's connection while a request of it is in progress and nothing else reads from the connection, so
// that a close is noticed before anything is written there. The end of the client's stream counts as a close, as with
// other proxies: whether its other half is still open cannot be told without writing. What the client sends meanwhile
// (pipelined requests) is kept in the session's buffer, up to a bound beyond which it is no longer watched. Used on the
// connection's strand.
class ClientMonitor {
 public:
  // Both outlive the monitor.
  ClientMonitor(http::beast::tcp_stream& client, http::beast::flat_buffer& buffer);
  ~ClientMonitor();
  ClientMonitor(const ClientMonitor&) = delete;
  ClientMonitor& operator=(const ClientMonitor&) = delete;

  // Watches for the life of this object.
  class Scope {
   public:
    explicit Scope(ClientMonitor& monitor) : monitor_(monitor) { monitor_.start(); }
    ~Scope() { monitor_.stop(); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    ClientMonitor& monitor_;
  };

  // Has something done, once, when the client closes its connection within the life of this object; at once if it has
  // closed it already. One at a time.
  class Action {
   public:
    Action(ClientMonitor& monitor, std::function<void()> action);
    ~Action();
    Action(const Action&) = delete;
    Action& operator=(const Action&) = delete;

   private:
    ClientMonitor& monitor_;
  };

  // Whether the client's close has been seen. While it is watched, looks whether it has come just now.
  bool hasLeft();

 private:
  struct State;

  void start();
  void stop();
  static void wait(const std::shared_ptr<State>& state);
  static void look(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace indigohill::proxy
