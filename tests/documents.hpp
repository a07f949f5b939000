#pragma once
#include <fmt/format.h>

#include <stdexcept>
#include <string>

// Configurations for tests.
namespace indigohill::tests {

inline std::string document(std::uint64_t revision, std::uint64_t timeoutMs = 3000, const std::string& extra = "") {
  return fmt::format(
      R"({{"revision":{},"routes":[{{"name":"r-text","hostname":"a.example","pathPrefix":"/text/","routeType":"streaming",)"
      R"("timeoutMs":{},"targetLatencyMs":800,"priority":0,"targetService":"engine","maxAttempts":2,"resumable":true,)"
      R"("sessionAffinity":true,"tokenGapMs":400}},{{"name":"r-check","hostname":"a.example","pathPrefix":"/check/",)"
      R"("routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"targetService":"plain",)"
      R"("maxAttempts":2}}{}],"services":[{{"name":"engine","healthCheckPath":"/health","maxConnections":64,)"
      R"("warmupS":3.0,"warmupPerS":20.0,"engine":{{"capacitySlots":128,"kvCacheTokens":600000}}}},)"
      R"({{"name":"plain","healthCheckPath":"/health","maxConnections":30,"warmupS":0.0,"warmupPerS":0.0}}],)"
      R"("limits":{{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":400,"idleTimeoutMs":2000}}}})",
      revision, timeoutMs, extra);
}

inline std::string update(std::uint64_t revision, std::uint64_t timeoutMs) {
  return fmt::format(
      R"({{"revision":{},"upsert":{{"routes":[{{"name":"r-check","hostname":"a.example","pathPrefix":"/check/",)"
      R"("routeType":"idempotent","timeoutMs":{},"targetLatencyMs":300,"priority":2,"targetService":"plain",)"
      R"("maxAttempts":2}}]}}}})",
      revision, timeoutMs);
}

// The text with one part of it, which must be there, exchanged for another.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  if (at == std::string::npos) throw std::logic_error("'" + from + "' is not in the text");
  return text.replace(at, from.size(), to);
}

}  // namespace indigohill::tests
