#include "replay/report.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace indigohill::replay {

namespace json = boost::json;

namespace {

// The higher, the worse for whoever asked.
int harm(const Outcome& o) {
  if (o.doubled()) return 3;
  if (!o.served) return 2;
  return o.late ? 1 : 0;
}

void count(std::map<std::string, Counts>& counts, const Outcome& o) {
  auto& c = counts[o.route];
  ++c.requests;
  if (!o.served)
    ++c.missing;
  else
    ++(o.late ? c.late : c.inAim);
  if (o.doubled()) ++c.doubled;
  if (o.runs > 1) c.furtherRuns += o.runs - 1;
  c.tokensReadAgain += o.again;
}

std::string row(const char* policy, const Counts& c) {
  return fmt::format("  {:<8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>13} {:>13}\n", policy, c.requests, c.inAim, c.late,
                     c.missing, c.doubled, c.furtherRuns, c.tokensReadAgain);
}

json::object object(const Counts& c) {
  return {{"requests", c.requests},
          {"inAim", c.inAim},
          {"late", c.late},
          {"missing", c.missing},
          {"doubled", c.doubled},
          {"furtherRuns", c.furtherRuns},
          {"tokensReadAgain", c.tokensReadAgain}};
}

json::array list(const std::vector<Change>& changes) {
  json::array out;
  for (const auto& c : changes) out.push_back({{"id", c.id}, {"route", c.route}, {"from", c.from}, {"to", c.to}});
  return out;
}

}  // namespace

std::string standing(const Outcome& o) {
  static constexpr const char* names[] = {"in aim", "late", "missing", "doubled"};
  return names[harm(o)];
}

Comparison compare(const std::vector<Outcome>& current, const std::vector<Outcome>& changed) {
  Comparison out;
  for (std::size_t i = 0; i < current.size() && i < changed.size(); ++i) {
    count(out.current, current[i]);
    count(out.changed, changed[i]);
    const auto before = harm(current[i]), after = harm(changed[i]);
    if (before == after) continue;
    (after > before ? out.worse : out.better)
        .push_back({current[i].id, changed[i].route, standing(current[i]), standing(changed[i])});
  }
  return out;
}

std::string asText(const Comparison& c, std::size_t most) {
  auto out = fmt::format("{:<10} {:>9} {:>9} {:>9} {:>9} {:>9} {:>13} {:>13}\n", "route", "requests", "in aim", "late",
                         "missing", "doubled", "further runs", "tokens again");
  for (const auto& [route, counts] : c.current) {
    out += route + "\n" + row("current", counts);
    if (const auto found = c.changed.find(route); found != c.changed.end()) out += row("changed", found->second);
  }
  for (const auto& [route, counts] : c.changed)
    if (!c.current.contains(route)) out += route + "\n" + row("changed", counts);
  const auto listed = [&](const char* title, const std::vector<Change>& changes) {
    out += fmt::format("{}: {}\n", title, changes.size());
    for (std::size_t i = 0; i < changes.size() && i < most; ++i)
      out += fmt::format("  {} ({}): {} -> {}\n", changes[i].id, changes[i].route, changes[i].from, changes[i].to);
    if (changes.size() > most) out += fmt::format("  and {} more\n", changes.size() - most);
  };
  listed("worse under the changed policy", c.worse);
  listed("better under the changed policy", c.better);
  return out;
}

std::string asJson(const Comparison& c) {
  json::object routes;
  for (const auto& [route, counts] : c.current) routes[route] = json::object{{"current", object(counts)}};
  for (const auto& [route, counts] : c.changed) {
    if (!routes.contains(route)) routes[route] = json::object{};
    routes[route].as_object()["changed"] = object(counts);
  }
  return json::serialize(json::object{
      {"routes", std::move(routes)}, {"worse", list(c.worse)}, {"better", list(c.better)}, {"holds", c.holds()}});
}

}  // namespace indigohill::replay
