#include "import/envoy.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>

#include "control/configuration.hpp"

namespace indigohill::import {

namespace json = boost::json;

namespace {

struct Wrong {
  std::string what;
};

std::string at(const YAML::Node& node) { return fmt::format("line {}", node.Mark().line + 1); }

class Reader {
 public:
  explicit Reader(Imported& out) : out_(out) {}

  void note(const YAML::Node& node, const std::string& what) { out_.notes.push_back(at(node) + ": " + what); }

  // Every field of a table that nobody asked about is listed.
  void leftOver(const YAML::Node& table, const std::string& where, const std::set<std::string>& known) {
    for (const auto& item : table) {
      const auto name = item.first.as<std::string>();
      if (!known.contains(name)) note(item.first, fmt::format("{}.{}: not carried over", where, name));
    }
  }

  static YAML::Node list(const YAML::Node& parent, const char* name) {
    const auto node = parent[name];
    if (node && !node.IsSequence()) throw Wrong{at(node) + ": " + name + ": a list is wanted"};
    return node;
  }
  static std::string text(const YAML::Node& parent, const char* name) {
    const auto node = parent[name];
    if (!node || !node.IsScalar()) throw Wrong{at(parent) + ": " + name + ": missing"};
    return node.as<std::string>();
  }

  // "15s", "0.25s"
  static std::optional<std::uint64_t> millis(const std::string& text) {
    if (text.empty() || text.back() != 's') return std::nullopt;
    double value = 0;
    const auto* end = text.data() + text.size() - 1;
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value < 0 || value > 86400) return std::nullopt;
    return static_cast<std::uint64_t>(std::llround(value * 1000));
  }

  json::object cluster(const YAML::Node& node) {
    json::object service{{"name", text(node, "name")}, {"healthCheckPath", "/"}, {"maxConnections", 1024},
                         {"protocol", "h1"},           {"tlsEnabled", false},    {"warmupS", 0.0},
                         {"warmupPerS", 0.0}};
    const auto where = "cluster " + text(node, "name");
    if (const auto checks = list(node, "health_checks"); checks && checks.size() > 0) {
      const auto http = checks[0]["http_health_check"];
      if (http && http["path"])
        service["healthCheckPath"] = http["path"].as<std::string>();
      else
        note(checks, where + ".health_checks: only http_health_check.path is carried over");
    }
    if (const auto breakers = node["circuit_breakers"]) {
      const auto thresholds = list(breakers, "thresholds");
      if (thresholds && thresholds.size() > 0 && thresholds[0]["max_connections"])
        service["maxConnections"] = thresholds[0]["max_connections"].as<std::uint64_t>();
      if (thresholds && thresholds.size() > 1)
        note(thresholds, where + ".circuit_breakers: only the first threshold is carried over");
    }
    if (node["load_assignment"])
      note(node["load_assignment"],
           where + ".load_assignment: not carried over; runners come from the platform's list");
    leftOver(node, where, {"name", "health_checks", "circuit_breakers", "load_assignment", "type", "connect_timeout"});
    return service;
  }

