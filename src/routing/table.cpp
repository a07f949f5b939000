#include "routing/table.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "base/invariant.hpp"
#include "routing/rendezvous.hpp"

namespace indigohill::routing {

namespace {
constexpr base::Millis kSlowStartMargin{1000};  // beyond the lease: slow start rates are counted by the second
// How long an admission to a runner in slow start holds: connecting takes its time, and a process may stand still. What
// is sent this late adds a tenth of the rate to a second, which the tenth that is kept back (slow_start.cpp) makes room
// for.
constexpr base::Millis kSlowStartSendTime{100};
constexpr double kNoticeBurst = 5;

base::Invariant warmingRunnerIsLimited("warming_runner_is_limited",
                                       "Nothing is sent to a runner that the list names as warming up, but at its "
                                       "limited rate.");
constexpr double kUnknownServiceRetryAfterS = 0.5;
constexpr base::Millis kDefaultLatencyTarget{1000};
constexpr std::uint32_t kDefaultMaxConnections = 64;

std::uint32_t connectionsPerRouter(const control::Service& service, std::size_t routers) {
  if (service.maxConnections == 0) return kDefaultMaxConnections;
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(service.maxConnections / routers));
}
}  // namespace

void Admission::onFirstToken(base::Clock::duration after) {
  if (table_ == nullptr) return;
  table_->promptRead(charge_, after);
  charge_.promptTokens = 0;
  charge_.announcedAs = 0;
  if (!charge_.parts.empty()) table_->answered(charge_.instanceId, charge_.model, std::exchange(charge_.parts, {}));
}

void Admission::release() {
  if (auto* table = std::exchange(table_, nullptr)) table->giveBack(charge_);
}

Table::Table(std::string zone, Bounds bounds, std::uint64_t seed, base::TimePoint startedAt)
    : bounds_(bounds),
      startedAt_(startedAt),
      cache_(bounds.indexBytes),
      chooser_(zone, runners_, cache_, seed),
      health_(std::move(zone), bounds_, runners_, budgets_, startedAt) {}

std::shared_ptr<const RoutingSnapshot> Table::snapshot() const {
  const std::lock_guard lock(mutex_);
  return runners_.snapshot();
}

void Table::setLease(base::TimePoint until) {
  const std::lock_guard lock(mutex_);
  leaseUntil_ = until;
}

void Table::setBounds(const Bounds& bounds) {
  bool resized;
  {
    const std::lock_guard lock(mutex_);
    resized = bounds.indexBytes != bounds_.indexBytes;
    bounds_ = bounds;
    if (resized) cache_.setIndex(nullptr);
  }
  // Built outside the lock: until then, requests go by load alone.
  if (resized) setIndex(std::make_unique<kvindex::Index>(bounds.indexBytes));
}

void Table::setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto before = runners_.snapshot();
  const auto& after = *snapshot;
  if (after.view && !before->view) fleetSize_.joined(now);
  const auto members = after.view ? routersOf(*after.view) : Routers{};
  const bool otherView = after.view.has_value() != before->view.has_value() || after.self != before->self ||
                         (after.view && after.view->number != before->view->number);
  if (otherView) slowStart_.delivered(members, after.self, now);
  if (!after.proposed.empty()) slowStart_.proposed(after.proposed);
  // A larger group counts from the moment its extension is acknowledged: the newcomer may have its part before the
  // commit arrives here. Nobody asks further back than what is kept.
  fleetSize_.record(std::max(members.size(), after.proposed.size()),
                    2 * (bounds_.retryWindow + bounds_.lease) + kSlowStartMargin, now);
  for (const auto gone : runners_.update(std::move(snapshot), now))
    if (cache_.index() != nullptr) cache_.index()->clear(gone);
  cache_.rebuildIfSpoilt(bounds_.indexBytes);
  applyCapacities();
}

// Tells the index how much each runner keeps.
void Table::applyCapacities() {
  if (cache_.index() == nullptr) return;
  for (const auto& [name, candidates] : runners_.candidates()) {
    const auto* service = runners_.snapshot()->service(name);
    if (service == nullptr) continue;
    for (const auto* runner : candidates.runners) cache_.index()->setCapacity(runner->number, service->kvCacheTokens);
  }
}

void Table::setSharedPool(std::shared_ptr<kvindex::SharedPool> pool) {
  const std::lock_guard lock(mutex_);
  cache_.setSharedPool(std::move(pool));
}

void Table::setIndex(std::unique_ptr<kvindex::Index> index) {
  const std::lock_guard lock(mutex_);
  cache_.setIndex(std::move(index));
  applyCapacities();
}

