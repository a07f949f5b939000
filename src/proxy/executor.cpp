#include "proxy/executor.hpp"

#include <array>
#include <boost/algorithm/string.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <gsl/util>
#include <sstream>

#include "base/hash.hpp"
#include "base/log.hpp"
#include "proxy/answer_head.hpp"
#include "proxy/socket_timer.hpp"
#include "rollout/versions.hpp"

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;
using base::Verdict;

namespace {

constexpr const char* kAttemptId = "Indigohill-Attempt-Id";
constexpr const char* kTimeRemaining = "Indigohill-Time-Remaining";
constexpr const char* kTarget = "Indigohill-Target-Instance";
constexpr const char* kSeal = "Indigohill-Response-Seal";
constexpr const char* kNotExecuted = "Indigohill-Not-Executed";
constexpr const char* kLoad = "Indigohill-Instance-Load";
constexpr const char* kPrompt = "Indigohill-Prompt-Prefix";
constexpr const char* kUsage = "Indigohill-Token-Usage";
constexpr const char* kLastEventId = "Last-Event-Id";
constexpr const char* kModel = "Indigohill-Model";
constexpr const char* kExpectedVersion = "Indigohill-Expected-Version";
constexpr const char* kWeightVersions = "Indigohill-Weight-Versions";

constexpr const char* kChanges = "the weights change within the stream";

constexpr std::size_t kBodyBuffered = 32u << 20;
constexpr std::size_t kEventMost = 1u << 20;
constexpr int kInterimMost = 16;  // 1xx answers before a final one
constexpr Millis kRunnerIdle{60000};
constexpr Millis kSilenceLook{100};
constexpr Millis kAimUnknown{1000};
constexpr Millis kFirstNews{600};  // how long a request waits for the first configuration and runners of a process

template <class T>
T number(std::string_view text, T fallback) {
  T out{};
  const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && at == text.data() + text.size() ? out : fallback;
}

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// Heads of answers are copied by this list: what a runner may tell a client, and nothing that concerns a connection.
constexpr std::array kAnswerHeads{"Content-Type",
                                  "Content-Language",
                                  "Content-Encoding",
                                  "Content-Disposition",
                                  "Content-Range",
                                  "Cache-Control",
                                  "ETag",
                                  "Expires",
                                  "Last-Modified",
                                  "Location",
                                  "Vary",
                                  "Date",
                                  "Set-Cookie",
                                  "Retry-After",
                                  "Accept-Ranges",
                                  "WWW-Authenticate",
                                  "X-Request-Id",
                                  kAttemptId,
                                  kSeal,
                                  kLoad,
                                  "Indigohill-Instance-Id",
                                  kWeightVersions,
                                  "Indigohill-Token-Usage"};

bool concernsConnection(const wire::fields::value_type& field, const std::vector<std::string>& named) {
  switch (field.name()) {
    case wire::field::connection:
    case wire::field::keep_alive:
    case wire::field::proxy_connection:
    case wire::field::proxy_authenticate:
    case wire::field::proxy_authorization:
    case wire::field::te:
    case wire::field::trailer:
    case wire::field::transfer_encoding:
    case wire::field::upgrade:
    case wire::field::expect:
    case wire::field::content_length:
      return true;
    default:
      break;
  }
  for (const auto& name : named)
    if (beast::iequals(name, field.name_string())) return true;
  return false;
}

Millis idleOf(const wire::fields& head) {
  const auto text = view(head[wire::field::keep_alive]);
  const auto at = text.find("timeout=");
  if (at == std::string_view::npos) return kRunnerIdle;
  auto rest = text.substr(at + 8);
  rest = rest.substr(0, rest.find_first_not_of("0123456789"));
  // A second early: the runner must not close it just as the next request is on its way.
  return std::max(Millis(0), Millis(1000 * number<std::int64_t>(rest, 60) - 1000));
}

// Bounds a read without closing the connection, which the stream's own time-out would: the client is still to be
// told 408.
class Bound {
 public:
  Bound(beast::tcp_stream& stream, Millis limit)
      : timer_(stream.get_executor(), limit), state_(std::make_shared<State>()) {
    stream.expires_never();
    state_->stream = &stream;
    timer_.async_wait([state = state_](boost::system::error_code error) {
      if (error || state->stream == nullptr) return;
      state->fired = true;
      state->stream->cancel();
    });
  }
  ~Bound() { state_->stream = nullptr; }
  Bound(const Bound&) = delete;
  Bound& operator=(const Bound&) = delete;
  bool fired() const { return state_->fired; }

