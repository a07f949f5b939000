#include "control/configuration.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cmath>
#include <map>
#include <set>

#include "base/bounded_json.hpp"
#include "base/hash.hpp"

namespace indigohill::control {

namespace json = boost::json;

namespace {

// Thrown and caught in this file alone, so that a check deep in a document needs no chain of returns.
struct Wrong {
  std::string what;
};

[[noreturn]] void wrong(const std::string& where, const std::string& what) { throw Wrong{where + ": " + what}; }

const json::value* get(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value == nullptr || value->is_null() ? nullptr : value;
}

std::string text(const json::object& object, const std::string& where, const char* name, bool required) {
  const auto* value = get(object, name);
  if (value == nullptr) {
    if (required) wrong(where + "." + name, "missing");
    return {};
  }
  if (!value->is_string()) wrong(where + "." + name, "a string is wanted");
  if (required && value->as_string().empty()) wrong(where + "." + name, "must not be empty");
  return std::string(value->as_string());
}

std::uint64_t whole(const json::object& object, const std::string& where, const char* name, std::uint64_t fallback,
                    bool required = false) {
  const auto* value = get(object, name);
  if (value == nullptr) {
    if (required) wrong(where + name, "missing");
    return fallback;
  }
  if (value->is_uint64()) return value->as_uint64();
  if (value->is_int64() && value->as_int64() >= 0) return static_cast<std::uint64_t>(value->as_int64());
  if (value->is_double() && value->as_double() >= 0 && value->as_double() < 9e15 &&
      std::floor(value->as_double()) == value->as_double())
    return static_cast<std::uint64_t>(value->as_double());
  wrong(where + name, "a whole number of 0 or more is wanted");
}

double fraction(const json::object& object, const std::string& where, const char* name) {
  const auto* value = get(object, name);
  if (value == nullptr) return 0;
  if (!value->is_number()) wrong(where + name, "a number is wanted");
  const auto number = value->to_number<double>();
  if (!(number >= 0) || number > 1e12) wrong(where + name, "a number of 0 or more is wanted");
  return number;
}

bool flag(const json::object& object, const std::string& where, const char* name) {
  const auto* value = get(object, name);
  if (value == nullptr) return false;
  if (!value->is_bool()) wrong(where + name, "true or false is wanted");
  return value->as_bool();
}

base::Millis millis(const json::object& object, const std::string& where, const char* name, std::uint64_t fallback) {
  const auto value = whole(object, where, name, fallback);
  if (value > 86'400'000) wrong(where + name, "more than a day");
  return base::Millis(value);
}

const json::array& list(const json::object& object, const char* name, bool required) {
  static const json::array none;
  const auto* value = get(object, name);
  if (value == nullptr) {
    if (required) wrong(name, "missing");
    return none;
  }
  if (!value->is_array()) wrong(name, "a list is wanted");
  return value->as_array();
}

const json::object& object(const json::value& value, const std::string& where) {
  if (!value.is_object()) wrong(where, "an object is wanted");
  return value.as_object();
}

json::value parseText(std::string_view document) {
  base::JsonLimits limits;
  limits.depth = 16;
  auto value = base::parseJson(document, limits);
  if (const auto* error = base::errorIn(value)) throw Wrong{error->message};
  return std::get<json::value>(std::move(value));
}

constexpr std::uint64_t kMaxInstances = 1'000'000;

base::Millis seconds(const json::object& in, const std::string& where, const char* name) {
  constexpr double kMaxSeconds = 86400;
  return base::Millis(static_cast<std::int64_t>(std::min(fraction(in, where, name), kMaxSeconds) * 1000));
}

Scaling readScaling(const json::object& in, const std::string& service) {
  const auto where = service + ".scaling.";
  const auto least = whole(in, where, "minInstances", 0), most = whole(in, where, "maxInstances", kMaxInstances);
  if (most < least) wrong(where + "maxInstances", "less than minInstances");
  if (most > kMaxInstances) wrong(where + "maxInstances", "too large");
  return {static_cast<std::uint32_t>(least), static_cast<std::uint32_t>(most), seconds(in, where, "bootTimeS")};
}

Service readService(const json::object& in, const std::string& where) {
  Service out;
  out.name = text(in, where, "name", true);
  out.healthCheckPath = text(in, where, "healthCheckPath", false);
  out.maxConnections = static_cast<std::uint32_t>(whole(in, where + ".", "maxConnections", 0));
  out.warmup = seconds(in, where + ".", "warmupS");
  out.warmupPerS = fraction(in, where + ".", "warmupPerS");
  if (const auto* field = get(in, "scaling")) out.scaling = readScaling(object(*field, where + ".scaling"), where);
  if (const auto* field = get(in, "engine")) {
    const auto& engine = object(*field, where + ".engine");
    out.capacitySlots = static_cast<std::uint32_t>(whole(engine, where + ".engine.", "capacitySlots", 0));
    out.kvCacheTokens = whole(engine, where + ".engine.", "kvCacheTokens", 0);
  }
  return out;
}

constexpr std::uint64_t kMaxPriority = 1000;

std::uint32_t readPriority(const json::object& in, const std::string& where) {
  return static_cast<std::uint32_t>(std::min(whole(in, where + ".", "priority", 0), kMaxPriority));
}

// The tenant of each key read so far, and a reader of the next tenant. No key stands in an error: errors are logged.
class TenantReader {
 public:
  Tenant read(const json::object& in, const std::string& where) {
    Tenant out;
    out.name = text(in, where, "name", true);
    if (!names_.insert(out.name).second) wrong(where + ".name", "is there twice");
    if (get(in, "priority") != nullptr) out.priority = readPriority(in, where);
    const auto* keys = get(in, "apiKeys");
    if (keys == nullptr) return out;
    if (!keys->is_array()) wrong(where + ".apiKeys", "a list is wanted");
    for (const auto& key : keys->as_array()) {
      if (!key.is_string() || key.as_string().empty()) wrong(where + ".apiKeys", "a key is a string of some length");
      addKey(out, std::string(key.as_string()), where);
    }
    return out;
  }