void Table::setRevision(const std::string& instanceId, std::uint64_t model, std::uint64_t revision) {
  const std::lock_guard lock(mutex_);
  const auto* runner = runners_.find(instanceId);
  if (runner != nullptr && cache_.index() != nullptr) cache_.index()->setRevision(runner->number, model, revision);
}

void Table::stored(const std::string& instanceId, std::uint64_t model, kvindex::PromptView prompt) {
  const std::lock_guard lock(mutex_);
  if (const auto* runner = runners_.find(instanceId)) cache_.store(runner->number, model, prompt);
}

void Table::answered(const std::string& instanceId, std::uint64_t model, kvindex::PromptView prompt) {
  const std::lock_guard lock(mutex_);
  const auto* runner = runners_.find(instanceId);
  if (runner == nullptr) return;
  const auto shared = sharedParts(prompt);
  std::uint64_t sharedTokens = 0;
  for (const auto& [part, tokens] : shared) sharedTokens += tokens;
  // One router sees a small part of the traffic, so its own record alone says little. What is short is cheaper read
  // again than announced.
  const bool isWorthAnnouncing = sendNotice_ && cache_.index() != nullptr &&
                                 static_cast<double>(sharedTokens) >= bounds_.policy.recordTokens &&
                                 cache_.index()->overlap(runner->number, model, shared).tokens < sharedTokens;
  cache_.store(runner->number, model, prompt);
  if (!isWorthAnnouncing || !noticeBudget_.take()) return;
  schema::LoadNotice notice{instanceId, 0, 0, model, {}};
  for (const auto& [id, tokens] : shared) notice.parts.push_back({id, tokens});
  sendNotice_(notice);
}

std::string Table::home(const std::string& service, const kvindex::PromptParts& prompt) const {
  const std::lock_guard lock(mutex_);
  const auto* candidates = runners_.candidatesOf(service);
  if (candidates == nullptr) return {};
  const auto first = places(sharedKey(prompt), candidates->hashes, 1);
  return first.empty() ? std::string() : candidates->runners[first.front()]->entry.instanceId;
}

Table::IndexState Table::indexState() const {
  const std::lock_guard lock(mutex_);
  IndexState state;
  if (const auto* index = cache_.index()) state = {index->counters(), index->blocks(), index->bytes()};
  state.failed = cache_.failures();
  state.poolFailed = cache_.sharedPoolFailures();
  state.rankings = chooser_.rankings();
  return state;
}

void Table::arrived(const std::string& service, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  budgets_[service].countRequest(now, bounds_.retryWindow);
}

std::string Table::pick(const control::Route& route, std::string_view attemptId) {
  if (route.split.size() == 1) return route.split.front().first;
  std::uint64_t sum = 0;
  for (const auto& [service, weight] : route.split) sum += weight;
  auto at = base::hash(attemptId) % sum;
  for (const auto& [service, weight] : route.split) {
    if (at < weight) return service;
    at -= weight;
  }
  return route.split.back().first;
}

std::size_t Table::routers(base::TimePoint now, base::Millis memory) const {
  const std::lock_guard lock(mutex_);
  return fleetSize_.largest(now, memory);
}

// By how many a limit is divided; at least 1.
std::size_t Table::sharers(base::TimePoint now, base::Millis memory) const {
  return std::max<std::size_t>(1, fleetSize_.largest(now, memory));
}

bool Table::admitRetry(const std::string& service, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  // Further attempts rest on the view: none without a lease.
  if (now >= leaseUntil_) return false;
  // The slack is split between the routers. A process that has just started cannot know what its last life used of it,
  // and leaves it alone for one window.
  const bool seasoned = now - startedAt_ >= bounds_.retryWindow;
  const auto routers = fleetSize_.largest(now, bounds_.retryWindow + bounds_.lease);
  return budgets_[service].admitRetry(bounds_, seasoned ? slackShare(bounds_, routers) : 0, now);
}

double Table::slowStartShare(const std::string& instanceId, std::string_view zone, const control::Service& service,
                             base::TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return slowStartShareLocked(instanceId, zone, service, now);
}

double Table::slowStartShareLocked(const std::string& instanceId, std::string_view zone,
                                   const control::Service& service, base::TimePoint now) const {
  // Nothing without a lease, and nothing to one that has just joined: it does not know whom it shares with.
  const auto memory = bounds_.lease + kSlowStartMargin;
  if (now >= leaseUntil_ || !runners_.snapshot()->view || fleetSize_.joinedWithin(now, memory)) return 0;
  return slowStart_.rate(instanceId, zone, service, bounds_, memory, now);
}

