#pragma once
#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

#include "base/metrics.hpp"

// Prometheus' text format (version 0.0.4), written by prometheus-cpp. The one place that knows that library.
namespace indigohill::metrics {

using Labels = std::vector<prometheus::ClientMetric::Label>;

// The samples of one name. Names follow Prometheus' conventions: base units, `_total` for what only rises.
class Family {
 public:
  // `name` without the program's prefix.
  static Family counter(const std::string& name, std::string help);
  static Family gauge(const std::string& name, std::string help);
  static Family histogram(const std::string& name, std::string help);

  Family with(double value, Labels labels = {}) &&;
  void add(double value, Labels labels = {});
  // For a family of histograms.
  void add(const base::DurationHistogram& histogram, Labels labels = {});

 private:
  friend class Exposition;
  Family(prometheus::MetricType type, const std::string& name, std::string help);

  prometheus::MetricFamily family_;
};

// All families of one answer.
class Exposition {
 public:
  void add(Family family) { families_.push_back(std::move(family.family_)); }
  std::string text() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace indigohill::metrics