 private:
  struct State {
    beast::tcp_stream* stream = nullptr;
    bool fired = false;
  };
  asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

// Watches over a runner that is silent. When the aim has passed without a first byte, others are told. A request that
// may run again is taken away from a runner once the routers together hold it to be ill; silence by itself is no
// reason.
class SilenceWatch {
 public:
  SilenceWatch(asio::any_io_executor strand, routing::Table& table, std::string instanceId, Connection& connection,
               Millis aim, bool repeatable)
      : state_(std::make_shared<State>(std::move(strand), table, std::move(instanceId), connection, repeatable)) {
    wait(state_, aim);
  }
  ~SilenceWatch() { end(); }
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;
  void end() {
    state_->connection = nullptr;
    state_->timer.cancel();
  }
  bool tookAway() const { return state_->tookAway; }
  bool late() const { return state_->told; }

 private:
  struct State {
    State(asio::any_io_executor strand, routing::Table& t, std::string id, Connection& c, bool r)
        : timer(std::move(strand)), table(t), instanceId(std::move(id)), connection(&c), repeatable(r) {}
    asio::steady_timer timer;
    routing::Table& table;
    std::string instanceId;
    Connection* connection;
    bool repeatable, told = false, tookAway = false;
  };
  static void wait(const std::shared_ptr<State>& state, Millis span) {
    state->timer.expires_after(span);
    state->timer.async_wait([state](boost::system::error_code error) {
      if (error || state->connection == nullptr) return;
      const auto now = base::Clock::now();
      if (!std::exchange(state->told, true)) state->table.late(state->instanceId, now);
      if (!state->repeatable) return;
      if (state->table.suspended(state->instanceId, now)) {
        state->tookAway = true;
        boost::system::error_code ignored;
        state->connection->stream.socket().close(ignored);
      } else {
        wait(state, kSilenceLook);
      }
    });
  }
  std::shared_ptr<State> state_;
};

// The parser adds the fields that follow a chunked body to those of the head, after the head was checked. Nothing that
// stands there is passed on, so it can change neither the length, the id nor the host of a request.
class TrailerFilter {
 public:
  explicit TrailerFilter(const wire::request_parser<wire::string_body>& parser) {
    if (!parser.chunked()) return;
    for (const auto& field : parser.get()) head_.push_back(&field);
  }
  void remove(wire::request_parser<wire::string_body>& parser) const {
    if (!parser.chunked()) return;
    auto& fields = parser.get();
    for (auto field = fields.begin(); field != fields.end();) {
      const bool isOfHead = std::find(head_.begin(), head_.end(), &*field) != head_.end();
      field = isOfHead ? std::next(field) : fields.erase(field);
    }
  }

