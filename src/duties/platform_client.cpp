#include "duties/platform_client.hpp"

#include <algorithm>

#include "base/task_failure.hpp"
namespace indigohill::duties {

namespace asio = http::asio;
namespace wire = http::wire;

namespace {

constexpr const char* kHolder = "Indigohill-Duty-Holder";
constexpr const char* kFence = "Indigohill-Fence-Token";
constexpr base::Millis kAnswerTimeout{1500};
constexpr int kOk = 200, kTooManyRequests = 429, kServerError = 500;

CallOutcome outcomeOf(int status) {
  if (status == kOk) return CallOutcome::Accepted;
  if (status == kTooManyRequests) return CallOutcome::RateLimited;
  return status >= kServerError ? CallOutcome::NoAnswer : CallOutcome::Rejected;
}

// Closing resets the connection and drops what the kernel still holds: after a partition heals it would arrive late.
void dropUnsentAtClose(http::beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
}

}  // namespace

void PlatformClient::start(PlatformCall call) {
  running_ = call.id;
  connection_ = std::make_shared<Connection>(executor_);
  asio::co_spawn(executor_, run(std::move(call), connection_), base::LogTaskFailure("platform_call"));
}

void PlatformClient::abort(std::uint64_t id) {
  if (id != running_ || !connection_) return;
  connection_->aborted = true;
  boost::system::error_code ignored;
  connection_->stream.socket().close(ignored);
}

asio::awaitable<void> PlatformClient::run(PlatformCall call, std::shared_ptr<Connection> connection) {
  const auto outcome = co_await exchange(call, *connection);
  boost::system::error_code ignored;
  connection->stream.socket().close(ignored);
  if (running_ == call.id) {
    running_ = 0;
    connection_.reset();
  }
  if (!connection->aborted) onEnded_(call.id, outcome);
}

asio::awaitable<CallOutcome> PlatformClient::exchange(const PlatformCall& call, Connection& connection) {
  auto& stream = connection.stream;
  stream.expires_at(std::min(call.notAfter, base::Clock::now() + kAnswerTimeout));
  http::openOutgoing(stream.socket());
  auto [connectError] = co_await stream.async_connect(http::tcpEndpoint(platform_), http::kTuple);
  if (connectError || connection.aborted) co_return CallOutcome::NoAnswer;
  dropUnsentAtClose(stream);
  http::Request request(wire::verb::post, call.path, 11);
  request.set(wire::field::host, settings::text(platform_));
  request.set(wire::field::content_type, "application/json");
  request.set(kHolder, call.holder);
  request.set(kFence, std::to_string(call.fence));
  request.keep_alive(false);
  request.body() = call.body;
  request.prepare_payload();
  if (!mayCall_(call, base::Clock::now())) co_return CallOutcome::NoAnswer;
  auto [writeError, written] = co_await wire::async_write(stream, request, http::kTuple);
  if (writeError) co_return CallOutcome::NoAnswer;
  http::beast::flat_buffer buffer(http::kMaxBufferedBytes);
  wire::response<wire::string_body> response;
  auto [readError, read] = co_await wire::async_read(stream, buffer, response, http::kTuple);
  co_return readError ? CallOutcome::NoAnswer : outcomeOf(static_cast<int>(response.result_int()));
}

}  // namespace indigohill::duties
