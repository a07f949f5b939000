#pragma once
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/types.hpp"

// The headers of the protocol between clients, routers and runners: their names, and which of them are passed on.
namespace indigohill::proxy {

inline constexpr const char* kAttemptId = "Indigohill-Attempt-Id";
inline constexpr const char* kTimeRemaining = "Indigohill-Time-Remaining";
inline constexpr const char* kTarget = "Indigohill-Target-Instance";
inline constexpr const char* kSeal = "Indigohill-Response-Seal";
inline constexpr const char* kNotExecuted = "Indigohill-Not-Executed";
inline constexpr const char* kLoad = "Indigohill-Instance-Load";
inline constexpr const char* kPrompt = "Indigohill-Prompt-Prefix";
inline constexpr const char* kUsage = "Indigohill-Token-Usage";
inline constexpr const char* kLastEventId = "Last-Event-Id";
inline constexpr const char* kModel = "Indigohill-Model";
inline constexpr const char* kExpectedVersion = "Indigohill-Expected-Version";
inline constexpr const char* kWeightVersions = "Indigohill-Weight-Versions";
inline constexpr const char* kApiKey = "Api-Key";
inline constexpr const char* kTenant = "Indigohill-Tenant";

// The text of a field's value.
inline std::string_view view(http::beast::string_view text) { return {text.data(), text.size()}; }

// The number that makes up the whole text, else the fallback.
template <class T>
T number(std::string_view text, T fallback) {
  T out{};
  const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && at == text.data() + text.size() ? out : fallback;
}

// What a router sets on the request that it sends to a runner.
struct RunnerHeaders {
  std::string instanceId;                          // the runner that is meant
  base::Millis left{0};                            // of the client's time
  std::string lastEventId{};                       // empty: as the client sent it
  std::optional<std::uint64_t> expectedVersion{};  // of the weights, where the client names none itself
  std::string tenant{};                            // whose key the client bears; empty: none
};

// The request as the runner gets it: all end-to-end headers of the client but for its key and for a tenant that it
// names, and what the router sets. Its body is that of `in`, which must outlive it.
using RunnerRequest = http::wire::request<http::wire::span_body<const char>>;
RunnerRequest forRunner(const http::Request& in, const RunnerHeaders& headers);

// The values of a header that may be there several times.
std::vector<std::string_view> valuesOf(const http::wire::fields& fields, const char* name);

// The head that a client gets of a runner's response: its status, also one that the HTTP library has no name for, its
// reason, and the headers on the allow list. REQUIRES: a status of up to 999, as a parser reads it.
void copyResponseHead(const http::wire::response_header<>& from, http::wire::response_header<>& to);

// How long the runner announces that it keeps an idle connection, less a second.
base::Millis idleTimeOf(const http::wire::fields& head);

}  // namespace indigohill::proxy
