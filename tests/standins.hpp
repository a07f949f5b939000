#pragma once
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "documents.hpp"
#include "http/server.hpp"
#include "membership/group.hpp"
#include "proxy/executor.hpp"
#include "routing/table.hpp"

// Stand-ins over loopback sockets for tests of rollouts: runners that hold weights, and a router's traffic side.
namespace indigohill::tests {

namespace asio = http::asio;
using base::Millis;
using http::tcp;

// A runner as the protocol describes it, as far as weights go. What it lists and what it holds may differ. It counts
// what it runs.
struct Weighted {
  schema::RunnerEntry entry;              // as the platform lists it
  std::atomic<std::uint64_t> weights{1};  // as it answers; 0: it tells none
  std::atomic<bool> heedsExpected{true};  // turns away what expects other weights
  std::vector<std::string> stream;        // chunks of a stream's events; empty: an answer that is no stream
  std::atomic<bool> breaks{false};        // after its chunks it closes without the last
  std::atomic<int> ran{0}, turnedAway{0};
  std::atomic<int> resumed{0}, resumedFrom{-1};  // behind which event

  explicit Weighted(schema::RunnerEntry entry_)
      : entry(std::move(entry_)), acceptor(http::listen(io.get_executor(), {0x7f000001, 0}, "runner")) {
    entry.ip = 0x7f000001;
    entry.port = acceptor.local_endpoint().port();
    asio::co_spawn(io, accept(), asio::detached);
    thread = std::thread([this] { io.run(); });
  }
  ~Weighted() {
    io.stop();
    thread.join();
  }

 private:
  asio::awaitable<void> accept() {
    for (;;) {
      auto [error, socket] = co_await acceptor.async_accept(http::kTuple);
      if (error) co_return;
      asio::co_spawn(io, serve(std::move(socket)), asio::detached);
    }
  }
  asio::awaitable<void> serve(tcp::socket socket) {
    http::beast::flat_buffer buffer;
    for (;;) {
      http::Request request;
      auto [error, n] = co_await http::wire::async_read(socket, buffer, request, http::kTuple);
      if (error) co_return;
      const auto bytes = answer(request);
      co_await asio::async_write(socket, asio::buffer(bytes), http::kTuple);
      if (breaks) co_return;
    }
  }
  std::string answer(const http::Request& request) {
    const auto id = "Indigohill-Attempt-Id: " + std::string(request["Indigohill-Attempt-Id"]) + "\r\n";
    const auto expected = std::string(request["Indigohill-Expected-Version"]);
    if (heedsExpected && !expected.empty() && expected != std::to_string(weights)) {
      ++turnedAway;
      return "HTTP/1.1 421 Misdirected\r\nIndigohill-Not-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n";
    }
    ++ran;
    const auto told = weights == 0 ? "" : "Indigohill-Weight-Versions: " + std::to_string(weights) + "\r\n";
    const auto head = "HTTP/1.1 200 OK\r\n" + id + "Indigohill-Response-Seal: s." + entry.instanceId + "\r\n" + told;
    if (stream.empty())
      return head + fmt::format("Content-Length: {}\r\n\r\n{}", entry.instanceId.size(), entry.instanceId);
    std::string out = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const bool goesOn = request.count("Last-Event-Id") > 0;
    resumed += goesOn;
    if (goesOn) resumedFrom = std::stoi(std::string(request["Last-Event-Id"]));
    for (const auto& part : stream) out += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
    return breaks ? out : out + "0\r\n\r\n";
  }

  asio::io_context io;
  tcp::acceptor acceptor;
  std::thread thread;
};

// A router's traffic side: table and executor; its news are given by the test.
struct Traffic {
  asio::io_context io;
  routing::Table table{"z0",
                       {0.2, 100, 1.5, 5, Millis(10000), Millis(1500), settings::defaultPolicy()},
                       1,
                       base::Clock::now() - Millis(60000)};
  proxy::Executor executor{io.get_executor(), table};
  tcp::acceptor acceptor{http::listen(io.get_executor(), {0x7f000001, 0}, "frontend")};
  std::thread thread;
  routing::RoutingSnapshot picture;
  std::uint64_t sequence = 0;

  explicit Traffic(const std::vector<Weighted*>& runners) {
    schema::View view;
    schema::Member m;
    m.role = static_cast<std::uint8_t>(membership::Role::Router);
    view.members = {m};
    routing::fold(picture, routing::ViewReceived{view});
    declare({});
    list(runners);
    table.setLease(base::Clock::now() + std::chrono::hours(1));
    for (int i = 0; i < 300; ++i)
      for (const auto* service : {"plain", "engine"}) table.arrived(service, base::Clock::now());
    asio::co_spawn(io, executor.accept(acceptor), asio::detached);
    thread = std::thread([this] { io.run(); });
  }
  ~Traffic() {
    io.stop();
    thread.join();
  }

  // The time that a request may take is no part of what is tested here: a busy machine must not decide it.
  static std::shared_ptr<const control::Configuration> configuration() {
    return std::make_shared<const control::Configuration>(std::get<0>(
        control::parseConfiguration(replaced(document(1, 60000), "\"timeoutMs\":1500", "\"timeoutMs\":60000"))));
  }
  void declare(std::vector<rollout::InForce> rollouts) {
    routing::fold(picture, routing::StateReceived{{1, ++sequence}, configuration(), {}, std::move(rollouts)});
    set();
  }
  void list(const std::vector<Weighted*>& runners) {
    std::vector<schema::RunnerEntry> entries;
    for (const auto* r : runners) entries.push_back(r->entry);
    routing::fold(picture, routing::RunnersReceived{{1, ++sequence}, entries, past()});
    set();
  }
  static base::TimePoint past() { return base::Clock::now() - Millis(30000); }
  void set() { table.setSnapshot(std::make_shared<const routing::RoutingSnapshot>(picture), past()); }

  // Sends a request and reads to the end of the connection.
  std::string get(const std::string& path, const std::string& more = "") {
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(acceptor.local_endpoint());
    asio::write(socket, asio::buffer("GET " + path +
                                     " HTTP/1.1\r\nHost: a.example\r\nIndigohill-Attempt-Id: abc\r\n"
                                     "Indigohill-Model: m\r\nConnection: close\r\n" +
                                     more + "\r\n"));
    std::string out;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(out), error);
    return out;
  }
};

}  // namespace indigohill::tests
