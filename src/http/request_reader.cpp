#include "http/request_reader.hpp"

#include <algorithm>
#include <string>

#include "http/await_room.hpp"

namespace indigohill::http {

namespace {

// Buffers and heads up to this size are part of what a connection costs anyway.
constexpr std::size_t kSmallBufferBytes = 8192, kSmallHeadBytes = 8192;
constexpr std::size_t kReadBytes = 8192;
// What the parser allocates for a field beside its text.
constexpr std::size_t kBytesPerField = 96;

std::uint64_t beyond(std::size_t bytes, std::size_t small) { return bytes > small ? bytes : 0; }

std::uint64_t bufferBytes(const beast::flat_buffer& buffer) { return beyond(buffer.capacity(), kSmallBufferBytes); }

std::uint64_t headBytes(const wire::request_header<>& head) {
  std::size_t out = head.method_string().size() + head.target().size();
  for (const auto& field : head) out += kBytesPerField + field.name_string().size() + field.value().size();
  return beyond(out, kSmallHeadBytes);
}

// The request is given up. What it took is free at once, not only once its client has been told: many may be told at a
// time.
ReadResult refuse(beast::flat_buffer& buffer, RequestParser& parser, ResourceLimiter::Connection& connection) {
  parser.get().clear();
  std::string().swap(parser.get().body());
  buffer.clear();
  buffer.shrink_to_fit();
  releaseRequest(buffer, connection);
  connection.onBodyRefused();
  return {ReadEnd::NoRoom, {}};
}

// Reads some bytes behind those that the buffer holds.
asio::awaitable<ReadResult> readSome(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                     ResourceLimiter::Connection& connection) {
  const auto room = buffer.max_size() - buffer.size();
  if (room == 0) co_return ReadResult{ReadEnd::Failed, wire::make_error_code(wire::error::buffer_overflow)};
  connection.beginWait(base::Clock::now());
  auto [error, bytes] = co_await stream.async_read_some(buffer.prepare(std::min(room, kReadBytes)), kTuple);
  const bool evicted = connection.endWait(error.failed());
  if (evicted) co_return ReadResult{ReadEnd::Evicted, {}};
  if (error) co_return ReadResult{ReadEnd::Failed, error};
  buffer.commit(bytes);
  co_return ReadResult{ReadEnd::Complete, {}};
}

// Parses what the buffer holds as far as that goes. By hand and not within a read: what it takes is counted before the
// next connection's bytes are parsed, however many come at once.
boost::system::error_code parse(beast::flat_buffer& buffer, RequestParser& parser) {
  boost::system::error_code error;
  if (buffer.size() > 0) buffer.consume(parser.put(buffer.data(), error));
  if (error == wire::error::need_more) error = {};
  return error;
}

}  // namespace

asio::awaitable<ReadResult> readHead(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                     ResourceLimiter::Connection& connection) {
  parser.eager(false);
  for (;;) {
    if (const auto error = parse(buffer, parser)) co_return ReadResult{ReadEnd::Failed, error};
    // Fields are kept from when their line has come.
    const bool hasRoom = co_await awaitRoom(connection, MemoryKind::Head, headBytes(parser.get()));
    if (!hasRoom) co_return refuse(buffer, parser, connection);
    if (parser.is_header_done()) co_return ReadResult{ReadEnd::Complete, {}};
    const bool hasBuffer = co_await awaitRoom(connection, MemoryKind::Buffer, bufferBytes(buffer));
    if (!hasBuffer) co_return refuse(buffer, parser, connection);
    const auto read = co_await readSome(stream, buffer, connection);
    if (read.end != ReadEnd::Complete) co_return read;
  }
}

asio::awaitable<ReadResult> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                                     ResourceLimiter::Connection& connection) {
  parser.eager(true);
  for (;;) {
    if (const auto error = parse(buffer, parser)) co_return ReadResult{ReadEnd::Failed, error};
    const auto size = parser.get().body().size();
    const bool hasRoom = co_await awaitRoom(connection.holdBody(size, base::Clock::now()),
                                            [&] { return connection.holdBody(size, base::Clock::now()); });
    if (!hasRoom) co_return refuse(buffer, parser, connection);
    if (parser.is_done()) break;
    const bool hasBuffer = co_await awaitRoom(connection, MemoryKind::Buffer, bufferBytes(buffer));
    if (!hasBuffer) co_return refuse(buffer, parser, connection);
    const auto read = co_await readSome(stream, buffer, connection);
    if (read.end == ReadEnd::Evicted) co_return refuse(buffer, parser, connection);
    if (read.end != ReadEnd::Complete) co_return read;
  }
  // With the fields that follow a chunked body.
  const bool hasRoom = co_await awaitRoom(connection, MemoryKind::Head, headBytes(parser.get()));
  if (!hasRoom) co_return refuse(buffer, parser, connection);
  co_return ReadResult{ReadEnd::Complete, {}};
}

void releaseRequest(beast::flat_buffer& buffer, ResourceLimiter::Connection& connection) {
  connection.release(MemoryKind::Head);
  connection.release(MemoryKind::Body);
  if (buffer.capacity() > kSmallBufferBytes && buffer.size() <= kSmallBufferBytes) buffer.shrink_to_fit();
  connection.hold(MemoryKind::Buffer, bufferBytes(buffer), base::Clock::now());
}

std::optional<int> statusOf(const boost::system::error_code& error) {
  if (error == wire::error::header_limit || error == wire::error::buffer_overflow) return 431;
  if (error == wire::error::body_limit) return 413;
  if (malformed(error)) return 400;
  return std::nullopt;
}

}  // namespace indigohill::http
