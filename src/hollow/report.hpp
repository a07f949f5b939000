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

// The least-squares line through points (at least two different x); values that are NaN are left out.
struct Line {
  double start = 0, slope = 0;
};
Line fit(const std::vector<std::pair<double, double>>& points);

}  // namespace indigohill::hollow
