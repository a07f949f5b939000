#include "cli/operator_calls.hpp"

#include <charconv>
#include <string_view>
#include <utility>

#include "base/log.hpp"

namespace indigohill::cli {

namespace {

constexpr const char* kBaseVersion = "Indigohill-Base-Version";
constexpr std::chrono::seconds kAnswerLimit{10};  // the core itself answers well before
constexpr const char* kRetryAfterSeconds = "0.2";
constexpr std::size_t kMaxWaiting = 64;  // calls at a time; each may hold a document, or an answer that is one

bool changesConfiguration(control::OrderKind kind) {
  return kind == control::OrderKind::Replace || kind == control::OrderKind::Update;
}

bool concernsRollout(control::OrderKind kind) {
  return kind == control::OrderKind::DeclareRollout || kind == control::OrderKind::AdvanceRollout ||
         kind == control::OrderKind::WithdrawRollout;
}

// The version that a change builds on. A missing header means 0, as for the first configuration: later on such a change
// is refused as one that builds on another version. Nothing if the header is no whole number.
std::optional<std::uint64_t> baseVersionOf(const http::Request& request) {
  const auto text = request[kBaseVersion];
  std::uint64_t out = 0;
  if (text.empty()) return out;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, out);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return out;
}

http::Response reply(const http::Request& request, const control::Answer& answer, std::uint16_t controlPort) {
  auto out =
      http::answer(request, answer.status, answer.body, answer.status == 200 ? "application/json" : "text/plain");
  if (answer.status == 307) {
    const settings::Endpoint primary{answer.redirect.ip, controlPort};
    out.set(http::wire::field::location, "http://" + settings::text(primary) + std::string(request.target()));
  }
  if (answer.status == 503) out.set(http::wire::field::retry_after, kRetryAfterSeconds);
  if (answer.status >= 400 && answer.status != 503 && answer.status != 404)
    base::logInfo(base::LogEvent("operator_call_refused")
                      .with("call", std::string(request.target()))
                      .with("status", answer.status)
                      .with("reason", answer.body));
  return out;
}

}  // namespace

http::asio::awaitable<http::Response> OperatorCalls::carryOut(control::Call call, http::Request request,
                                                              http::Caller caller) {
  control::Order order;
  order.kind = call.order;
  const bool ofRollout = concernsRollout(order.kind);
  if (ofRollout) order.service = call.argument;
  order.body = call.argument.empty() || ofRollout ? request.body() : call.argument;
  if (changesConfiguration(order.kind)) {
    const auto baseVersion = baseVersionOf(request);
    if (!baseVersion) co_return http::answer(request, 400, std::string(kBaseVersion) + ": a whole number is wanted");
    order.baseVersion = *baseVersion;
  }
  const auto answer = co_await answerTo(std::move(order), std::move(caller.gone));
  co_return reply(request, answer, core_.controlPort());
}

http::asio::awaitable<control::Answer> OperatorCalls::answerTo(control::Order order, std::function<bool()> callerGone) {
  const auto call = order.call = ++calls_;
  if (waiting_.size() >= kMaxWaiting) co_return control::Answer{call, 503, "too many calls at once", {}};
  if (callerGone()) co_return control::Answer{call, 503, "the caller has gone", {}};
  const auto timer = std::make_shared<http::asio::steady_timer>(executor_, kAnswerLimit);
  waiting_[call] = {timer, std::move(callerGone), std::nullopt};
  core_.submit(std::move(order));
  if (!waiting_[call].answer) co_await timer->async_wait(http::kTuple);
  auto answer = std::move(waiting_[call].answer);
  waiting_.erase(call);
  if (answer) co_return *std::move(answer);
  core_.cancel(call);
  co_return control::Answer{call, 503, "not finished in time", {}};
}

void OperatorCalls::answer(control::Answer answer) {
  const auto found = waiting_.find(answer.call);
  if (found == waiting_.end()) return;
  found->second.answer = std::move(answer);
  found->second.timer->cancel();
}

void OperatorCalls::dropAbandoned() {
  for (auto& [call, waiting] : waiting_)
    if (!waiting.answer && waiting.callerGone()) waiting.timer->cancel();  // without an answer: it is forgotten
}

}  // namespace indigohill::cli