// The rate of a runner in slow start is held by a few routers; each keeps to its part of it with one in hand.
bool Table::admitSlowStart(Runner& runner, const control::Service& service, base::TimePoint now) {
  const double rate = slowStartShareLocked(runner.entry.instanceId, runner.entry.zone, service, now);
  if (rate <= 0) return false;
  runner.slowStart.refill(rate, 1, now);
  const bool taken = runner.slowStart.take();
  warming_.onAsked(runner.entry.instanceId, rate, taken, now);
  return taken;
}

// By the list alone, and not by what was made of it.
void Table::checkSlowStart(const Runner& runner, const control::Service& service, bool limited,
                           base::TimePoint now) const {
  const auto warmUntil = runners_.snapshot()->runnersReceivedAt + base::Millis(runner.entry.warmupLeftMs);
  const bool warming = service.warmupPerS > 0 && runner.entry.warmupLeftMs > 0 && warmUntil > now;
  warmingRunnerIsLimited.check(limited || !warming, [&](base::LogEvent event) {
    return std::move(event).with("runner", runner.entry.instanceId).with("warmupLeftMs", runner.entry.warmupLeftMs);
  });
}

// Why a request has no runner to go to.
const char* Table::whyNobody(const RequestProfile& request, base::TimePoint now) const {
  bool heldBack = false;
  for (const auto& [id, runner] : runners_.all()) {
    const bool usable = runners_.usable(runner, request.service);
    if (usable && RunnerChooser::versionFits(runner, request, now)) return "no runner left to try";
    heldBack = heldBack || usable ||
               (runner.listed && runner.entry.service == request.service && !runner.version.heldBack().empty());
  }
  return heldBack ? "no runner with a snapshot that may serve" : "no runner";
}

// A request waits for part of its aim, then it is rejected.
Decision Table::waitOrReject(const RequestProfile& request, const char* why, base::TimePoint now) const {
  const auto& policy = bounds_.policy;
  const auto aim = request.route->targetLatency.count() > 0 ? request.route->targetLatency : kDefaultLatencyTarget;
  const base::Millis part(static_cast<std::int64_t>(policy.waitShare * static_cast<double>(aim.count())));
  const auto until = std::min(request.arrivedAt + part, request.deadline);
  if (now >= until) return Reject{503, policy.retryAfterS, why};
  return Wait{until};
}

Decision Table::decide(RequestProfile& request, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto* service = runners_.snapshot()->service(request.service);
  if (service == nullptr) return Reject{503, kUnknownServiceRetryAfterS, "service unknown"};
  const auto routers = sharers(now, bounds_.lease);
  // What each router may send is its share of what each may receive.
  const double noticesPerS = bounds_.policy.toldPerS / static_cast<double>(routers);
  noticeBudget_.refill(noticesPerS, std::max(kNoticeBurst, noticesPerS), now);
  const auto* candidates = runners_.candidatesOf(request.service);
  if (candidates == nullptr) return waitOrReject(request, whyNobody(request, now), now);
  const RunnerChooser::Context context{
      bounds_, service->kvCacheTokens > 0, routers, connectionsPerRouter(*service, routers), prefillSpeed_, now};
  const auto choices = chooser_.choices(request, *candidates, context);
  if (choices.empty()) return waitOrReject(request, whyNobody(request, now), now);
  for (const auto& choice : choices) {
    if (RunnerChooser::full(choice, context)) continue;
    const bool limited = service->warmupPerS > 0 && choice.runner->warmupUntil > now;
    if (limited && !admitSlowStart(*choice.runner, *service, now)) continue;
    checkSlowStart(*choice.runner, *service, limited, now);
    auto target = admit(choice, request, context);
    if (limited) target.sendBy = now + kSlowStartSendTime;
    return target;
  }
  return waitOrReject(request, "every runner is full", now);
}

// Charges the runner with the request.
PassTo Table::admit(const Choice& choice, const RequestProfile& request, const RunnerChooser::Context& context) {
  auto& runner = *choice.runner;
  const auto& entry = runner.entry;
  const auto unread = choice.uncachedTokens != 0 ? choice.uncachedTokens : request.promptTokens;
  runner.load.admit(unread);
  runner.ejection.admitted(context.now);
  Admission::Charge charge{entry.instanceId, unread, 0, request.model,
                           context.engine ? request.prompt : kvindex::PromptParts{}};
  if (context.engine && sendNotice_ && unread >= bounds_.policy.tellTokens && noticeBudget_.take()) {
    charge.announcedAs = chooser_.random()() | 1;
    sendNotice_({entry.instanceId, charge.announcedAs, unread, 0, {}});
  }
  auto version = request.version;
  if (!version && runners_.snapshot()->rolloutOf(request.service) != nullptr)
    version = runner.version.snapshot().version(request.modelName);
  return {entry.instanceId,
          {entry.ip, entry.port},
          entry.zone,
          context.connections,
          Admission(this, std::move(charge)),
          runner.version.snapshot(),
          version};
}

