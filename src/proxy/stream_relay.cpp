// Streams: events of a runner's answer are passed to the client as they come.
#include <array>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>
#include <vector>

#include "proxy/exchange.hpp"
#include "proxy/executor.hpp"
#include "proxy/headers.hpp"
#include "rollout/versions.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;
using base::Verdict;

namespace {

constexpr std::size_t kEventMost = 1u << 20;

}  // namespace

bool Executor::mayChange(const Exchange& exchange, std::uint64_t from, std::uint64_t to) const {
  const auto picture = table_.snapshot();
  const auto found = picture->rollouts.find(exchange.service);
  return found != picture->rollouts.end() && found->second.allowsWithinStream(view(exchange.request[kModel]), from, to);
}

// A stream: each event is passed on as it comes, and only whole ones, so that another runner can take it up behind
// the last. The head goes out with the first event; until then another runner may still answer.
asio::awaitable<CallOutcome> Executor::relayEvents(Exchange& exchange, Connection& connection,
                                                   wire::response_parser<wire::buffer_body>& parser) {
  using End = CallOutcome::End;
  std::string text;
  const auto pass = [&](std::string events, bool last) -> asio::awaitable<bool> {
    text.clear();
    exchange.admission->begun(base::Clock::now() - exchange.sentAt);
    if (exchange.firstAt == base::TimePoint{}) exchange.firstAt = base::Clock::now();
    if (!exchange.started) {
      wire::response<wire::empty_body> head(parser.get().result(), 11);
      copyAnswerHead(parser.get(), head);
      head.keep_alive(keepAlive(exchange.request));
      head.chunked(true);
      exchange.keep = head.keep_alive();
      std::ostringstream lines;
      lines << head.base();
      text = std::move(lines).str();
      exchange.started = true;
    }
    // Head, chunk and last chunk leave in one write.
    std::vector<asio::const_buffer> parts{asio::buffer(text)};
    const auto chunk = wire::make_chunk(asio::buffer(events));
    if (!events.empty())
      for (auto it = asio::buffer_sequence_begin(chunk); it != asio::buffer_sequence_end(chunk); ++it)
        parts.push_back(*it);
    const auto end = wire::make_chunk_last();
    if (last)
      for (auto it = asio::buffer_sequence_begin(end); it != asio::buffer_sequence_end(end); ++it) parts.push_back(*it);
    // A client that does not read holds the runner up for as long as its deadline lasts.
    exchange.client.expires_at(exchange.deadline + Millis(500));
    auto [error, bytes] = co_await asio::async_write(exchange.client, parts, http::kTuple);
    co_return !error;
  };
  const auto may = [&](std::uint64_t from, std::uint64_t to) {
    const bool allowed = mayChange(exchange, from, to);
    exchange.versionChanged = exchange.versionChanged || allowed;
    return allowed;
  };
  std::array<char, 16384> part;
  const bool goesOn = exchange.started;
  bool firstEvents = true;
  // An empty body is whole with its head.
  if (parser.is_done() && !co_await pass({}, true)) co_return CallOutcome{End::ClientGone, Verdict::Ran, {}};
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    auto [error, bytes] = co_await wire::async_read_some(connection.stream, connection.buffer, parser, http::kTuple);
    const std::size_t got = part.size() - parser.get().body().size;
    const auto idBefore = exchange.events.lastId();
    auto whole = exchange.events.take({part.data(), got});
    // A runner that does not go on behind the last event would repeat what the client has.
    if (!whole.empty() && std::exchange(firstEvents, false) && goesOn && !goesOnBehind(whole, idBefore)) {
      exchange.events.passedOnly(idBefore, {});
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "the stream does not go on where it was broken off"};
    }
    if (const auto change = rollout::forbiddenChange(whole, exchange.version, may)) {
      // What came before the change is of one version and is passed on; from there on another runner of that version
      // may take the stream up, else it ends visibly.
      whole.resize(change->at);
      exchange.events.passedOnly(idBefore, whole);
      if (!whole.empty() && !co_await pass(std::move(whole), false))
        co_return CallOutcome{End::ClientGone, Verdict::Ran, {}};
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, kWeightsChange, change->told};
    }
    if (error && error != wire::error::need_buffer) {
      if (!whole.empty() && !co_await pass(std::move(whole), false))
        co_return CallOutcome{End::ClientGone, Verdict::Ran, {}};
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "the stream breaks off: " + error.message()};
    }
    if (exchange.events.waiting() > kEventMost)
      co_return CallOutcome{End::Fault, Verdict::MayHaveRun, "an event is too large"};
    const bool last = parser.is_done();
    if (last) {
      // The runner's body is whole: what is left of it is passed on even if no blank line ends it.
      if (const auto change = rollout::forbiddenChange(exchange.events.rest(), exchange.version, may)) {
        if (!whole.empty() && !co_await pass(std::move(whole), false))
          co_return CallOutcome{End::ClientGone, Verdict::Ran, {}};
        co_return CallOutcome{End::Fault, Verdict::MayHaveRun, kWeightsChange, change->told};
      }
      whole += exchange.events.rest();
      exchange.events.drop();
    }
    if ((last || !whole.empty()) && !co_await pass(std::move(whole), last))
      co_return CallOutcome{End::ClientGone, Verdict::Ran, {}};
  }
  co_return CallOutcome{End::Answered, Verdict::Ran, {}};
}

}  // namespace indigohill::proxy
