// indigohill-hollow: measures how the control side grows, on many hollow daemons in one process (docs/CAPACITY.md).
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>

#include "hollow/report.hpp"

namespace hollow = indigohill::hollow;
using indigohill::base::Millis;

namespace {

bool write(const std::string& path, const std::string& text) {
  if (path.empty()) return true;
  if (path == "-") {
    std::cout << text;
    return true;
  }
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  out.flush();
  if (out.good()) return true;
  std::cerr << "indigohill-hollow: " << path << " cannot be written\n";
  return false;
}

// "380:600:820:6": daemons, runners, tenants, controllers among the daemons.
bool parseSize(const std::string& text, hollow::Shape& shape) {
  char colon[3] = {};
  std::istringstream in(text);
  in >> shape.daemons >> colon[0] >> shape.runners >> colon[1] >> shape.tenants >> colon[2] >> shape.controllers;
  return in && in.eof() && std::string(colon, 3) == ":::" && shape.controllers >= 1 &&
         shape.daemons > shape.controllers && shape.daemons < 1000 && shape.runners >= 1 && shape.tenants >= 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"indigohill-hollow: messages, bytes, processor time and memory of many hollow daemons"};
  std::vector<std::string> sizes{"11:9:24:3", "88:89:190:6", "200:316:432:6", "380:600:820:6"};
  std::string csvPath, jsonPath, tablesPath = "-";
  hollow::Shape base;
  hollow::Course course;
  std::size_t choices = 2000, losses = 2;
  std::uint64_t steadyS = 20, partedS = 30;
  app.add_option("--size", sizes, "daemons:runners:tenants:controllers, several; controllers are among the daemons")
      ->capture_default_str();
  app.add_option("--seed", base.seed, "seed of everything drawn by lot")->capture_default_str();
  app.add_option("--losses", losses, "machines with a disk that may be lost at once; fewer where controllers are few")
      ->capture_default_str();
  app.add_option("--loss", base.loss, "share of packets lost")->capture_default_str()->check(CLI::Range(0.0, 0.5));
  app.add_option("--linkMbps", base.linkMbps, "what a machine's link carries outwards")
      ->capture_default_str()
      ->check(CLI::Range(0.1, 1e6));
  app.add_option("--steadyS", steadyS, "simulated seconds of the steady state")
      ->capture_default_str()
      ->check(CLI::Range(1, 600));
  app.add_option("--partedS", partedS, "simulated seconds that the regions are parted")
      ->capture_default_str()
      ->check(CLI::Range(1, 7200));
  app.add_option("--repeats", course.repeats, "changes, list changes and faults at each size")
      ->capture_default_str()
      ->check(CLI::Range(1, 100));
  app.add_option("--choices", choices, "choices of a runner at each size")
      ->capture_default_str()
      ->check(CLI::Range(1, 10'000'000));
  app.add_option("--csv", csvPath, "where the figures go as CSV; - is standard output");
  app.add_option("--json", jsonPath, "where they go as JSON");
  app.add_option("--tables", tablesPath, "where the tables go")->capture_default_str();
  app.footer("Simulated figures are the same for the same seed; real ones (processor time) are of this machine.");
  CLI11_PARSE(app, argc, argv);
  course.steady = Millis(1000 * steadyS);
  course.parted = Millis(1000 * partedS);

  std::vector<hollow::Figure> figures;
  for (const auto& size : sizes) {
    auto shape = base;
    if (!parseSize(size, shape)) {
      std::cerr << "indigohill-hollow: --size " << size << ": daemons:runners:tenants:controllers is wanted\n";
      return 2;
    }
    // 2f + 1 voters; three controllers bear the loss of one.
    shape.faultTolerance = std::min(losses, (shape.controllers - 1) / 2);
    course.say = [&](const std::string& what) { std::cerr << size << " " << what << "\n"; };
    for (auto& figure : hollow::measureFleet(shape, course)) figures.push_back(std::move(figure));
    for (auto& figure : hollow::measureRouter(shape, choices)) figures.push_back(std::move(figure));
  }
  const bool written = write(csvPath, hollow::csv(figures)) && write(jsonPath, hollow::json(figures)) &&
                       write(tablesPath, hollow::budget(figures, hollow::Target{}) + hollow::tables(figures));
  return written ? 0 : 1;
}