 private:
  std::vector<const wire::fields::value_type*> head_;
};

// Reads an answer to its end without keeping it; false if it breaks off.
asio::awaitable<bool> skipBody(Connection& connection, wire::response_parser<wire::buffer_body>& parser) {
  std::array<char, 4096> waste;
  while (!parser.is_done()) {
    parser.get().body().data = waste.data();
    parser.get().body().size = waste.size();
    auto [error, bytes] = co_await wire::async_read_some(connection.stream, connection.buffer, parser, http::kTuple);
    if (error && error != wire::error::need_buffer) co_return false;
  }
  co_return true;
}

}  // namespace

// One request under way and what the client has of its answer.
struct Executor::Exchange {
  beast::tcp_stream& client;
  const http::Request& request;
  const control::Route& route;
  std::string attemptId;
  std::string service;
  base::TimePoint deadline;
  bool stream = false;   // answered as events come
  bool started = false;  // the client has bytes of the answer
  bool keep = true;      // the client's connection can be used further
  EventCutter events;
  std::string resumeFrom;                 // Last-Event-Id for the next runner
  base::TimePoint firstAt{};              // when the first event left
  base::TimePoint sentAt{};               // when it went to the runner that has it now
  routing::Admission* taking = nullptr;   // the place at the runner that has it now
  std::optional<http::Response> failure;  // a runner's own 5xx, passed on if no other runner does better
  // Weights of the runner that the stream's events come from, as its answers tell; and what is expected of this try.
  std::optional<std::uint64_t> version, expected;
  bool versionChanged = false;  // within the stream, as the record allows
};

struct Executor::Outcome {
  enum class End {
    Answered,    // the client has its whole answer
    ClientGone,  // nobody to answer any more
    Refused,     // the runner said that it did not run it
    Unreached,   // no connection to it came about
    Fault        // the runner broke off; `verdict` says whether it may have run
  } end = End::Fault;
  Verdict verdict = Verdict::MayHaveRun;
  std::string what;
  std::optional<rollout::Told> otherVersion{};  // what the runner told instead of what it should have been
};

http::Request forRunner(const http::Request& in, const std::string& instanceId, Millis left,
                        const std::string& lastEventId, std::optional<std::uint64_t> expectedVersion) {
  http::Request out;
  out.version(11);
  out.method_string(in.method_string());
  out.target(in.target());
  std::vector<std::string> named;
  for (const auto& token : wire::token_list(in[wire::field::connection])) named.emplace_back(token);
  for (const auto& field : in)
    if (!concernsConnection(field, named)) out.insert(field.name(), field.name_string(), field.value());
  out.set(kTimeRemaining, std::to_string(std::max<std::int64_t>(0, left.count())));
  out.set(kTarget, instanceId);
  if (!lastEventId.empty()) out.set(kLastEventId, lastEventId);
  if (expectedVersion && in.count(kExpectedVersion) == 0) out.set(kExpectedVersion, std::to_string(*expectedVersion));
  out.body() = in.body();
  const bool bodiless = in.body().empty() && !in.has_content_length() && !in.chunked();
  if (!bodiless) out.content_length(out.body().size());
  return out;
}

void copyAnswerHead(const wire::fields& from, wire::fields& to) {
  for (const auto* name : kAnswerHeads) {
    const auto range = from.equal_range(name);
    for (auto it = range.first; it != range.second; ++it) to.insert(it->name(), it->name_string(), it->value());
  }
}

asio::awaitable<void> Executor::accept(http::tcp::acceptor& acceptor) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor_), http::kTuple);
    if (!acceptor.is_open()) co_return;
    if (error) {
      asio::steady_timer pause(executor_, Millis(50));
      co_await pause.async_wait(http::kTuple);
      continue;
    }
    auto strand = socket.get_executor();
    asio::co_spawn(strand, session(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Executor::session(http::tcp::socket socket) {
  http::tune(socket, Millis(10000));
  beast::tcp_stream client(std::move(socket));
  beast::flat_buffer buffer;
  const auto simple = [&](int status, std::string text) -> asio::awaitable<void> {
    http::Response out(static_cast<wire::status>(status), 11);
    out.set(wire::field::content_type, "text/plain");
    out.keep_alive(false);
    out.body() = std::move(text);
    out.prepare_payload();
    client.expires_after(Millis(2000));
    co_await wire::async_write(client, out, http::kTuple);
  };
  for (;;) {
    const auto picture = table_.picture();
    const auto limits = picture->configuration ? picture->configuration->limits : control::Limits{};
    if (buffer.size() == 0) {
      client.expires_after(limits.idleTimeout);
      auto [error, bytes] = co_await client.async_read_some(buffer.prepare(8192), http::kTuple);
      if (error) break;
      buffer.commit(bytes);
    }
    wire::request_parser<wire::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(std::min<std::uint64_t>(limits.maxHeaderBytes, 1u << 20)));
    parser.body_limit(limits.maxBodyBytes);
    boost::system::error_code headError;
    bool headLate = false;
    {
      const Bound bound(client, limits.headerTimeout);
      auto [error, bytes] = co_await wire::async_read_header(client, buffer, parser, http::kTuple);
      headError = error;
      headLate = bound.fired();
    }
    if (headError) {
      if (headLate)
        co_await simple(408, "the head took too long");
      else if (headError == wire::error::header_limit || headError == wire::error::buffer_overflow)
        co_await simple(431, "the head is too large");
      else if (headError == wire::error::body_limit)
        co_await simple(413, "the body is too large");
      else if (http::malformed(headError))
        co_await simple(400, "the head is not HTTP: " + headError.message());
      break;
    }
    const auto& head = parser.get();
    // Anything that another reader of the same bytes might frame differently is turned away.
    const auto transfer = head[wire::field::transfer_encoding];
    if (head.count(wire::field::transfer_encoding) > 1 || (!transfer.empty() && !beast::iequals(transfer, "chunked")) ||
        head.count(wire::field::content_length) > 1 ||
        (!transfer.empty() && head.count(wire::field::content_length) > 0)) {
      co_await simple(400, "the length of the body is not clear");
      break;
    }
    if (head.count(wire::field::host) != 1 && head.version() >= 11) {
      co_await simple(400, "one Host is wanted");
      break;
    }
    if (head.count(kAttemptId) > 1) {
      co_await simple(400, "one attempt id is wanted");
      break;
    }
    if (beast::iequals(head[wire::field::expect], "100-continue")) {
      static constexpr std::string_view go = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(client, asio::buffer(go), http::kTuple);
    }
    if (!parser.is_done()) {
      const TrailerFilter trailers(parser);
      const Bound bound(client, std::max(limits.headerTimeout, limits.idleTimeout));
      auto [error, bytes] = co_await wire::async_read(client, buffer, parser, http::kTuple);
      if (error) {
        if (error == wire::error::body_limit)
          co_await simple(413, "the body is too large");
        else if (bound.fired())
          co_await simple(408, "the body took too long");
        else if (http::malformed(error))
          co_await simple(400, "the body is not HTTP: " + error.message());
        break;
      }
      trailers.remove(parser);
    }
    auto request = parser.release();
    ++counters_.requests;
    ++counters_.active;
    const auto served = gsl::finally([this] { --counters_.active; });
    const bool keep = co_await serve(client, request, base::Clock::now());
    if (!keep) break;
  }
  boost::system::error_code ignored;
  client.socket().shutdown(http::tcp::socket::shutdown_send, ignored);
  // What the client still sends is read for a moment: closing with unread bytes would reset the answer away.
  client.expires_after(Millis(500));
  std::array<char, 1024> rest;
  for (;;) {
    auto [error, bytes] = co_await client.async_read_some(asio::buffer(rest), http::kTuple);
    if (error) break;
  }
}

asio::awaitable<bool> Executor::reply(Exchange& x, int status, std::string body, double retryAfterS) {
  http::Response out(static_cast<wire::status>(status), 11);
  out.set(wire::field::content_type, "text/plain");
  if (!x.attemptId.empty()) out.set(kAttemptId, x.attemptId);
  if (retryAfterS > 0) out.set(wire::field::retry_after, fmt::format("{:.2f}", retryAfterS));
  out.keep_alive(keepAlive(x.request));
  out.body() = std::move(body);
  out.prepare_payload();
  // An answer to HEAD tells the length of a body that does not follow.
  if (x.request.method() == wire::verb::head) out.body().clear();
  x.client.expires_after(Millis(5000));
  auto [error, bytes] = co_await wire::async_write(x.client, out, http::kTuple);
  co_return !error && out.keep_alive();
}

asio::awaitable<bool> Executor::serve(beast::tcp_stream& client, http::Request& request, base::TimePoint arrivedAt) {
  auto picture = table_.picture();
  const Millis told(
      std::clamp<std::int64_t>(number<std::int64_t>(view(request[kTimeRemaining]), 86'400'000), 0, 86'400'000));
  // Just started: a configuration and runners come within moments, and a request that waits for them is served sooner
  // than one that is sent away. Bounded, so that a client sent away has most of its time left.
  const auto patience = arrivedAt + std::min(kFirstNews, told / 4);
  while ((!picture->configuration || !picture->hasRunners) && base::Clock::now() < patience) {
    if (!co_await waitlist_.wait(0, std::min(patience, base::Clock::now() + Millis(50)))) break;
    picture = table_.picture();
  }
  const auto* route = picture->route(view(request[wire::field::host]), view(request.target()));
  static const control::Route kNoRoute;
  Exchange x{client,
             request,
             route != nullptr ? *route : kNoRoute,
             std::string(request[kAttemptId]),
             {},
             {},
             false,
             false,
             true,
             {},
             {},
             {},
             {},
             nullptr,
             {},
             {},
             {}};
  if (!picture->configuration) co_return co_await reply(x, 503, "no configuration yet", 0.5);
  if (route == nullptr) co_return co_await reply(x, 404, "no route");

  // The client's time, capped by what the operator wants a request held.
  x.deadline = arrivedAt + std::min(route->timeout, told);
  x.stream =
      route->type == control::RouteType::Streaming && request.version() >= 11 && request.method() != wire::verb::head;
  x.resumeFrom = std::string(request[kLastEventId]);

  routing::RoutingPolicy conduct(table_, *route, x.attemptId, arrivedAt, x.deadline);
  conduct.asked().prompt = parsePrompt(view(request[kPrompt]));
  conduct.asked().model = base::hash(view(request[kModel]));
  const auto usage = view(request[kUsage]);
  conduct.asked().promptTokens = number<std::uint32_t>(usage.substr(0, usage.find(',')), 0);
  conduct.asked().modelName = std::string(request[kModel]);
  x.service = conduct.asked().service;
  conduct.arrived(arrivedAt);

  std::optional<routing::Ending> ending;
  while (!ending) {
    const auto now = base::Clock::now();
    auto next = conduct.next(now);
    if (auto* end = std::get_if<routing::Ending>(&next)) {
      ending = std::move(*end);
      break;
    }
    if (const auto* wait = std::get_if<routing::Wait>(&next)) {
      // Woken when a place comes free; looked at again anyway, since a cold runner's rate fills with time alone.
      if (!co_await waitlist_.wait(route->priority, std::min(wait->until, now + Millis(25))))
        ending = conduct.ending(now);
      continue;
    }
    auto& to = std::get<routing::PassTo>(next);
    if (conduct.asked().tries > 1) ++(x.started ? counters_.resumed : counters_.retried);
    x.taking = &to.taking;
    x.sentAt = now;
    // A client that names a version is taken at its word.
    const auto wanted = view(request[kExpectedVersion]);
    x.expected = wanted.empty() ? to.expectedVersion : rollout::parseVersions(wanted).version;
    const auto outcome = co_await attempt(x, to);
    to.taking.release();
    waitlist_.wake();
    if (outcome.end == Outcome::End::Answered) {
      ++counters_.passed;
      record(x, arrivedAt, 200, conduct.asked().tries);
      co_return x.keep&& keepAlive(request);
    }
    if (outcome.end == Outcome::End::ClientGone) co_return false;
    const auto after = base::Clock::now();
    const bool more = outcome.end == Outcome::End::Unreached ? conduct.unreached({outcome.verdict, outcome.what}, after)
                                                             : conduct.again({outcome.verdict, outcome.what}, x.started,
                                                                             !x.events.lastId().empty(), after);
    if (!more) ending = conduct.ending(after);
    if (!x.events.lastId().empty()) x.resumeFrom = x.events.lastId();
    x.events.drop();
    // One answer is of one snapshot: a stream that has begun goes on where it came from, or at its like. Where the
    // answer's version is not the listed one, the version alone says what its like is.
    if (x.started && !conduct.asked().snapshot && !conduct.asked().version) {
      const auto listed = to.snapshot.version(conduct.asked().modelName);
      if (!x.version || (!x.versionChanged && listed == x.version)) conduct.asked().snapshot = to.snapshot;
    }
    if (x.started) {
      if (x.versionChanged) conduct.asked().snapshot.reset();
      conduct.asked().version = x.version;
    }
  }

  record(x, arrivedAt, ending->status, conduct.asked().tries);
  if (ending->cut) {
    // Cut visibly: without the last chunk, nobody takes this for a whole answer.
    ++counters_.cut;
    spdlog::debug("stream {} cut: {}", x.attemptId, ending->why);
    boost::system::error_code ignored;
    client.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    client.close();
    co_return false;
  }
  if (x.failure) {
    ++counters_.failed;
    x.client.expires_after(Millis(10000));
    auto [error, bytes] = co_await wire::async_write(client, *x.failure, http::kTuple);
    co_return !error && x.failure->keep_alive();
  }
  ++(ending->status == 503 ? counters_.shed : counters_.failed);
  spdlog::debug("request {} ends with {}: {}", x.attemptId, ending->status, ending->why);
  co_return co_await reply(x, ending->status, ending->why, ending->retryAfterS);
}

// One line for each request that was routed, in the form that `indigohill replay` reads.
void Executor::record(const Exchange& x, base::TimePoint arrivedAt, int status, std::uint32_t tries) const {
  if (!trafficLog_) return;
  const auto now = base::Clock::now();
  const auto since = [&](base::TimePoint at) {
    return at == base::TimePoint{} ? -1 : std::chrono::duration_cast<Millis>(at - arrivedAt).count();
  };
  const auto text = [&](const char* name) { return base::quoted(view(x.request[name])); };
  trafficLog_->info(
      R"({{"kind":"request","atMs":{},"host":{},"path":{},"id":{},"leftMs":{},"prompt":{},"tokens":{},"status":{},"tries":{},"firstMs":{},"totalMs":{}}})",
      base::toMs(arrivedAt), text("Host"), base::quoted(view(x.request.target())), base::quoted(x.attemptId),
      std::chrono::duration_cast<Millis>(x.deadline - arrivedAt).count(), text(kPrompt), text(kUsage), status, tries,
      since(x.firstAt), since(now));
}

asio::awaitable<Executor::Outcome> Executor::attempt(Exchange& x, routing::PassTo& to) {
  using End = Outcome::End;
  auto taken = co_await pool_.take(x.service, to.instanceId, to.address, x.route.repeatable(), x.deadline);
  if (const auto* bad = base::errorIn(taken)) {
    table_.mark(to.instanceId, routing::Mark::Fault, base::Clock::now());
    co_return Outcome{End::Unreached, Verdict::NotRun, bad->what};
  }
  auto connection = std::get<0>(std::move(taken));
  auto& stream = connection->stream;
  const auto strand = co_await asio::this_coro::executor;
  SocketTimer deadline(strand, stream.socket(), x.deadline);
  const auto left = std::chrono::duration_cast<Millis>(x.deadline - base::Clock::now());
  if (left.count() <= 0) co_return Outcome{End::Fault, Verdict::NotRun, "out of time"};
  const auto outgoing = forRunner(x.request, to.instanceId, left, x.resumeFrom, x.expected);
  // A reset on a reused connection before any byte of an answer: the runner had forgotten it, which is no fault of its
  // health. Whether it has read the request is not known all the same.
  const auto failed = [&](const boost::system::error_code& error, bool answered) {
    if (deadline.expired()) return;
    if (connection->reused && !answered && error != asio::error::operation_aborted)
      pool_.reused(x.service, *connection, true);
    else
      table_.mark(to.instanceId, routing::Mark::Fault, base::Clock::now());
  };
  auto [writeError, written] = co_await wire::async_write(stream, outgoing, http::kTuple);
  // A runner may have turned the request away before all of it was sent, and closed: its answer is still to be read.
  if (writeError && deadline.expired())
    co_return Outcome{End::Fault, Verdict::MayHaveRun, "sending: " + writeError.message()};

  const auto aim = x.route.targetLatency.count() > 0 ? x.route.targetLatency : kAimUnknown;
  SilenceWatch watch(strand, table_, to.instanceId, *connection, aim,
                     x.route.repeatable() && (!x.started || !x.resumeFrom.empty()));
  std::unique_ptr<wire::response_parser<wire::buffer_body>> parser;
  bool strayed = false;
  for (int interim = 0;;) {
    parser = std::make_unique<wire::response_parser<wire::buffer_body>>();
    parser->body_limit(boost::none);
    if (x.request.method() == wire::verb::head) parser->skip(true);
    auto [error, bytes] = co_await wire::async_read_header(stream, connection->buffer, *parser, http::kTuple);
    if (error) {
      if (watch.tookAway()) co_return Outcome{End::Fault, Verdict::MayHaveRun, "silent, and held to be ill"};
      failed(error, bytes > 0 || connection->buffer.size() > 0);
      co_return Outcome{End::Fault, Verdict::MayHaveRun,
                        writeError ? "sending: " + writeError.message() : "waiting for the answer: " + error.message()};
    }
    const auto owner = ownerOfAnswer(parser->get(), x.attemptId, connection->reused || strayed);
    if (owner == AnswerOwner::ThisRequest) break;
    if (owner == AnswerOwner::Interim && ++interim <= kInterimMost) continue;
    // The late answer to another request, in the place of this one's: read past once; the connection is not used
    // again afterwards.
    const bool first = owner == AnswerOwner::OtherRequest && !std::exchange(strayed, true);
    if (!first || !co_await skipBody(*connection, *parser)) {
      table_.mark(to.instanceId, routing::Mark::Fault, base::Clock::now());
      co_return Outcome{End::Fault, Verdict::MayHaveRun, "no answer to this request"};
    }
  }
  watch.end();
  if (connection->reused) pool_.reused(x.service, *connection, false);
  const auto& head = parser->get();
  const auto status = static_cast<int>(head.result_int());
  if (const auto load = view(head[kLoad]); !load.empty()) {
    const auto first = load.find(','), second = load.find(',', first == std::string_view::npos ? first : first + 1);
    if (second != std::string_view::npos)
      table_.load(to.instanceId, number<std::uint32_t>(load.substr(0, first), 0),
                  number<std::uint32_t>(load.substr(first + 1, second - first - 1), 0),
                  number<std::uint32_t>(load.substr(second + 1), 0), base::Clock::now());
  }
  // Parts of prompts that were kept are of the weights they were computed with.
  const auto weights = view(head[kWeightVersions]);
  const auto told = rollout::parseVersions(weights);
  if (!weights.empty())
    table_.weights(to.instanceId, base::hash(view(x.request[kModel])),
                   told.version && !told.mixed ? *told.version : base::hash(weights));
  const bool notRun = head.count(kNotExecuted) > 0 || status == 421;
  if (!notRun && status < 500 && !watch.late()) table_.inTime(to.instanceId, base::Clock::now());
  const bool otherVersion = x.expected && told.otherThan(*x.expected);
  const bool echoes = view(head[kAttemptId]) == x.attemptId && !x.attemptId.empty();
  Outcome outcome;
  const auto idle = idleOf(head);
  const bool reusable = head.keep_alive() && !strayed && !writeError;
  if (writeError && !notRun) {
    failed(writeError, true);
    co_return Outcome{End::Fault, Verdict::MayHaveRun, "sending: " + writeError.message()};
  }
  if (notRun) {
    // One that has other weights by now is well, so it is no evidence of illness. What a client alone wished for tells
    // nothing about the runner's entry in the list.
    const bool otherWeights = status == 421 && x.expected;
    table_.mark(to.instanceId, otherWeights ? routing::Mark::Good : routing::Mark::Refused, base::Clock::now());
    if (otherWeights && x.expected == to.expectedVersion) table_.turnedAway(to.instanceId, base::Clock::now());
    outcome = {End::Refused, Verdict::NotRun, "turned away with " + std::to_string(status)};
    if (!co_await skipBody(*connection, *parser)) co_return outcome;
  } else if (status < 300 && (!echoes || head.count(kSeal) == 0)) {
    table_.mark(to.instanceId, routing::Mark::Fault, base::Clock::now());
    co_return Outcome{End::Fault, Verdict::MayHaveRun, "an answer without id or seal"};
  } else if (otherVersion && status < 300) {
    // It has run, so it is no success and promises nothing.
    outcome = {End::Fault, Verdict::MayHaveRun,
               fmt::format("{} answered with weights {} where {} were expected", to.instanceId,
                           std::string(head[kWeightVersions]), *x.expected),
               told};
  } else if (x.stream && status == 200) {
    if (!x.started) x.version.reset();
    if (told.version && !told.mixed) x.version = told.version;
    if (!x.version) x.version = x.expected;
    outcome = co_await relayEvents(x, *connection, *parser);
  } else {
    outcome = co_await answerWhole(x, *connection, *parser, to.instanceId);
  }
  const auto now = base::Clock::now();
  // Its 504 at the deadline says nothing of its health.
  const bool ownFailure = status >= 500 && status != 504;
  if (outcome.end == End::Answered)
    table_.mark(to.instanceId, ownFailure ? routing::Mark::Fault : routing::Mark::Good, now);
  // A runner of other weights is well; it just must not serve this.
  if (outcome.otherVersion)
    table_.contradicted(to.instanceId, view(x.request[kModel]),
                        outcome.otherVersion->mixed ? std::nullopt : outcome.otherVersion->version);
  else if (outcome.end == End::Fault && now < x.deadline)
    table_.mark(to.instanceId, routing::Mark::Fault, now);
  const bool ended = outcome.end == End::Answered || outcome.end == End::Refused;
  if (ended && reusable && parser->is_done() && !deadline.expired()) {
    deadline.stop();
    pool_.giveBack(to.instanceId, std::move(connection), idle);
  }
  co_return outcome;
}

bool Executor::mayChange(const Exchange& x, std::uint64_t from, std::uint64_t to) const {
  const auto picture = table_.picture();
  const auto found = picture->rollouts.find(x.service);
  return found != picture->rollouts.end() && found->second.allowsWithinStream(view(x.request[kModel]), from, to);
}

// An answer that is no stream: read whole before a byte of it is passed on, so that the client gets all or nothing.
asio::awaitable<Executor::Outcome> Executor::answerWhole(Exchange& x, Connection& connection,
                                                         wire::response_parser<wire::buffer_body>& parser,
                                                         const std::string& instanceId) {
  using End = Outcome::End;
  http::Response out(parser.get().result(), 11);
  copyAnswerHead(parser.get(), out);
  std::array<char, 16384> part;
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    auto [error, bytes] = co_await wire::async_read_some(connection.stream, connection.buffer, parser, http::kTuple);
    if (error && error != wire::error::need_buffer)
      co_return Outcome{End::Fault, Verdict::MayHaveRun, "the answer breaks off: " + error.message()};
    out.body().append(part.data(), part.size() - parser.get().body().size);
    if (out.body().size() > kBodyBuffered)
      co_return Outcome{End::Fault, Verdict::MayHaveRun, "the answer is too large"};
  }
  const auto status = out.result_int();
  // To a client these statuses promise that the request has not run. The runner gave no such word.
  if (status == 429 || status == 503 || status == 408)
    co_return Outcome{End::Fault, Verdict::MayHaveRun, instanceId + " answered " + std::to_string(status)};
  if (x.started) co_return Outcome{End::Fault, Verdict::MayHaveRun, "answered " + std::to_string(status)};
  if (x.route.type == control::RouteType::Streaming && status < 300) {
    auto version = rollout::parseVersions(view(parser.get()[kWeightVersions])).version;
    const auto may = [&](std::uint64_t from, std::uint64_t to) { return mayChange(x, from, to); };
    if (const auto change = rollout::forbiddenChange(out.body(), version, may))
      co_return Outcome{End::Fault, Verdict::MayHaveRun, kChanges, change->told};
  }
  out.keep_alive(keepAlive(x.request));
  const bool bodiless = x.request.method() == wire::verb::head || out.result() == wire::status::no_content ||
                        out.result() == wire::status::not_modified;
  if (!bodiless) out.prepare_payload();
  // A failure of the runner's own has run. What may run again is tried elsewhere, and this answer kept for the case
  // that nobody does better.
  if (status >= 500 && x.route.repeatable()) {
    x.failure = std::move(out);
    co_return Outcome{End::Fault, Verdict::MayHaveRun, instanceId + " answered " + std::to_string(status)};
  }
  x.client.expires_after(Millis(10000));
  auto [error, bytes] = co_await wire::async_write(x.client, out, http::kTuple);
  if (error) co_return Outcome{End::ClientGone, Verdict::Ran, error.message()};
  co_return Outcome{End::Answered, Verdict::Ran, {}};
}

