#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.hpp"

// How many runners a service should have. Target tracking of a metric, as in the horizontal autoscaler of Kubernetes:
// desired = runners x (utilization / target utilization), with a tolerance around the target, a stabilization window
// before runners are taken away, and a limit to how fast their number rises. Since a new runner serves only after its
// boot and slow start, the demand is predicted over that time by double exponential smoothing (Holt).
namespace indigohill::scaling {

// A trend of a measured quantity (Holt's linear method). Units are those of the quantity.
class Trend {
 public:
  void add(double value, base::TimePoint now);
  // The value expected so long after the last measurement; never below 0.
  double predict(base::Clock::duration ahead) const;
  bool isKnown() const { return known_; }

 private:
  double level_ = 0, slope_ = 0;  // slope: per second
  base::TimePoint at_{};
  bool known_ = false;
};

// What is known of a service at one moment.
struct ServiceState {
  std::uint32_t slots = 1;                           // of a runner
  std::uint32_t minInstances = 0, maxInstances = 0;  // in a zone
  base::Millis leadTime{0};                          // until a runner that is ordered now serves at full rate
  double requests = 0;                               // in progress and waiting, over all routers
  bool overloaded = false;                           // requests wait or are rejected
  std::map<std::string, std::uint32_t> runners;      // ready ones, by zone
};

class Autoscaler {
 public:
  struct Options {
    double targetUtilization = 0.5;     // of the slots, on average
    double tolerance = 0.1;             // of the target: within it nothing changes
    base::Millis stabilization{10000};  // runners go only when none of this time wanted them
    base::Millis sustained{2000};       // an overload counts after it has lasted for this
    double overloadGrowth = 0.25;       // runners that are added for an overload, as a part of those there are
  };
  explicit Autoscaler(Options options) : options_(options) {}

  // The number of runners wanted in each zone of the service. To be called with each tick.
  std::map<std::string, std::uint32_t> plan(const ServiceState& state, base::TimePoint now);

 private:
  double demandedRunners(const ServiceState& state, std::uint32_t present, base::TimePoint now);
  std::uint32_t stabilized(std::uint32_t wanted, std::uint32_t present, base::TimePoint now);

  Options options_;
  Trend requests_;
  std::optional<base::TimePoint> overloadedSince_, plannedSince_;
  std::deque<std::pair<base::TimePoint, std::uint32_t>> recent_;  // what was wanted, within the stabilization window
};

}  // namespace indigohill::scaling
