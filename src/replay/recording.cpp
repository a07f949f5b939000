#include "replay/recording.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

#include "base/lists.hpp"

namespace indigohill::replay {

namespace json = boost::json;

namespace {

struct Wrong {
  std::string what;
};

const json::value* get(const json::object& o, const char* name) {
  const auto* v = o.if_contains(name);
  return v == nullptr || v->is_null() ? nullptr : v;
}
double numberOr(const json::object& o, const std::string& where, const char* name, double fallback) {
  const auto* v = get(o, name);
  if (v == nullptr) return fallback;
  if (!v->is_number()) throw Wrong{where + name + ": a number is wanted"};
  const auto out = v->to_number<double>();
  if (out < -1 || out > 1e12) throw Wrong{where + name + ": out of range"};
  return out;
}
std::string textOr(const json::object& o, const std::string& where, const char* name, const char* fallback) {
  const auto* v = get(o, name);
  if (v == nullptr) {
    if (fallback == nullptr) throw Wrong{where + name + ": missing"};
    return fallback;
  }
  if (!v->is_string()) throw Wrong{where + name + ": a string is wanted"};
  return std::string(v->as_string());
}
base::Millis millisOr(const json::object& o, const std::string& where, const char* name, double fallback) {
  return base::Millis(static_cast<std::int64_t>(numberOr(o, where, name, fallback)));
}
const json::object& objectAt(const json::value& v, const std::string& where) {
  if (!v.is_object()) throw Wrong{where + ": an object is wanted"};
  return v.as_object();
}
const json::array& listOr(const json::object& o, const char* name) {
  static const json::array none;
  const auto* v = get(o, name);
  if (v == nullptr) return none;
  if (!v->is_array()) throw Wrong{std::string(name) + ": a list is wanted"};
  return v->as_array();
}

Group readGroup(const json::object& o, const std::string& where) {
  Group g;
  g.service = textOr(o, where, "service", nullptr);
  g.zone = textOr(o, where, "zone", nullptr);
  g.count = static_cast<std::uint32_t>(numberOr(o, where, "count", 1));
  g.slots = static_cast<std::uint32_t>(numberOr(o, where, "slots", 1));
  g.queue = static_cast<std::uint32_t>(numberOr(o, where, "queue", 16));
  g.speed = numberOr(o, where, "speed", 1);
  g.promptTokensPerMs = numberOr(o, where, "promptTokensPerMs", 0);
  g.stepMs = numberOr(o, where, "stepMs", 3.5);
  g.stepMsPerSlot = numberOr(o, where, "stepMsPerSlot", 0.1);
  g.tokensPerEvent = static_cast<std::uint32_t>(numberOr(o, where, "tokensPerEvent", 6));
  g.cacheTokens = static_cast<std::uint64_t>(numberOr(o, where, "cacheTokens", 600000));
  if (g.count == 0 || g.count > 10000) throw Wrong{where + "count: 1 to 10000 is wanted"};
  if (g.slots == 0) throw Wrong{where + "slots: must be above 0"};
  if (!(g.speed > 0)) throw Wrong{where + "speed: must be above 0"};
  if (g.tokensPerEvent == 0) throw Wrong{where + "tokensPerEvent: must be above 0"};
  return g;
}

Fault readFault(const json::object& o, const std::string& where) {
  Fault t;
  t.at = millisOr(o, where, "atMs", 0);
  t.lasts = millisOr(o, where, "forMs", 0);
  t.name = textOr(o, where, "name", nullptr);
  const auto kind = textOr(o, where, "kind", nullptr);
  if (kind == "runner_crash")
    t.kind = Fault::Kind::RunnerCrash;
  else if (kind == "runner_drain")
    t.kind = Fault::Kind::RunnerDrain;
  else if (kind == "router_kill")
    t.kind = Fault::Kind::RouterKill;
  else
    throw Wrong{where + "kind: runner_crash, runner_drain or router_kill is wanted"};
  return t;
}

}  // namespace

base::Result<std::vector<Recorded>> parseRecording(const std::string& text) {
  std::vector<Recorded> out;
  std::istringstream in(text);
  std::string line;
  std::size_t number = 0;
  try {
    while (std::getline(in, line)) {
      ++number;
      if (line.find(R"("kind":"request")") == std::string::npos) continue;
      json::error_code error;
      const auto value = json::parse(line, error);
      if (error) throw Wrong{"not readable as JSON: " + error.message()};
      const auto& o = objectAt(value, "record");
      Recorded r;
      r.at = millisOr(o, "", "atMs", 0);
      r.host = textOr(o, "", "host", nullptr);
      r.path = textOr(o, "", "path", nullptr);
      r.id = textOr(o, "", "id", nullptr);
      r.prompt = textOr(o, "", "prompt", "");
      r.tokens = textOr(o, "", "tokens", "");
      r.left = millisOr(o, "", "leftMs", 60000);
      r.first = millisOr(o, "", "firstMs", -1);
      r.total = millisOr(o, "", "totalMs", 0);
      r.status = static_cast<int>(numberOr(o, "", "status", 0));
      out.push_back(std::move(r));
    }
  } catch (const Wrong& e) {
    return base::Error{base::ErrorCode::InvalidInput, fmt::format("line {}: {}", number, e.what)};
  }
  if (out.empty())
    return base::Error{base::ErrorCode::InvalidInput, "holds no record of a request (is trafficLog=true set?)"};
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  const auto first = out.front().at;
  for (auto& r : out) r.at -= first;
  return out;
}

base::Result<Model> parseModel(const std::string& text) {
  try {
    json::error_code error;
    const auto value = json::parse(text, error);
    if (error) throw Wrong{"not readable as JSON: " + error.message()};
    const auto& o = objectAt(value, "fleet");
    Model m;
    m.routers = static_cast<std::uint32_t>(numberOr(o, "", "routers", 0));
    m.clientTries = static_cast<std::uint32_t>(numberOr(o, "", "clientTries", 1));
    m.listLag = millisOr(o, "", "listLagMs", 500);
    const auto& groups = listOr(o, "runners");
    for (std::size_t i = 0; i < groups.size(); ++i) {
      const auto where = fmt::format("runners[{}].", i);
      m.groups.push_back(readGroup(objectAt(groups[i], where), where));
      if (!base::contains(m.zones, m.groups.back().zone)) m.zones.push_back(m.groups.back().zone);
    }
    if (m.groups.empty()) throw Wrong{"runners: missing"};
    if (m.routers == 0) m.routers = static_cast<std::uint32_t>(m.zones.size());
    if (m.routers > 1000) throw Wrong{"routers: at most 1000"};
    const auto& troubles = listOr(o, "troubles");
    for (std::size_t i = 0; i < troubles.size(); ++i) {
      const auto where = fmt::format("troubles[{}].", i);
      m.troubles.push_back(readFault(objectAt(troubles[i], where), where));
      const auto& name = m.troubles.back().name;
      bool known = false;
      for (const auto& g : m.groups)
        for (std::uint32_t n = 0; n < g.count; ++n) known |= name == fmt::format("{}/{}/{}", g.service, g.zone, n);
      for (std::uint32_t n = 0; n < m.routers; ++n) known |= name == fmt::format("router/{}", n);
      if (!known) throw Wrong{fmt::format("{}name: there is no '{}' in this fleet", where, name)};
    }
    return m;
  } catch (const Wrong& e) {
    return base::Error{base::ErrorCode::InvalidInput, e.what};
  }
}

}  // namespace indigohill::replay
