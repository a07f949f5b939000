#include "hollow/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <map>

namespace indigohill::hollow {

namespace {

std::string number(double value) {
  if (std::isnan(value)) return "never";
  if (value == 0) return "0";
  const double size = std::abs(value);
  if (size >= 100) return fmt::format("{:.0f}", value);
  if (size >= 10) return fmt::format("{:.1f}", value);
  if (size >= 1) return fmt::format("{:.2f}", value);
  return fmt::format("{:.3g}", value);
}

// What a figure grows with, as far as the line goes.
double size(const Figure& f) { return static_cast<double>(f.scenario == "choice" ? f.shape.runners : f.shape.daemons); }

}  // namespace

double power(const std::vector<std::pair<double, double>>& points) {
  std::vector<std::pair<double, double>> logs;
  for (const auto& [x, y] : points)
    if (y > 0) logs.emplace_back(std::log(x), std::log(y));
  return fit(logs).slope;
}

Line fit(const std::vector<std::pair<double, double>>& points) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (const auto& [a, b] : points) {
    if (std::isnan(b)) continue;
    n += 1;
    x += a;
    y += b;
    xx += a * a;
    xy += a * b;
  }
  const double spread = n * xx - x * x;
  if (n == 0 || spread == 0) return {n == 0 ? 0 : y / n, 0};
  const double slope = (n * xy - x * y) / spread;
  return {(y - slope * x) / n, slope};
}

std::string csv(const std::vector<Figure>& figures) {
  std::string out = "daemons,controllers,runners,tenants,seed,scenario,measure,role,kind,value,unit,basis\n";
  for (const auto& f : figures)
    out += fmt::format("{},{},{},{},{},{},{},{},{},{},{},{}\n", f.shape.daemons, f.shape.controllers, f.shape.runners,
                       f.shape.tenants, f.shape.seed, f.scenario, f.measure, f.role, f.kind,
                       std::isnan(f.value) ? "" : fmt::format("{:.6g}", f.value), f.unit,
                       f.simulated ? "simulated" : "real");
  return out;
}

std::string json(const std::vector<Figure>& figures) {
  boost::json::array out;
  for (const auto& f : figures) {
    boost::json::object o{{"daemons", f.shape.daemons},
                          {"controllers", f.shape.controllers},
                          {"runners", f.shape.runners},
                          {"tenants", f.shape.tenants},
                          {"seed", f.shape.seed},
                          {"scenario", f.scenario},
                          {"measure", f.measure},
                          {"unit", f.unit},
                          {"basis", f.simulated ? "simulated" : "real"}};
    if (!f.role.empty()) o["role"] = f.role;
    if (!f.kind.empty()) o["kind"] = f.kind;
    o["value"] = std::isnan(f.value) ? boost::json::value(nullptr) : boost::json::value(f.value);
    out.push_back(std::move(o));
  }
  return boost::json::serialize(out) + "\n";
}

std::string tables(const std::vector<Figure>& figures) {
  // In the order in which they first came.
  struct Row {
    std::string scenario, name, unit;
    bool simulated = true;
    std::map<double, double> values;
  };
  std::vector<Row> rows;
  std::map<std::string, std::size_t> known;
  std::map<std::string, std::map<double, bool>> sizes;
  for (const auto& f : figures) {
    if (!f.kind.empty()) continue;
    const auto name = f.role.empty() || f.scenario != "steady" ? f.measure : f.role + " " + f.measure;
    const auto [at, isNew] = known.try_emplace(f.scenario + "/" + name, rows.size());
    if (isNew) rows.push_back({f.scenario, name, f.unit, f.simulated, {}});
    rows[at->second].values[size(f)] = f.value;
    sizes[f.scenario][size(f)] = true;
  }
  std::string out;
  std::string scenario;
  for (const auto& row : rows) {
    if (row.scenario != scenario) {
      scenario = row.scenario;
      out += fmt::format("\n### {}\n\n| measure | unit | basis |", scenario);
      for (const auto& [at, is] : sizes[scenario]) out += fmt::format(" {} |", at);
      out += fmt::format(" a {} more | as n^ |\n| --- | --- | --- |", scenario == "choice" ? "runner" : "daemon");
      for (std::size_t i = 0; i <= 1 + sizes[scenario].size(); ++i) out += " --- |";
      out += "\n";
    }
    out += fmt::format("| {} | {} | {} |", row.name, row.unit, row.simulated ? "simulated" : "real");
    std::vector<std::pair<double, double>> points;
    for (const auto& [at, is] : sizes[scenario]) {
      const auto found = row.values.find(at);
      out += found == row.values.end() ? " |" : fmt::format(" {} |", number(found->second));
      if (found != row.values.end()) points.emplace_back(*found);
    }
    out += fmt::format(" {} | {:.1f} |\n", number(fit(points).slope), power(points));
  }
  return out;
}

