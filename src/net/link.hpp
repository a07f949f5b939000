#pragma once
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>

#include "http/client.hpp"
#include "http/server.hpp"
#include "net/codec.hpp"

namespace indigohill::net {

// Carries messages of the cohort: small ones as datagrams, large ones as the body of an HTTP call to the same port.
// Everything is sent at most once; the state machines send again what they still want answered.
class Link {
 public:
  using Receive = std::function<void(const schema::Message&, const settings::Endpoint& from)>;

  // `strand` is where messages are received and `send` is called. Waits until the address can be had (awaitListen).
  // `connections`: of other daemons, for messages that do not fit a datagram; `memory`: of the process.
  Link(boost::asio::any_io_executor strand, settings::Endpoint self, std::size_t connections, Receive receive,
       std::shared_ptr<http::MemoryBudget> memory = http::MemoryBudget::unlimited());
  void start();
  void send(const Outbox& out);
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Channel {
    explicit Channel(boost::asio::any_io_executor executor, settings::Endpoint to) : client(executor, to) {}
    http::Client client;
    std::map<std::size_t, std::string> waiting;  // by kind of message: the newest takes the place of what still waits
    bool busy = false;
  };

  boost::asio::awaitable<void> receiveLoop();
  boost::asio::awaitable<void> run(settings::Endpoint to, std::shared_ptr<Channel> channel);
  void take(std::string_view bytes, const settings::Endpoint& from);

  boost::asio::any_io_executor strand_;
  settings::Endpoint self_;
  Receive receive_;
  boost::asio::ip::udp::socket socket_;
  http::Server server_;
  std::map<settings::Endpoint, std::shared_ptr<Channel>> channels_;
  std::uint64_t dropped_ = 0;
};

}  // namespace indigohill::net
