#include "emulator/configuration_document.hpp"

#include <boost/json.hpp>

#include "emulator/payload.hpp"

namespace indigohill::emulator {

namespace {

constexpr const char* kMarkerRoute = "r-marker";
constexpr std::uint64_t kTimeoutMs = 10000;

// `more` begins with a comma, or is empty.
std::string route(const char* name, const std::string& prefix, const char* type, std::uint64_t timeoutMs,
                  const char* service, const char* more = "") {
  return fmt::format(R"({{"name":"{}","hostname":"{}","pathPrefix":"{}","routeType":"{}","timeoutMs":{},)"
                     R"("targetLatencyMs":400,"priority":1,"targetService":"{}","maxAttempts":2{}}})",
                     name, kHostname, prefix, type, timeoutMs, service, more);
}

std::string markerRoute(const ConfigurationChange& change) {
  return route(kMarkerRoute, "/marker/", "idempotent", change.markerTimeoutMs, kPlainService);
}

std::string service(const Experiment& experiment, const char* name, const std::string& more = "") {
  return fmt::format(R"({{"name":"{}","healthCheckPath":"/health","maxConnections":200,"protocol":"h1",)"
                     R"("tlsEnabled":false,"warmupS":{},"warmupPerS":{}{}}})",
                     name, static_cast<double>(experiment.warmup.count()) / 1000, experiment.warmupPerS, more);
}

}  // namespace

std::string wholeDocument(const Experiment& experiment, const ConfigurationChange& change) {
  const auto engine =
      fmt::format(R"(,"engine":{{"capacitySlots":{},"kvCacheTokens":600000,"models":[{{"name":"{}"}}]}})",
                  experiment.slotsPerRunner, kModel);
  return fmt::format(
      R"({{"revision":{},"routes":[{},{},{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
      change.revision, route("r-check", pathPrefix(RouteKind::Idempotent), "idempotent", kTimeoutMs, kPlainService),
      route("r-once", pathPrefix(RouteKind::NonIdempotent), "non_idempotent", kTimeoutMs, kPlainService),
      route("r-text", pathPrefix(RouteKind::ResumableStream), "streaming", kTimeoutMs, kStreamService,
            R"(,"resumable":true,"sessionAffinity":true,"tokenGapMs":400)"),
      markerRoute(change), service(experiment, kPlainService), service(experiment, kStreamService, engine));
}

std::string updateDocument(const ConfigurationChange& change) {
  return fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}}}})", change.revision, markerRoute(change));
}

std::optional<ReadBack> readMarker(const std::string& document) {
  try {
    const auto parsed = boost::json::parse(document);
    ReadBack out{parsed.at("revision").to_number<std::uint64_t>(), 0};
    for (const auto& item : parsed.at("routes").as_array())
      if (item.at("name").as_string() == kMarkerRoute)
        out.markerTimeoutMs = item.at("timeoutMs").to_number<std::uint64_t>();
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace indigohill::emulator
