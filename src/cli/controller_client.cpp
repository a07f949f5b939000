#include "cli/controller_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "cli/input_files.hpp"

namespace indigohill::cli {

namespace asio = http::asio;
using base::Millis;

namespace {

constexpr int kMaxRedirects = 2;
constexpr Millis kCallTimeout{1000};
constexpr Millis kFirstBackoff{100}, kMaxBackoff{1000};

// The address in `Location: http://10.0.0.4:8080/path`.
std::optional<settings::Endpoint> addressIn(std::string_view location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme)) return std::nullopt;
  location.remove_prefix(kScheme.size());
  auto parsed = settings::parseEndpoint(std::string(location.substr(0, location.find('/'))));
  if (base::errorIn(parsed) != nullptr) return std::nullopt;
  return std::get<settings::Endpoint>(parsed);
}

bool isClear(int status) { return status != 307 && status != 408 && status != 429 && status < 500; }

}  // namespace

ControllerClient::ControllerClient(const std::vector<std::string>& addresses, double timeoutS)
    : deadline_(base::Clock::now() + Millis(static_cast<std::int64_t>(1000 * timeoutS))) {
  for (const auto& text : addresses) addresses_.push_back(need(settings::parseEndpoint(text), text));
}

std::optional<ControllerReply> ControllerClient::call(http::wire::verb verb, const std::string& target,
                                                      const std::string& body) {
  std::optional<ControllerReply> out;
  asio::co_spawn(io_, callUntilClear(verb, target, body, out), asio::detached);
  io_.restart();
  io_.run();
  return out;
}

asio::awaitable<void> ControllerClient::callUntilClear(http::wire::verb verb, std::string target, std::string body,
                                                       std::optional<ControllerReply>& out) {
  auto backoff = kFirstBackoff;
  for (std::size_t i = 0;; ++i) {
    auto reply = co_await callOnce(addresses_[i % addresses_.size()], verb, target, body);
    if (reply && isClear(reply->status)) {
      out = std::move(*reply);
      co_return;
    }
    if (reply) lastFailure_ = fmt::format("{} answered {} {}", settings::text(reply->from), reply->status, reply->body);
    if (base::Clock::now() + backoff >= deadline_) co_return;
    asio::steady_timer timer(io_, backoff);
    co_await timer.async_wait(http::kTuple);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

asio::awaitable<std::optional<ControllerReply>> ControllerClient::callOnce(settings::Endpoint at, http::wire::verb verb,
                                                                           const std::string& target,
                                                                           const std::string& body) {
  for (int redirects = 0;; ++redirects) {
    http::Request request(verb, target, 11);
    if (!body.empty()) request.set(http::wire::field::content_type, "application/json");
    request.body() = body;
    http::Client client(io_.get_executor(), at);
    auto called = co_await client.call(std::move(request), kCallTimeout);
    if (const auto* bad = base::errorIn(called)) {
      lastFailure_ = settings::text(at) + ": " + bad->message;
      co_return std::nullopt;
    }
    const auto& response = std::get<0>(called);
    ControllerReply reply{static_cast<int>(response.result_int()), response.body(), at};
    const auto location = response[http::wire::field::location];
    const auto next = addressIn({location.data(), location.size()});
    if (reply.status != 307 || redirects == kMaxRedirects || !next) co_return reply;
    at = *next;
  }
}

}  // namespace indigohill::cli
