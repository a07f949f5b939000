#pragma once
#include <fmt/format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <list>
#include <sstream>
#include <string>
#include <thread>

#include "daemon.hpp"

// Clients that do not behave: many connections at once that send much and stop just short of their end.
namespace indigohill::tests {

// What each connection of a crowd sends: a beginning, then pieces until so many bytes have gone, then an end. Most
// leave the end out and stay open.
struct CrowdRequest {
  std::string begin, piece, end;
  std::size_t pieces = 0;
};

constexpr std::size_t kOneInSoManyEnds = 8;

inline std::string headOf(const std::string& target, const std::string& fields) {
  return "POST " + target + " HTTP/1.1\r\nHost: soak.example\r\nIndigohill-Attempt-Id: crowd\r\n" +
         "Indigohill-Time-Remaining: 5000\r\n" + fields + "\r\n";
}

inline std::string chunkOf(std::size_t bytes) {
  return fmt::format("{:x}\r\n", bytes) + std::string(bytes, 'c') + "\r\n";
}

constexpr std::size_t kLastBytes = 100;  // of a body with a length: what most leave out

// A body of about so many bytes with its length in front, sent in pieces.
inline CrowdRequest lengthRequest(const std::string& target, std::size_t bodyBytes, std::size_t pieceBytes) {
  const auto pieces = (bodyBytes - kLastBytes) / pieceBytes;
  const auto fields = "Content-Length: " + std::to_string(pieces * pieceBytes + kLastBytes) + "\r\n";
  return {headOf(target, fields), std::string(pieceBytes, 'b'), std::string(kLastBytes, 'e'), pieces};
}

// The same in chunks; `perPiece` of them are sent at once.
inline CrowdRequest chunkedRequest(const std::string& target, std::size_t bodyBytes, std::size_t chunkBytes,
                                   std::size_t perPiece) {
  std::string piece;
  for (std::size_t i = 0; i < perPiece; ++i) piece += chunkOf(chunkBytes);
  return {headOf(target, "Transfer-Encoding: chunked\r\n"), piece, "0\r\n\r\n", bodyBytes / (chunkBytes * perPiece)};
}

// A small chunked body with trailers of so many bytes.
inline CrowdRequest trailerRequest(const std::string& target, std::size_t trailerBytes) {
  const std::string line = "Fill: " + std::string(1000, 't') + "\r\n";
  return {headOf(target, "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n", line, "\r\n",
          trailerBytes / line.size()};
}

// A head that has begun.
inline CrowdRequest headRequest(const std::string& target) {
  return {"GET " + target + " HTTP/1.1\r\nHost: ", "", "", 0};
}

// How many bytes have arrived at connections of a listener and were not read yet.
inline std::size_t unreadBytes(const settings::Endpoint& at) {
  // Columns of the kernel's table: number, local address, remote address, state, tx_queue:rx_queue, ...
  std::ifstream table("/proc/net/tcp");
  const auto local = fmt::format("{:08X}:{:04X}", __builtin_bswap32(at.ip), at.port);
  std::size_t out = 0;
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string number, from, to, state, queues;
    columns >> number >> from >> to >> state >> queues;
    constexpr const char* kListening = "0A";  // there the column holds connections
    if (from != local || state == kListening) continue;
    out += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return out;
}

// So many connections; they stay open for the life of this object.
class Crowd {
 public:
  // Sends until each has sent what it is to send, or was closed, and until that has been read.
  Crowd(const settings::Endpoint& to, std::size_t connections, const CrowdRequest& request) : request_(request) {
    for (std::size_t i = 0; i < connections; ++i) {
      auto& stream = streams_.emplace_back(io_);
      boost::asio::co_spawn(io_, send(stream, to, i % kOneInSoManyEnds == 0), boost::asio::detached);
    }
    io_.run();
    const auto until = base::Clock::now() + kPatience;
    while (unreadBytes(to) > 0 && base::Clock::now() < until) std::this_thread::yield();
  }

 private:
  http::asio::awaitable<void> send(http::beast::tcp_stream& stream, settings::Endpoint to, bool ends) {
    stream.expires_after(kPatience);
    auto [refused] = co_await stream.async_connect(http::tcpEndpoint(to), http::kTuple);
    if (refused) co_return;
    auto [error, bytes] = co_await http::asio::async_write(stream, http::asio::buffer(request_.begin), http::kTuple);
    for (std::size_t i = 0; i < request_.pieces && !error; ++i) {
      auto [closed, sent] = co_await http::asio::async_write(stream, http::asio::buffer(request_.piece), http::kTuple);
      error = closed;
    }
    if (!error && ends) co_await http::asio::async_write(stream, http::asio::buffer(request_.end), http::kTuple);
    stream.expires_never();
  }

  const CrowdRequest request_;
  http::asio::io_context io_;
  std::list<http::beast::tcp_stream> streams_;
};

// The status of the answer to one request on a connection of its own; 0: none.
inline unsigned statusOf(const settings::Endpoint& to, http::wire::verb verb, const std::string& target,
                         const std::string& body = {}) {
  http::asio::io_context io;
  http::beast::tcp_stream stream(io);
  http::Request request(verb, target, 11);
  request.set(http::wire::field::host, "soak.example");
  request.set("Indigohill-Attempt-Id", "ordinary");
  request.set("Indigohill-Time-Remaining", "10000");
  request.body() = body;
  request.prepare_payload();
  boost::system::error_code error;
  http::Response response;
  stream.connect(http::tcpEndpoint(to), error);
  if (!error) http::wire::write(stream, request, error);
  http::beast::flat_buffer buffer;
  if (!error) http::wire::read(stream, buffer, response, error);
  return error ? 0 : response.result_int();
}

}  // namespace indigohill::tests