 private:
  void addKey(Tenant& tenant, std::string key, const std::string& where) {
    const auto [holder, isNew] = holders_.emplace(key, tenant.name);
    if (!isNew && holder->second != tenant.name)
      wrong(where + ".apiKeys", "'" + tenant.name + "' and '" + holder->second + "' share a key");
    if (isNew) tenant.apiKeys.push_back(std::move(key));
  }

  std::set<std::string> names_;
  std::map<std::string, std::string> holders_;  // tenant by key
};

std::optional<std::vector<Tenant>> readTenants(const json::object& top) {
  if (get(top, "tenants") == nullptr) return std::nullopt;
  std::vector<Tenant> out;
  TenantReader reader;
  const auto& tenants = list(top, "tenants", true);
  out.reserve(tenants.size());
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const auto where = fmt::format("tenants[{}]", i);
    out.push_back(reader.read(object(tenants[i], where), where));
  }
  return out;
}

std::string readTarget(const json::object& in, const std::string& where, const std::set<std::string>& services) {
  auto service = text(in, where, "targetService", true);
  if (!services.contains(service)) wrong(where + ".targetService", "names an unknown service '" + service + "'");
  return service;
}

enum class Origin { Operator, Store };

Route readRoute(const json::object& in, const std::string& where, const std::set<std::string>& services,
                Origin origin) {
  Route out;
  out.name = text(in, where, "name", true);
  out.host = text(in, where, "hostname", true);
  for (auto& character : out.host) character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  out.prefix = text(in, where, "pathPrefix", true);
  if (out.prefix.front() != '/' || out.prefix.back() != '/')
    wrong(where + ".pathPrefix", "must begin and end with a slash");
  const auto type = text(in, where, "routeType", true);
  if (type == "idempotent")
    out.type = RouteType::Idempotent;
  else if (type == "non_idempotent")
    out.type = RouteType::NonIdempotent;
  else if (type == "streaming")
    out.type = RouteType::Streaming;
  else
    wrong(where + ".routeType", "idempotent, non_idempotent or streaming is wanted");
  if (get(in, "timeoutMs") == nullptr) wrong(where + ".timeoutMs", "missing");
  out.timeout = millis(in, where + ".", "timeoutMs", 0);
  if (out.timeout.count() == 0) wrong(where + ".timeoutMs", "must be above 0");
  out.targetLatency = millis(in, where + ".", "targetLatencyMs", 0);
  out.tokenGap = millis(in, where + ".", "tokenGapMs", 0);
  out.priority = readPriority(in, where);
  out.maxAttempts = static_cast<std::uint32_t>(std::min<std::uint64_t>(whole(in, where + ".", "maxAttempts", 1), 100));
  if (out.maxAttempts == 0) wrong(where + ".maxAttempts", "must be above 0");
  out.sessionAffinity = flag(in, where + ".", "sessionAffinity");
  out.resumable = flag(in, where + ".", "resumable");
  out.isPublic = flag(in, where + ".", "public");
  if (get(in, "trafficSplit") != nullptr) {
    std::uint64_t sum = 0;
    const auto& split = list(in, "trafficSplit", true);
    for (std::size_t i = 0; i < split.size(); ++i) {
      const auto at = fmt::format("{}.trafficSplit[{}]", where, i);
      const auto& part = object(split[i], at);
      const auto service = readTarget(part, at, services);
      const auto weight = whole(part, at + ".", "weight", 0, true);
      if (weight > 1'000'000'000) wrong(at + ".weight", "too large");
      sum += weight;
      out.split.emplace_back(service, static_cast<std::uint32_t>(weight));
    }
    if (sum == 0) wrong(where + ".trafficSplit", "the weights sum to 0");
    if (origin == Origin::Operator && get(in, "targetService") != nullptr) readTarget(in, where, services);
  } else {
    out.split.emplace_back(readTarget(in, where, services), 1);
  }
  return out;
}

Configuration readConfiguration(std::string_view document, Origin origin) {
  const auto value = parseText(document);
  const auto& top = object(value, "configuration");
  Configuration out;
  out.revision = whole(top, "", "revision", 0, true);
  std::set<std::string> services, routes;
  std::set<std::pair<std::string, std::string>> places;
  const auto& serviceList = list(top, "services", true);
  for (std::size_t i = 0; i < serviceList.size(); ++i) {
    const auto where = fmt::format("services[{}]", i);
    out.services.push_back(readService(object(serviceList[i], where), where));
    if (!services.insert(out.services.back().name).second) wrong(where + ".name", "is there twice");
  }
  const auto& routeList = list(top, "routes", true);
  for (std::size_t i = 0; i < routeList.size(); ++i) {
    const auto where = fmt::format("routes[{}]", i);
    out.routes.push_back(readRoute(object(routeList[i], where), where, services, origin));
    const auto& route = out.routes.back();
    if (!routes.insert(route.name).second) wrong(where + ".name", "is there twice");
    if (!places.emplace(route.host, route.prefix).second)
      wrong(where + ".pathPrefix", "shares host and prefix with another route");
  }
  if (const auto* limits = get(top, "limits")) {
    const auto& in = object(*limits, "limits");
    const Limits usual;
    out.limits.maxHeaderBytes = whole(in, "limits.", "maxHeaderBytes", usual.maxHeaderBytes);
    out.limits.maxBodyBytes = whole(in, "limits.", "maxBodyBytes", usual.maxBodyBytes);
    out.limits.headerTimeout = millis(in, "limits.", "headerTimeoutMs", usual.headerTimeout.count());
    out.limits.idleTimeout = millis(in, "limits.", "idleTimeoutMs", usual.idleTimeout.count());
    if (out.limits.maxHeaderBytes == 0) wrong("limits.maxHeaderBytes", "must be above 0");
    if (out.limits.headerTimeout.count() == 0) wrong("limits.headerTimeoutMs", "must be above 0");
    if (out.limits.idleTimeout.count() == 0) wrong("limits.idleTimeoutMs", "must be above 0");
  }
  out.tenants = readTenants(top);
  return out;
}

std::string nameOf(const json::value& item, const std::string& where) {
  return text(object(item, where), where, "name", true);
}

// The parts of an update. `key` names a list of the document. A part that names no item leaves the document as it is:
// an empty list must not come to stand where there was none, as a document without `tenants` asks for no keys.

void checkListName(std::string_view key, const std::string& where) {
  if (key != "routes" && key != "services" && key != "tenants") wrong(where, "unknown list");
}

void removeItems(json::object& document, std::string_view key, const json::value& names) {
  const std::string where = "remove." + std::string(key);
  checkListName(key, where);
  if (!names.is_array()) wrong(where, "a list of names is wanted");
  std::set<std::string> removed;
  for (const auto& name : names.as_array()) {
    if (!name.is_string()) wrong(where, "a list of names is wanted");
    removed.emplace(name.as_string());
  }
  const auto* list = get(document, std::string(key).c_str());
  if (list == nullptr) return;
  json::array remaining;
  for (const auto& item : list->as_array())
    if (!removed.contains(nameOf(item, where))) remaining.push_back(item);
  document[key] = std::move(remaining);
}

void upsertItems(json::object& document, std::string_view key, const json::value& items) {
  const std::string where = "upsert." + std::string(key);
  if (key == "limits") {
    if (!object(items, where).empty()) document[key] = items;
    return;
  }
  checkListName(key, where);
  if (!items.is_array()) wrong(where, "a list is wanted");
  if (items.as_array().empty()) return;
  if (get(document, std::string(key).c_str()) == nullptr) document[key] = json::array{};
  auto& list = document[key].as_array();
  std::set<std::string> names;
  for (const auto& item : items.as_array()) {
    const auto name = nameOf(item, where);
    if (!names.insert(name).second) wrong(where, "'" + name + "' is there twice");
    json::value* present = nullptr;
    for (auto& old : list)
      if (nameOf(old, where) == name) present = &old;
    if (present != nullptr)
      *present = item;
    else
      list.push_back(item);
  }
}

base::Result<Configuration> parse(std::string_view document, Origin origin) {
  try {
    return readConfiguration(document, origin);
  } catch (const Wrong& e) {
    return base::Error{base::ErrorCode::InvalidInput, e.what};
  }
}

}  // namespace

const Service* Configuration::service(std::string_view name) const {
  for (const auto& service : services)
    if (service.name == name) return &service;
  return nullptr;
}

base::Result<Configuration> parseConfiguration(std::string_view document) { return parse(document, Origin::Operator); }

base::Result<Configuration> parseStoredConfiguration(std::string_view document) {
  return parse(document, Origin::Store);
}

base::Result<std::string> applyUpdate(std::string_view current, std::string_view update) {
  try {
    auto document = parseText(current);
    const auto change = parseText(update);
    auto& top = document.as_object();
    const auto& in = object(change, "update");
    top["revision"] = whole(in, "", "revision", 0, true);
    if (const auto* remove = get(in, "remove"))
      for (const auto& [key, names] : object(*remove, "remove")) removeItems(top, key, names);
    if (const auto* upsert = get(in, "upsert"))
      for (const auto& [key, items] : object(*upsert, "upsert")) upsertItems(top, key, items);
    return json::serialize(document);
  } catch (const Wrong& e) {
    return base::Error{base::ErrorCode::InvalidInput, e.what};
  }
}

std::uint64_t orderDigest(std::string_view call, std::uint64_t baseVersion, std::string_view body) {
  return base::hash(body, base::hash(fmt::format("{} {} {}", call, baseVersion, body.size())));
}

}  // namespace indigohill::control