  void route(const YAML::Node& node, const YAML::Node& domains, const std::string& host, json::array& routes) {
    const auto where = "virtual host " + host + fmt::format(" route {}", ++number_);
    const auto match = node["match"];
    const auto action = node["route"];
    if (!match || !match["prefix"]) {
      note(node, where + ": not carried over; only match.prefix is");
      return;
    }
    if (!action) {
      note(node, where + ": not carried over; only routes with a route action are");
      return;
    }
    const auto prefix = match["prefix"].as<std::string>();
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
      note(match, where + ": not carried over; our prefixes begin and end with a slash, '" + prefix + "' does not");
      return;
    }
    leftOver(match, where + ".match", {"prefix"});
    leftOver(node, where, {"match", "route", "name"});
    leftOver(action, where + ".route", {"cluster", "weighted_clusters", "timeout", "retry_policy"});
    json::object out{{"pathPrefix", prefix}, {"routeType", "non_idempotent"}, {"priority", 0}, {"maxAttempts", 1}};
    note(node, where + ": routeType is non_idempotent, since the file does not say what may run twice");
    if (action["cluster"]) {
      out["targetService"] = action["cluster"].as<std::string>();
    } else if (action["weighted_clusters"] && action["weighted_clusters"]["clusters"]) {
      json::array split;
      for (const auto& part : action["weighted_clusters"]["clusters"])
        split.push_back({{"targetService", text(part, "name")},
                         {"weight", part["weight"] ? part["weight"].as<std::uint64_t>() : 0}});
      out["trafficSplit"] = std::move(split);
    } else {
      note(action, where + ": not carried over; it names no cluster");
      return;
    }
    std::uint64_t timeoutMs = 15000;  // Envoy's own default
    if (action["timeout"]) {
      const auto read = millis(action["timeout"].as<std::string>());
      if (!read) throw Wrong{at(action["timeout"]) + ": timeout: a span like 15s is wanted"};
      timeoutMs = *read;
      if (timeoutMs == 0) {
        timeoutMs = 86'400'000;
        note(action["timeout"], where + ".timeout: 0s means none there; a day is set");
      }
    }
    out["timeoutMs"] = timeoutMs;
    if (const auto retry = action["retry_policy"]) {
      out["maxAttempts"] = 1 + (retry["num_retries"] ? retry["num_retries"].as<std::uint64_t>() : 1);
      leftOver(retry, where + ".retry_policy", {"num_retries"});
    }
    for (const auto& domain : domains) {
      auto name = domain.as<std::string>();
      if (name.find('*') != std::string::npos) {
        note(domain, fmt::format("{}: not carried over for domain '{}'; we have no wildcards", where, name));
        continue;
      }
      name = name.substr(0, name.find(':'));
      auto one = out;
      one["name"] = fmt::format("{}-{}-{}", host, number_, name);
      one["hostname"] = name;
      routes.push_back(std::move(one));
    }
  }

 private:
  Imported& out_;
  int number_ = 0;
};

}  // namespace

base::Result<Imported> fromEnvoy(const std::string& source, std::uint64_t revision) {
  try {
    const auto top = YAML::Load(source);
    if (!top.IsMap()) throw Wrong{"line 1: a table is wanted"};
    const auto statics = top["static_resources"];
    if (!statics || !statics.IsMap()) throw Wrong{"line 1: static_resources: missing"};
    Imported out;
    Reader reader(out);
    reader.leftOver(top, "file", {"static_resources", "admin", "node"});
    reader.leftOver(statics, "static_resources", {"listeners", "clusters"});
    json::array services, routes;
    for (const auto& cluster : Reader::list(statics, "clusters")) services.push_back(reader.cluster(cluster));
    for (const auto& listener : Reader::list(statics, "listeners"))
      for (const auto& chain : Reader::list(listener, "filter_chains"))
        for (const auto& filter : Reader::list(chain, "filters")) {
          const auto config = filter["typed_config"];
          if (!config || !config["route_config"]) {
            reader.note(filter, "filter: not carried over; only those with a route_config are");
            continue;
          }
          for (const auto& host : Reader::list(config["route_config"], "virtual_hosts")) {
            const auto domains = Reader::list(host, "domains");
            if (!domains) throw Wrong{at(host) + ": domains: missing"};
            reader.leftOver(host, "virtual host " + Reader::text(host, "name"), {"name", "domains", "routes"});
            for (const auto& route : Reader::list(host, "routes"))
              reader.route(route, domains, Reader::text(host, "name"), routes);
          }
        }
    out.document = json::serialize(
        json::object{{"revision", revision}, {"routes", std::move(routes)}, {"services", std::move(services)}});
    // The same checks as for an operator's configuration.
    if (auto parsed = control::parseConfiguration(out.document); base::errorIn(parsed) != nullptr)
      throw Wrong{"what comes of the file is no valid configuration: " + base::errorIn(parsed)->message};
    return out;
  } catch (const Wrong& e) {
    return base::Error{base::ErrorCode::InvalidInput, e.what};
  } catch (const YAML::Exception& e) {
    return base::Error{base::ErrorCode::InvalidInput, fmt::format("line {}: {}", e.mark.line + 1, e.msg)};
  }
}

}  // namespace indigohill::import