Table::RunnerCounts Table::runnerCounts(base::TimePoint now) const {
  const std::lock_guard lock(mutex_);
  RunnerCounts counts;
  for (const auto& [id, runner] : runners_.all()) {
    counts.ownRequests += runner.load.ownRequests();
    if (!runner.listed) continue;
    if (!runner.version.heldBack().empty())
      ++counts.heldBack;
    else if (runner.unhealthy(now))
      ++counts.unhealthy;
    else if (runner.entry.draining)
      ++counts.draining;
    else if (runner.warmupUntil > now)
      ++counts.warming;
    else
      ++counts.serving;
  }
  return counts;
}

WarmingRequests Table::warmingRequests() const {
  const std::lock_guard lock(mutex_);
  return warming_;
}

void Table::setNoticeSender(std::function<void(const schema::LoadNotice&)> send) {
  const std::lock_guard lock(mutex_);
  sendNotice_ = std::move(send);
}

void Table::receive(const schema::LoadNotice& notice, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  auto* runner = runners_.find(notice.instanceId);
  if (runner == nullptr) return;
  if (notice.parts.empty()) {
    runner->load.announce(notice.id, notice.tokens, now);
    return;
  }
  kvindex::PromptParts parts;
  for (const auto& part : notice.parts) parts.push_back({part.id, part.tokens});
  cache_.store(runner->number, notice.model, parts);
}

void Table::promptRead(const Admission::Charge& charge, std::optional<base::Clock::duration> after) {
  const std::lock_guard lock(mutex_);
  auto* runner = runners_.find(charge.instanceId);
  if (runner == nullptr) return;
  if (after) prefillSpeed_.record(charge.promptTokens, runner->load.ownUnreadTokens(), *after);
  runner->load.promptRead(charge.promptTokens);
  if (charge.announcedAs != 0 && sendNotice_) sendNotice_({charge.instanceId, charge.announcedAs, 0, 0, {}});
}

void Table::giveBack(const Admission::Charge& charge) {
  promptRead(charge, std::nullopt);
  const std::lock_guard lock(mutex_);
  auto* runner = runners_.find(charge.instanceId);
  if (runner == nullptr) return;
  runner->load.requestEnded();
  runner->ejection.ended();
}

void Table::recordResult(const std::string& instanceId, AttemptResult result, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  auto* runner = runners_.find(instanceId);
  if (runner == nullptr) return;
  if (result == AttemptResult::Failure) {
    health_.recordFault(*runner, now);
    runner->ejection.failed(bounds_.policy.ejectMs, now);
    return;
  }
  // Rejected where there is room: a runner that is unhealthy this way looks idle and draws more and more.
  if (result == AttemptResult::Rejected && runner->load.requests(now) < runner->entry.slots)
    health_.recordFault(*runner, now);
  runner->ejection.succeeded();
}

void Table::recordLate(const std::string& instanceId, base::TimePoint) {
  const std::lock_guard lock(mutex_);
  if (const auto* runner = runners_.find(instanceId)) health_.recordLate(*runner);
}

void Table::recordInTime(const std::string& instanceId, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (const auto* runner = runners_.find(instanceId)) health_.recordInTime(*runner, now);
}

bool Table::suspended(const std::string& instanceId, base::TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto* runner = runners_.find(instanceId);
  return runner != nullptr && runner->suspension.holds(now);
}

std::vector<SharedHealth::Addressed> Table::takeHealthReports(base::TimePoint) {
  const std::lock_guard lock(mutex_);
  return health_.takeReports();
}

void Table::receive(const schema::HealthReport& report, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  health_.receive(report, now);
}

void Table::reportLoad(const std::string& instanceId, std::uint32_t running, std::uint32_t waiting, std::uint32_t,
                       base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (auto* runner = runners_.find(instanceId)) runner->load.report(running, waiting, now);
}

void Table::versionMismatched(const std::string& instanceId, std::string_view model,
                              std::optional<std::uint64_t> told) {
  const std::lock_guard lock(mutex_);
  auto* runner = runners_.find(instanceId);
  if (runner == nullptr || runners_.snapshot()->rolloutOf(runner->entry.service) == nullptr) return;
  if (runner->version.mismatched(model, told)) runners_.collectCandidates();
}

void Table::versionRejected(const std::string& instanceId, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  auto* runner = runners_.find(instanceId);
  if (runner == nullptr || runners_.snapshot()->rolloutOf(runner->entry.service) == nullptr) return;
  runner->version.rejected(bounds_.policy.ejectMs, now);
}

}  // namespace indigohill::routing
