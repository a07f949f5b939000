#include "hollow/report.hpp"

#include <fmt/format.h>

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
    boost::json::object o{{"daemons", f.shape.daemons}, {"controllers", f.shape.controllers},
                          {"runners", f.shape.runners}, {"tenants", f.shape.tenants},
                          {"seed", f.shape.seed},       {"scenario", f.scenario},
                          {"measure", f.measure},       {"unit", f.unit},
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
      out += fmt::format(" a {} more |\n| --- | --- | --- |", scenario == "choice" ? "runner" : "daemon");
      for (std::size_t i = 0; i <= sizes[scenario].size(); ++i) out += " --- |";
      out += "\n";
    }
    out += fmt::format("| {} | {} | {} |", row.name, row.unit, row.simulated ? "simulated" : "real");
    std::vector<std::pair<double, double>> points;
    for (const auto& [at, is] : sizes[scenario]) {
      const auto found = row.values.find(at);
      out += found == row.values.end() ? " |" : fmt::format(" {} |", number(found->second));
      if (found != row.values.end()) points.push_back(*found);
    }
    out += fmt::format(" {} |\n", number(fit(points).slope));
  }
  return out;
}

}  // namespace indigohill::hollow
