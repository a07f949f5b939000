#include "metrics/exposition.hpp"

#include <prometheus/text_serializer.h>

#include <limits>

namespace indigohill::metrics {

namespace {
constexpr const char* kPrefix = "indigohill_";
}

Family::Family(prometheus::MetricType type, const std::string& name, std::string help) {
  family_.name = kPrefix + name;
  family_.help = std::move(help);
  family_.type = type;
}

Family Family::counter(const std::string& name, std::string help) {
  return {prometheus::MetricType::Counter, name, std::move(help)};
}

Family Family::gauge(const std::string& name, std::string help) {
  return {prometheus::MetricType::Gauge, name, std::move(help)};
}

Family Family::histogram(const std::string& name, std::string help) {
  return {prometheus::MetricType::Histogram, name, std::move(help)};
}

Family Family::with(double value, Labels labels) && {
  add(value, std::move(labels));
  return std::move(*this);
}

void Family::add(double value, Labels labels) {
  prometheus::ClientMetric sample;
  sample.label = std::move(labels);
  if (family_.type == prometheus::MetricType::Counter)
    sample.counter.value = value;
  else
    sample.gauge.value = value;
  family_.metric.push_back(std::move(sample));
}

void Family::add(const base::DurationHistogram& histogram, Labels labels) {
  prometheus::ClientMetric sample;
  sample.label = std::move(labels);
  const auto& bounds = base::DurationHistogram::kBoundsS;
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= bounds.size(); ++i) {
    count += histogram.count(i);
    const double bound = i < bounds.size() ? bounds[i] : std::numeric_limits<double>::infinity();
    sample.histogram.bucket.push_back({count, bound});
  }
  sample.histogram.sample_count = count;
  sample.histogram.sample_sum = histogram.sumS();
  family_.metric.push_back(std::move(sample));
}

std::string Exposition::text() const { return prometheus::TextSerializer().Serialize(families_); }

}  // namespace indigohill::metrics
