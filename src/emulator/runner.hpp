#pragma once
#include <memory>
#include <set>
#include <string>

#include "emulator/link.hpp"
#include "emulator/records.hpp"
#include "emulator/slot_queue.hpp"
#include "http/types.hpp"

namespace indigohill::emulator {

struct RunnerSpec {
  std::string instanceId, service, zone;
  settings::Endpoint address;
  std::size_t slots = 8, queue = 6;
  base::TimePoint warmUntil{};
};

// A stand-in for a runner, as PROTOCOL's "Runners" has it: slots and a small queue, answers with a seal and the echoed
// attempt id, streams, 421 for requests that are meant for another instance, work that is dropped when its connection
// closes. Every request that reaches it is recorded.
class Runner : public std::enable_shared_from_this<Runner> {
 public:
  // `records` must outlive the runner's event loop. Throws std::runtime_error if the address cannot be bound.
  Runner(const http::asio::any_io_executor& executor, RunnerSpec spec, Records& records);

  void start();
  // The process dies: nobody listens any more and every connection is reset.
  void crash();
  // Everything that it begins takes so many times as long.
  void setPace(double factor) { pace_ = factor; }
  void drain() { draining_ = true; }

  Link& link() { return link_; }
  const RunnerSpec& spec() const { return spec_; }
  bool hasCrashed() const { return crashed_; }
  bool isDraining() const { return draining_; }
  base::Millis warmupLeft(base::TimePoint now) const;

 private:
  using Socket = http::tcp::socket;

  http::asio::awaitable<void> accept();
  http::asio::awaitable<void> serve(Socket socket);
  // False if the connection carries nothing further.
  http::asio::awaitable<bool> handle(Socket& socket, const http::Request& request);
  http::asio::awaitable<bool> expire(Socket& socket, Arrival& arrival);
  http::asio::awaitable<void> work(Socket& socket, const http::Request& request, Arrival& arrival);
  http::asio::awaitable<void> workOnAnswer(Socket& socket, const http::Request& request, Arrival& arrival);
  http::asio::awaitable<void> workOnStream(Socket& socket, const http::Request& request, Arrival& arrival);
  // Ends when the peer has closed the connection and the link let that through.
  http::asio::awaitable<void> awaitClose(Socket& socket, Arrival& arrival);
  http::asio::awaitable<bool> reject(Socket& socket, Arrival& arrival, int status, Arrival::End end);
  http::asio::awaitable<void> send(Socket& socket, std::string bytes, Arrival& arrival);
  Arrival& recordArrival(const http::Request& request, base::TimePoint sentAt);
  void end(Arrival& arrival, Arrival::End end) const;

  RunnerSpec spec_;
  Records& records_;
  http::tcp::acceptor acceptor_;
  std::shared_ptr<SlotQueue> slots_;
  std::set<Socket*> connections_;
  Link link_;
  double pace_ = 1;
  std::uint64_t runs_ = 0;
  bool crashed_ = false, draining_ = false;
};

}  // namespace indigohill::emulator
