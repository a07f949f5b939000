#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/bounds.hpp"
#include "routing/health.hpp"
#include "routing/retry_budget.hpp"
#include "routing/runner_set.hpp"

// Outlier detection by the routers together: health reports go to a runner's assessors, which suspend it for the
// fleet or for one zone when enough routers agree (see health.hpp).
namespace indigohill::routing {

using RetryBudgets = std::map<std::string, RetryBudget>;  // by service

class SharedHealth {
 public:
  // A health report and the router it is for, by its incarnation; 0: all routers.
  using Addressed = std::pair<std::uint64_t, schema::HealthReport>;

  // `bounds`, `runners` and `budgets` are the table's own and outlive this.
  SharedHealth(std::string zone, const Bounds& bounds, RunnerSet& runners, const RetryBudgets& budgets,
               base::TimePoint startedAt)
      : zone_(std::move(zone)), bounds_(bounds), runners_(runners), budgets_(budgets), startedAt_(startedAt) {}

  // An own request met a fault there.
  void recordFault(Runner& runner, base::TimePoint now);
  // An own request there has had no first byte within its latency target, or has had it.
  void recordLate(const Runner& runner);
  void recordInTime(const Runner& runner, base::TimePoint now);
  void receive(const schema::HealthReport& report, base::TimePoint now);
  // The reports that are due.
  std::vector<Addressed> takeReports();

 private:
  void addEvidence(Runner& runner, const RouterId& reporter, base::TimePoint now);
  double expectedRequests(const std::string& service, std::size_t routers) const;
  bool suspend(Runner& runner, bool byAll, base::TimePoint now);

  std::string zone_;
  const Bounds& bounds_;
  RunnerSet& runners_;
  const RetryBudgets& budgets_;
  base::TimePoint startedAt_;
  std::map<std::string, Lateness> lateness_;                       // by service
  std::map<std::uint64_t, std::set<std::string>> pendingReports_;  // to be reported: assessor, runners
  std::map<std::uint64_t, std::set<std::string>>
      pendingVerdicts_;  // to be sent to all routers: for which zone, runners
};

}  // namespace indigohill::routing
