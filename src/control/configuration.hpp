#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"

// The operator's configuration. Documents are held as Boost.JSON text: Boost.PropertyTree keeps every value as a
// string, so a number would be read back as "3" and the document would differ from what was sent.
namespace indigohill::control {

enum class RouteType { Idempotent, NonIdempotent, Streaming };

struct Route {
  std::string name, host, prefix;
  RouteType type = RouteType::NonIdempotent;
  base::Millis timeout{0}, targetLatency{0}, tokenGap{0};
  std::uint32_t priority = 0, maxAttempts = 1;
  std::vector<std::pair<std::string, std::uint32_t>> split;  // service, weight
  bool sessionAffinity = false, resumable = false;
  bool isPublic = false;  // needs no tenant's key
  bool operator==(const Route&) const = default;

  // Whether a request of this route may run more than once.
  bool repeatable() const { return type == RouteType::Idempotent || (type == RouteType::Streaming && resumable); }
};

// How many runners a service may have in each zone in which it runs, and how long a new one takes to start.
struct Scaling {
  std::uint32_t minInstances = 0, maxInstances = 0;
  base::Millis bootTime{0};
  bool operator==(const Scaling&) const = default;
};

struct Service {
  std::string name, healthCheckPath;
  std::uint32_t maxConnections = 0, capacitySlots = 0;
  std::uint64_t kvCacheTokens = 0;
  base::Millis warmup{0};
  double warmupPerS = 0;
  std::optional<Scaling> scaling;  // nothing: the number of its runners is fixed
  bool operator==(const Service&) const = default;
};

// A caller of the fleet. Its requests are recognized by any of its keys.
struct Tenant {
  std::string name;
  std::vector<std::string> apiKeys;
  std::optional<std::uint32_t> priority;  // takes the place of the route's
  bool operator==(const Tenant&) const = default;
};

struct Limits {
  std::uint64_t maxHeaderBytes = 16384, maxBodyBytes = 4u << 20;
  base::Millis headerTimeout{3000}, idleTimeout{15000};
  bool operator==(const Limits&) const = default;
};

struct Configuration {
  std::uint64_t revision = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  // Nothing: the configuration has no list of tenants, and requests need no key. An empty list allows public routes
  // alone.
  std::optional<std::vector<Tenant>> tenants;
  bool operator==(const Configuration&) const = default;

  const Service* service(std::string_view name) const;
};

// An operator's document. A fault names the field, as in "routes[2].timeoutMs: ...".
base::Result<Configuration> parseConfiguration(std::string_view document);

// A document that was acknowledged before, possibly by a former version, which let a route with a `trafficSplit` name
// an unknown `targetService` beside it.
base::Result<Configuration> parseStoredConfiguration(std::string_view document);

// The document that an update makes of the current one. The result still has to be parsed, which checks it.
base::Result<std::string> applyUpdate(std::string_view current, std::string_view update);

// A stable digest of an order, by which an exact resend is known again.
std::uint64_t orderDigest(std::string_view call, std::uint64_t baseVersion, std::string_view body);

}  // namespace indigohill::control
