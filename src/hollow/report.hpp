#pragma once
#include <string>
#include <vector>

#include "hollow/measure.hpp"

// Figures as CSV, as JSON, and as the tables of docs/CAPACITY.md.
namespace indigohill::hollow {

std::string csv(const std::vector<Figure>& figures);
std::string json(const std::vector<Figure>& figures);
// Markdown: every figure of the whole fleet against the sizes, with the line through them.
std::string tables(const std::vector<Figure>& figures);

// What the users expect, and what a daemon may spend for control.
struct Target {
  double daemons = 380, runners = 600;
  double changesADay = 1600, restartsADay = 71, faultsADay = 6;
  double cpuMsPerS = 27, heapBytes = 32e6, bytesPerS = 3000, configurationMs = 4000;
};

// Markdown: each role's figures at the target, from the line through the sizes, beside the budget.
std::string budget(const std::vector<Figure>& figures, const Target& target);

// The least-squares line through points (at least two different x); values that are NaN are left out.
struct Line {
  double start = 0, slope = 0;
};
Line fit(const std::vector<std::pair<double, double>>& points);
// The power of x that the points grow as: the slope of the line through their logarithms.
double power(const std::vector<std::pair<double, double>>& points);

}  // namespace indigohill::hollow
