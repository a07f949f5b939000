#include "proxy/stream_relay.hpp"

#include <gsl/util>
#include <sstream>
#include <vector>

#include "http/answer_writer.hpp"
#include "http/await_room.hpp"
#include "proxy/chunks.hpp"
#include "proxy/headers.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace wire = http::wire;
namespace {

constexpr std::size_t kMaxEventBytes = 1u << 20;
}  // namespace

bool mayChangeVersion(const ProxyState& state, const Exchange& exchange, std::uint64_t from, std::uint64_t to) {
  const auto snapshot = state.table.snapshot();
  const auto found = snapshot->rollouts.find(exchange.service);
  return found != snapshot->rollouts.end() &&
         found->second.allowsWithinStream(view(exchange.request[kModel]), from, to);
}

asio::awaitable<AttemptOutcome> StreamRelay::run() {
  const auto released = gsl::finally([this] { exchange_.clientLimits.release(http::MemoryKind::Answer); });
  // An empty body is complete with its head.
  if (parser_.is_done()) {
    const bool passed = co_await pass(std::string(), true);
    co_return passed ? AttemptOutcome::answered() : AttemptOutcome::clientGone();
  }
  while (!parser_.is_done()) {
    const auto idBefore = exchange_.events.lastId();
    std::string events;
    const auto error = co_await read(events);
    if (!isContinued(events, idBefore)) {
      exchange_.events.rewind(idBefore, {});
      co_return AttemptOutcome::failed("the stream does not go on where it was broken off");
    }
    if (const auto change = forbiddenChangeIn(events)) {
      // What came before the change is of one version and is passed on; from there on another runner of that version
      // may resume the stream, else it ends visibly.
      events.resize(change->at);
      exchange_.events.rewind(idBefore, events);
      co_return co_await passThenFail(std::move(events), AttemptOutcome::failed(kWeightsChanged, change->reported));
    }
    if (error && error != wire::error::need_buffer)
      co_return co_await passThenFail(std::move(events),
                                      AttemptOutcome::failed("the stream breaks off: " + error.message()));
    if (exchange_.events.rest().size() > kMaxEventBytes) co_return AttemptOutcome::failed("an event is too large");
    const bool hasRoom = co_await holdEvents(events.size() + exchange_.events.rest().size());
    if (!hasRoom) co_return AttemptOutcome::failed("no memory for an event");
    const bool last = parser_.is_done();
    if (last) {
      // The runner's body is complete: what is left of it is passed on even if no blank line ends it.
      if (const auto change = forbiddenChangeIn(exchange_.events.rest()))
        co_return co_await passThenFail(std::move(events), AttemptOutcome::failed(kWeightsChanged, change->reported));
      events += exchange_.events.rest();
      exchange_.events.dropRest();
    }
    if (!last && events.empty()) continue;
    const bool passed = co_await pass(std::move(events), last);
    if (!passed) co_return AttemptOutcome::clientGone();
  }
  co_return AttemptOutcome::answered();
}

// Events up to the buffer's size are part of what a stream costs anyway.
asio::awaitable<bool> StreamRelay::holdEvents(std::size_t bytes) {
  const auto held = bytes <= 2 * buffer_.size() ? 0 : bytes;
  const auto room = exchange_.clientLimits.hold(http::MemoryKind::Answer, held, base::Clock::now());
  if (room == http::Room::Held) co_return true;
  co_return co_await http::awaitRoom(exchange_.clientLimits, http::MemoryKind::Answer, held);
}

// Reads some bytes; the complete events among them are in `events` then, also if an error comes with them.
asio::awaitable<boost::system::error_code> StreamRelay::read(std::string& events) {
  auto& body = parser_.get().body();
  body.data = buffer_.data();
  body.size = buffer_.size();
  auto [error, bytes] = co_await wire::async_read_some(connection_.stream, connection_.buffer, parser_, http::kTuple);
  events = exchange_.events.append({buffer_.data(), buffer_.size() - parser_.get().body().size});
  co_return error;
}

// A runner that does not resume after the last event would repeat what the client has.
bool StreamRelay::isContinued(const std::string& events, const std::string& idBefore) {
  if (events.empty() || !std::exchange(firstEvents_, false)) return true;
  return !resumes_ || continuesAfter(events, idBefore);
}

std::optional<rollout::Forbidden> StreamRelay::forbiddenChangeIn(const std::string& events) {
  return rollout::forbiddenChange(events, exchange_.version, [&](std::uint64_t from, std::uint64_t to) {
    const bool allowed = mayChangeVersion(state_, exchange_, from, to);
    exchange_.versionChanged = exchange_.versionChanged || allowed;
    return allowed;
  });
}

// The head of the response to the client, as it is sent before the first event.
std::string StreamRelay::startHead() {
  wire::response<wire::empty_body> head;
  copyResponseHead(parser_.get(), head);
  exchange_.keepAlive = state_.keepAlive(exchange_.request);
  head.keep_alive(exchange_.keepAlive);
  head.chunked(true);
  exchange_.started = true;
  std::ostringstream lines;
  lines << head.base();
  return std::move(lines).str();
}

// Sends events to the client, with the head before the first and the last chunk after the last, in one write. False
// when the client has gone.
asio::awaitable<bool> StreamRelay::pass(std::string events, bool last) {
  const auto now = base::Clock::now();
  exchange_.admission->onFirstToken(now - exchange_.sentAt);
  if (exchange_.firstEventAt == base::TimePoint{}) exchange_.firstEventAt = now;
  const std::string head = exchange_.started ? std::string() : startHead();
  std::vector<asio::const_buffer> parts{asio::buffer(head)};
  const auto chunk = wire::make_chunk(asio::buffer(events));
  if (!events.empty()) appendBuffers(parts, chunk);
  const auto end = wire::make_chunk_last();
  if (last) appendBuffers(parts, end);
  // A client that does not read holds the runner up for as long as its deadline lasts.
  exchange_.client.expires_at(exchange_.deadline + kWriteGrace);
  exchange_.clientLimits.beginAnswer(now);
  const auto error = co_await http::writeBytes(exchange_.client, parts, exchange_.clientLimits);
  co_return !error;
}

asio::awaitable<AttemptOutcome> StreamRelay::passThenFail(std::string events, AttemptOutcome failure) {
  if (!events.empty()) {
    const bool passed = co_await pass(std::move(events), false);
    if (!passed) co_return AttemptOutcome::clientGone();
  }
  co_return failure;
}

}  // namespace indigohill::proxy