// A stream: each event is passed on as it comes, and only whole ones, so that another runner can take it up behind
// the last. The head goes out with the first event; until then another runner may still answer.
asio::awaitable<Executor::Outcome> Executor::relayEvents(Exchange& x, Connection& connection,
                                                         wire::response_parser<wire::buffer_body>& parser) {
  using End = Outcome::End;
  std::string text;
  const auto pass = [&](std::string events, bool last) -> asio::awaitable<bool> {
    text.clear();
    x.taking->begun(base::Clock::now() - x.sentAt);
    if (x.firstAt == base::TimePoint{}) x.firstAt = base::Clock::now();
    if (!x.started) {
      wire::response<wire::empty_body> head(parser.get().result(), 11);
      copyAnswerHead(parser.get(), head);
      head.keep_alive(keepAlive(x.request));
      head.chunked(true);
      x.keep = head.keep_alive();
      std::ostringstream lines;
      lines << head.base();
      text = std::move(lines).str();
      x.started = true;
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
    x.client.expires_at(x.deadline + Millis(500));
    auto [error, bytes] = co_await asio::async_write(x.client, parts, http::kTuple);
    co_return !error;
  };
  const auto may = [&](std::uint64_t from, std::uint64_t to) {
    const bool allowed = mayChange(x, from, to);
    x.versionChanged = x.versionChanged || allowed;
    return allowed;
  };
  std::array<char, 16384> part;
  const bool goesOn = x.started;
  bool firstEvents = true;
  // An empty body is whole with its head.
  if (parser.is_done() && !co_await pass({}, true)) co_return Outcome{End::ClientGone, Verdict::Ran, {}};
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    auto [error, bytes] = co_await wire::async_read_some(connection.stream, connection.buffer, parser, http::kTuple);
    const std::size_t got = part.size() - parser.get().body().size;
    const auto idBefore = x.events.lastId();
    auto whole = x.events.take({part.data(), got});
    // A runner that does not go on behind the last event would repeat what the client has.
    if (!whole.empty() && std::exchange(firstEvents, false) && goesOn && !goesOnBehind(whole, idBefore)) {
      x.events.passedOnly(idBefore, {});
      co_return Outcome{End::Fault, Verdict::MayHaveRun, "the stream does not go on where it was broken off"};
    }
    if (const auto change = rollout::forbiddenChange(whole, x.version, may)) {
      // What came before the change is of one version and is passed on; from there on another runner of that version
      // may take the stream up, else it ends visibly.
      whole.resize(change->at);
      x.events.passedOnly(idBefore, whole);
      if (!whole.empty() && !co_await pass(std::move(whole), false))
        co_return Outcome{End::ClientGone, Verdict::Ran, {}};
      co_return Outcome{End::Fault, Verdict::MayHaveRun, kChanges, change->told};
    }
    if (error && error != wire::error::need_buffer) {
      if (!whole.empty() && !co_await pass(std::move(whole), false))
        co_return Outcome{End::ClientGone, Verdict::Ran, {}};
      co_return Outcome{End::Fault, Verdict::MayHaveRun, "the stream breaks off: " + error.message()};
    }
    if (x.events.waiting() > kEventMost) co_return Outcome{End::Fault, Verdict::MayHaveRun, "an event is too large"};
    const bool last = parser.is_done();
    if (last) {
      // The runner's body is whole: what is left of it is passed on even if no blank line ends it.
      if (const auto change = rollout::forbiddenChange(x.events.rest(), x.version, may)) {
        if (!whole.empty() && !co_await pass(std::move(whole), false))
          co_return Outcome{End::ClientGone, Verdict::Ran, {}};
        co_return Outcome{End::Fault, Verdict::MayHaveRun, kChanges, change->told};
      }
      whole += x.events.rest();
      x.events.drop();
    }
    if ((last || !whole.empty()) && !co_await pass(std::move(whole), last))
      co_return Outcome{End::ClientGone, Verdict::Ran, {}};
  }
  co_return Outcome{End::Answered, Verdict::Ran, {}};
}

}  // namespace indigohill::proxy
