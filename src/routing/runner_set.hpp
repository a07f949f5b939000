#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kvindex/index.hpp"
#include "routing/ejection.hpp"
#include "routing/health.hpp"
#include "routing/runner_load.hpp"
#include "routing/snapshot.hpp"
#include "routing/token_bucket.hpp"
#include "routing/version_gate.hpp"

// The runners of the current snapshot, each with the state that this router keeps beside its entry.
namespace indigohill::routing {

struct Runner {
  schema::RunnerEntry entry;
  kvindex::RunnerId number = 0;  // its place in the index, for the life of the runner
  std::uint64_t idHash = 0;
  bool listed = true;
  RunnerLoad load;
  base::TimePoint warmupUntil{};  // end of slow start
  TokenBucket slowStart;
  Ejection ejection;
  Suspension suspension;
  Evidence evidence;                  // gathered here when this router is its assessor
  base::TimePoint faultReportedAt{};  // when a fault met here was last reported to the assessors
  VersionGate version;

  // Whether it gets nothing for reasons of health.
  bool unhealthy(base::TimePoint now) const { return ejection.holds(now) || suspension.holds(now); }
};

class RunnerSet {
 public:
  // The runners of a service that requests may go to, side by side for speed.
  struct Candidates {
    std::vector<Runner*> runners;
    std::vector<std::uint64_t> hashes;
  };

  RunnerSet() : snapshot_(std::make_shared<const RoutingSnapshot>()) {}

  // Takes over another snapshot. Returns the numbers of the runners that are gone: neither listed nor in use. A number
  // is not given out again before the next call.
  std::vector<kvindex::RunnerId> update(std::shared_ptr<const RoutingSnapshot> snapshot, base::TimePoint now);
  // Collects the candidates anew after a runner was held back.
  void collectCandidates();

  const std::shared_ptr<const RoutingSnapshot>& snapshot() const { return snapshot_; }
  std::map<std::string, Runner>& all() { return runners_; }
  const std::map<std::string, Runner>& all() const { return runners_; }
  const std::map<std::string, Candidates>& candidates() const { return candidates_; }
  // Null if there is none.
  Runner* find(const std::string& instanceId);
  const Runner* find(const std::string& instanceId) const;
  Runner* byNumber(kvindex::RunnerId number) const { return number < byNumber_.size() ? byNumber_[number] : nullptr; }
  const Candidates* candidatesOf(const std::string& service) const;
  // Whether requests for the service may go there at all; health and load aside.
  bool usable(const Runner& runner, const std::string& service) const {
    const auto& entry = runner.entry;
    return runner.listed && entry.service == service && !entry.draining && !snapshot_->evacuated.contains(entry.zone) &&
           runner.version.heldBack().empty();
  }

 private:
  void number(Runner& runner);
  void list(const schema::RunnerEntry& entry, const RoutingSnapshot& before, base::TimePoint now);

  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<std::string, Runner> runners_;
  std::vector<Runner*> byNumber_;  // null where a number is free
  std::map<std::string, Candidates> candidates_;
};

}  // namespace indigohill::routing
