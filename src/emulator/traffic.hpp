#pragma once
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "emulator/daemon_fleet.hpp"
#include "emulator/experiment.hpp"
#include "emulator/network.hpp"
#include "emulator/random.hpp"
#include "emulator/records.hpp"

namespace indigohill::emulator {

// The clients: requests that come at random, on kept connections or new ones, with patience of their own; some leave
// early, and many at once when they are told to. Open loop: a slow fleet does not slow them, up to the experiment's
// limit of requests in progress.
class Traffic : public std::enable_shared_from_this<Traffic> {
 public:
  // The references must outlive the event loop.
  Traffic(const http::asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
          const DaemonFleet& fleet, Records& records, std::uint64_t seed);

  void start();
  // No further requests; those in progress go on.
  void stop() { stopped_ = true; }
  void setBurst(double factor) { burst_ = factor; }
  // So large a share of the clients that wait for an answer closes its connection now.
  void leaveAtOnce(double share);
  std::size_t inProgress() const { return waiting_.size(); }

 private:
  struct Connection {
    explicit Connection(const http::asio::any_io_executor& executor) : socket(executor) {}
    http::tcp::socket socket;
    http::beast::flat_buffer buffer;
    base::TimePoint idleSince{};
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  http::asio::awaitable<void> generate();
  // A request with its further tries, each an attempt of its own.
  http::asio::awaitable<void> request(RouteKind kind);
  http::asio::awaitable<void> tryOnce(Attempt& attempt);
  // How it ended, if the client does not leave before. Leaves the connection in place if it may be kept.
  http::asio::awaitable<Attempt::End> exchange(ConnectionPtr& connection, Attempt& attempt);
  http::asio::awaitable<bool> connect(ConnectionPtr& connection, const Attempt& attempt);
  Attempt& newAttempt(RouteKind kind);
  RouteKind drawKind();
  ConnectionPtr takeIdle(std::size_t router);
  void keep(std::size_t router, ConnectionPtr connection);

  http::asio::any_io_executor executor_;
  const Experiment& experiment_;
  const Network& network_;
  const DaemonFleet& fleet_;
  Records& records_;
  Random random_;
  std::map<std::size_t, std::vector<ConnectionPtr>> idle_;  // by router
  std::set<http::asio::steady_timer*> waiting_;             // each client's moment of leaving
  double burst_ = 1;
  bool stopped_ = false;
};

}  // namespace indigohill::emulator
