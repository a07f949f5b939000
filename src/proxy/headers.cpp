#include "proxy/headers.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace indigohill::proxy {

namespace asio = http::asio;
namespace beast = http::beast;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr Millis kDefaultIdleTime{60000};
constexpr unsigned kHttpVersion = 11;  // as Beast writes 1.1

// The headers of responses are copied by this list: what a runner may tell a client, and nothing that concerns a
// connection.
constexpr std::array kResponseHeaders{"Content-Type",
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

// The client's key, which no runner gets, and the tenant, which the router alone names.
bool concernsRouterAlone(const wire::fields::value_type& field) {
  const auto name = field.name_string();
  return beast::iequals(name, kApiKey) || beast::iequals(name, kTenant);
}

}  // namespace

Millis idleTimeOf(const wire::fields& head) {
  const auto text = view(head[wire::field::keep_alive]);
  const auto at = text.find("timeout=");
  if (at == std::string_view::npos) return kDefaultIdleTime;
  auto rest = text.substr(at + 8);
  rest = rest.substr(0, rest.find_first_not_of("0123456789"));
  // A second early: the runner must not close it just as the next request is on its way.
  return std::max(Millis(0), Millis(1000 * number<std::int64_t>(rest, 60) - 1000));
}

RunnerRequest forRunner(const http::Request& in, const RunnerHeaders& headers) {
  RunnerRequest out;
  out.version(kHttpVersion);
  out.method_string(in.method_string());
  out.target(in.target());
  std::vector<std::string> named;
  for (const auto& token : wire::token_list(in[wire::field::connection])) named.emplace_back(token);
  for (const auto& field : in)
    if (!concernsConnection(field, named) && !concernsRouterAlone(field))
      out.insert(field.name(), field.name_string(), field.value());
  out.set(kTimeRemaining, std::to_string(std::max<std::int64_t>(0, headers.left.count())));
  out.set(kTarget, headers.instanceId);
  if (!headers.tenant.empty()) out.set(kTenant, headers.tenant);
  if (!headers.lastEventId.empty()) out.set(kLastEventId, headers.lastEventId);
  if (headers.expectedVersion && in.count(kExpectedVersion) == 0)
    out.set(kExpectedVersion, std::to_string(*headers.expectedVersion));
  out.body() = {in.body().data(), in.body().size()};
  const bool bodiless = in.body().empty() && !in.has_content_length() && !in.chunked();
  if (!bodiless) out.content_length(out.body().size());
  return out;
}

std::vector<std::string_view> valuesOf(const wire::fields& fields, const char* name) {
  std::vector<std::string_view> out;
  const auto range = fields.equal_range(name);
  for (auto it = range.first; it != range.second; ++it) out.push_back(view(it->value()));
  return out;
}

void copyResponseHead(const wire::response_header<>& from, wire::response_header<>& to) {
  to.version(kHttpVersion);
  to.result(from.result_int());
  to.reason(from.reason());
  for (const auto* name : kResponseHeaders) {
    const auto range = from.equal_range(name);
    for (auto it = range.first; it != range.second; ++it) to.insert(it->name(), it->name_string(), it->value());
  }
}

}  // namespace indigohill::proxy
