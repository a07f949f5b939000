#pragma once
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "control/configuration.hpp"
#include "kvindex/index.hpp"
#include "routing/admission.hpp"
#include "routing/bounds.hpp"
#include "routing/cached_prompts.hpp"
#include "routing/decision.hpp"
#include "routing/fleet_size.hpp"
#include "routing/request.hpp"
#include "routing/retry_budget.hpp"
#include "routing/runner_chooser.hpp"
#include "routing/runner_set.hpp"
#include "routing/shared_health.hpp"
#include "routing/slow_start.hpp"
#include "routing/snapshot.hpp"
#include "routing/token_bucket.hpp"
#include "routing/warming_requests.hpp"
#include "schema/messages.hpp"

// The routing table that a router's worker threads share: it decides where a request goes and takes in what is learnt
// of runners. It holds the lock; the parts that it is made of decide. No I/O, the time is an argument. The executor
// (src/proxy) carries its decisions out.
namespace indigohill::routing {

class Table {
 public:
  Table(std::string zone, Bounds bounds, std::uint64_t seed, base::TimePoint startedAt);
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;

  // --- The control side.

  // Every change of the snapshot goes through here; the table keeps its own state of each runner beside it.
  void setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, base::TimePoint now);
  std::shared_ptr<const RoutingSnapshot> snapshot() const;
  void setLease(base::TimePoint until);
  void setBounds(const Bounds& bounds);
  // The number of routers that share a limit, see FleetSize.
  std::size_t routers(base::TimePoint now, base::Millis memory) const;

  // --- Requests.

  // A request has come in for a service: the base of the retry budget.
  void arrived(const std::string& service, base::TimePoint now);
  // Which service of a split a request goes to; the same for the same id.
  static std::string pick(const control::Route& route, std::string_view attemptId);
  // Ranks the runners if the request has no ranking yet, and admits it to one of them.
  Decision decide(RequestProfile& request, base::TimePoint now);
  Decision decide(RequestProfile&& request, base::TimePoint now) { return decide(request, now); }
  // Whether one further attempt may be made now; it is counted if so.
  bool admitRetry(const std::string& service, base::TimePoint now);
  // Requests a second that this router may send to a runner in slow start, besides one in hand; 0: none at all.
  double slowStartShare(const std::string& instanceId, std::string_view zone, const control::Service& service,
                        base::TimePoint now) const;

  // --- Figures for metrics.

  struct RunnerCounts {
    std::size_t serving = 0, warming = 0, draining = 0, unhealthy = 0, heldBack = 0;
    std::uint64_t ownRequests = 0;  // slots that requests of this router hold
  };
  // The listed runners, each counted in the last of these states that it is in.
  RunnerCounts runnerCounts(base::TimePoint now) const;
  // What was admitted to runners in slow start.
  WarmingRequests warmingRequests() const;

  // --- Health of runners.

  void recordResult(const std::string& instanceId, AttemptResult result, base::TimePoint now);
  // A request there has had no first byte for as long as its latency target. Evidence like a failure, but only for the
  // assessors.
  void recordLate(const std::string& instanceId, base::TimePoint now);
  // The first byte of a response came within the latency target.
  void recordInTime(const std::string& instanceId, base::TimePoint now);
  // Whether the routers together hold it to be unhealthy.
  bool suspended(const std::string& instanceId, base::TimePoint now) const;
  // The health reports that are due. Asked at each tick.
  std::vector<SharedHealth::Addressed> takeHealthReports(base::TimePoint now);
  void receive(const schema::HealthReport& report, base::TimePoint now);
  // What the runner reported of its load.
  void reportLoad(const std::string& instanceId, std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                  base::TimePoint now);

  // --- Versions of weights.

  // While a rollout is declared, a runner whose response reported another version than its list entry (none: a mixture)
  // is held back until that entry changes, and one that rejected a request for the listed version for a while.
  void versionMismatched(const std::string& instanceId, std::string_view model, std::optional<std::uint64_t> told);
  void versionRejected(const std::string& instanceId, base::TimePoint now);
  // Which weights the runner has under the model's name, as it reported in a response.
  void setRevision(const std::string& instanceId, std::uint64_t model, std::uint64_t revision);

  // --- Prompt parts kept at runners.

  // A runner has answered this prompt and keeps it now. Long shared parts that it did not keep before are announced.
  void answered(const std::string& instanceId, std::uint64_t model, kvindex::PromptView prompt);
  // A runner keeps this prompt now.
  void stored(const std::string& instanceId, std::uint64_t model, kvindex::PromptView prompt);
  // Where the shared parts of a prompt are expected to be kept; empty without a runner.
  std::string home(const std::string& service, const kvindex::PromptParts& prompt) const;
  // A pool that every runner can fetch from; none here.
  void setSharedPool(std::shared_ptr<kvindex::SharedPool> pool);
  // Another index, empty or filled; none while one is built.
  void setIndex(std::unique_ptr<kvindex::Index> index);
  struct IndexState {
    kvindex::Counters counters;
    std::size_t blocks = 0, bytes = 0;
    std::uint64_t failed = 0;      // look-ups that failed; their requests went by load alone
    std::uint64_t poolFailed = 0;  // the same for the shared pool
    std::uint64_t rankings = 0;    // computed
  };
  IndexState indexState() const;

  // Long prompts are announced to the other routers as they go out and when they have been read. `tell` is called with
  // the table locked: it only hands on.
  void setNoticeSender(std::function<void(const schema::LoadNotice&)> send);
  void receive(const schema::LoadNotice& notice, base::TimePoint now);

 private:
  friend class Admission;

  std::size_t sharers(base::TimePoint now, base::Millis memory) const;
  double slowStartShareLocked(const std::string& instanceId, std::string_view zone, const control::Service& service,
                              base::TimePoint now) const;
  bool admitSlowStart(Runner& runner, const control::Service& service, base::TimePoint now);
  void checkSlowStart(const Runner& runner, const control::Service& service, bool limited, base::TimePoint now) const;
  Decision waitOrReject(const RequestProfile& request, const char* why, base::TimePoint now) const;
  const char* whyNobody(const RequestProfile& request, base::TimePoint now) const;
  PassTo admit(const Choice& choice, const RequestProfile& request, const RunnerChooser::Context& context);
  void applyCapacities();
  void promptRead(const Admission::Charge& charge, std::optional<base::Clock::duration> after);
  void giveBack(const Admission::Charge& charge);

  mutable std::mutex mutex_;  // lock order: docs/design.md, "Threads and locks"
  Bounds bounds_;
  base::TimePoint leaseUntil_{}, startedAt_;
  RunnerSet runners_;
  CachedPrompts cache_;
  RunnerChooser chooser_;
  PrefillSpeed prefillSpeed_;
  RetryBudgets budgets_;
  SharedHealth health_;
  FleetSize fleetSize_;
  mutable SlowStartShares slowStart_;
  WarmingRequests warming_;
  std::function<void(const schema::LoadNotice&)> sendNotice_;
  TokenBucket noticeBudget_{base::TimePoint{}};  // full at the first refill
};

}  // namespace indigohill::routing