namespace {

// One figure over the sizes: points by what it grows with.
std::vector<std::pair<double, double>> pointsOf(const std::vector<Figure>& figures, const std::string& scenario,
                                                const std::string& measure, const std::string& role) {
  std::vector<std::pair<double, double>> out;
  for (const auto& f : figures)
    if (f.scenario == scenario && f.measure == measure && f.role == role && f.kind.empty())
      out.emplace_back(size(f), f.value);
  return out;
}

std::vector<std::pair<double, double>> sumOf(std::vector<std::pair<double, double>> a,
                                             const std::vector<std::pair<double, double>>& b, double times = 1) {
  for (auto& [x, y] : a)
    for (const auto& [otherX, otherY] : b)
      if (otherX == x) y += times * otherY;
  return a;
}

}  // namespace

std::string budget(const std::vector<Figure>& figures, const Target& target) {
  std::string out = fmt::format(
      "\n### budget at {:.0f} daemons and {:.0f} runners\n\n| what | unit | basis | slope a daemon | as n^ | line at "
      "the target | "
      "at the largest size run | budget | |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      target.daemons, target.runners);
  const auto row = [&](const std::string& what, const std::vector<std::pair<double, double>>& points,
                       const std::string& unit, bool simulated, double most, double at) {
    if (points.empty()) return;
    const auto line = fit(points);
    const double last = std::max_element(points.begin(), points.end())->second;
    const double expected = line.start + line.slope * at;
    // Not reached at the largest size is over; else what was measured there counts, and the line beside it.
    const bool over = std::isnan(last) || std::max(last, expected) > most;
    out += fmt::format("| {} | {} | {} | {} | {:.1f} | {} | {} | {} | {} |\n", what, unit,
                       simulated ? "simulated" : "real", number(line.slope), power(points), number(expected),
                       number(last), most > 0 ? number(most) : "",
                       most <= 0 ? ""
                       : over    ? "**over**"
                                 : "within");
  };
  const auto steady = [&](const char* measure, const std::string& role) {
    return pointsOf(figures, "steady", measure, role);
  };
  for (const std::string role : kRoleNames) {
    row(role + ": messages, both ways", steady("messages", role), "1/s", true, 0, target.daemons);
    row(role + ": bytes, both ways", sumOf(steady("sent", role), steady("received", role)), "bytes/s", true,
        target.bytesPerS, target.daemons);
    row(role + ": processor time of the core", steady("cpu", role), "ms/s", false, target.cpuMsPerS, target.daemons);
    row(role + ": heap", steady("heap", role), "bytes", true, target.heapBytes, target.daemons);
  }
  const auto parts = [&](const char* scenario, const char* measure) {
    return pointsOf(figures, scenario, measure, "router");
  };
  row("router: heap with a full journal of views", sumOf(steady("heap", "router"), parts("journal", "fullOfViews")),
      "bytes", true, target.heapBytes, target.daemons);
  row("router: heap with a full journal of lists", sumOf(steady("heap", "router"), parts("journal", "fullOfLists")),
      "bytes", true, target.heapBytes, target.daemons);
  row("choice of a runner", parts("choice", "cpu"), "us", false, 0, target.runners);
  const auto whole = [&](const char* scenario, const char* measure) {
    return pointsOf(figures, scenario, measure, "");
  };
  row("change of configuration, everywhere", whole("change", "inForceEverywhere"), "ms", true, target.configurationMs,
      target.daemons);
  row("change of configuration, slowest", whole("change", "inForceEverywhereSlowest"), "ms", true,
      target.configurationMs, target.daemons);
  row("power lost, configuration everywhere", whole("power lost", "inForceEverywhere"), "ms", true,
      target.configurationMs, target.daemons);
  for (const auto* scenario : {"founding", "fault", "return", "zone lost", "zone back", "primary lost",
                               "regions parted", "regions joined", "power lost", "change", "list"}) {
    row(fmt::format("{}: most memory of one daemon", scenario), whole(scenario, "mostHeapOfOne"), "bytes", true,
        target.heapBytes, target.daemons);
    row(fmt::format("{}: processor time of the one most busy", scenario), whole(scenario, "mostCpuOfOne"), "ms", false,
        0, target.daemons);
  }
  // The day's events, spread over the day and the daemons; what one sends another receives.
  auto day = whole("change", "bytes");
  for (auto& [x, y] : day) y *= target.changesADay;
  const double comesAndGoes = target.restartsADay + target.faultsADay;
  day = sumOf(day, whole("fault", "bytes"), comesAndGoes);
  day = sumOf(day, whole("return", "bytes"), comesAndGoes);
  day = sumOf(day, whole("list", "bytes"), 2 * comesAndGoes);
  for (auto& [x, y] : day) y *= 2 / (x * 86400);
  row("the day's events, a daemon's mean", day, "bytes/s", true, target.bytesPerS, target.daemons);
  return out;
}

}  // namespace indigohill::hollow
