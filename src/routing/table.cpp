#include "routing/table.hpp"

#include <algorithm>
#include <cmath>

#include "base/hash.hpp"
#include "base/log.hpp"
#include "membership/group.hpp"
#include "routing/rendezvous.hpp"

namespace indigohill::routing {

namespace {
constexpr base::Millis kBucket{250};
constexpr base::Millis kReportLife{2000};  // a told load counts less and less over this
constexpr std::uint32_t kFaultsToEject = 2;
constexpr std::uint32_t kEjectDoublings = 3;
constexpr std::uint32_t kLongPrompt = 2000;  // tokens from which a prompt tells how fast an engine reads
constexpr base::Millis kWarmMargin{1000};    // beyond the lease: cold runners' rates are counted by the second
constexpr base::Millis kToldLife{3000};
constexpr std::size_t kToldMost = 256;
constexpr base::Millis kTellAgain{1000};  // trouble at one runner is told no more often than this
constexpr const char* kContradicted = "its answers are of another version";

constexpr std::size_t kOverlaps = 8;  // runners that the index is asked for
constexpr std::size_t kPlaces = 8;    // of the rendezvous order
}  // namespace

const control::Route* RoutingSnapshot::route(std::string_view host, std::string_view path) const {
  std::string name(host.substr(0, host.find(':')));
  for (auto& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  const auto found = byHost.find(name);
  if (found == byHost.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const auto* route : found->second)
    if (path.starts_with(route->prefix)) return route;
  return nullptr;
}

void fold(RoutingSnapshot& snapshot, const Event& event) {
  if (const auto* state = std::get_if<StateReceived>(&event)) {
    if (state->version < snapshot.stateVersion) return;
    snapshot.stateVersion = state->version;
    snapshot.configuration = state->configuration;
    snapshot.evacuated = {state->evacuated.begin(), state->evacuated.end()};
    snapshot.rollouts.clear();
    for (const auto& rollout : state->rollouts) snapshot.rollouts.emplace(rollout.service, rollout);
    snapshot.byHost.clear();
    if (!snapshot.configuration) return;
    for (const auto& route : snapshot.configuration->routes) snapshot.byHost[route.host].push_back(&route);
    for (auto& [host, routes] : snapshot.byHost)
      std::stable_sort(routes.begin(), routes.end(),
                       [](const auto* a, const auto* b) { return a->prefix.size() > b->prefix.size(); });
  } else if (const auto* runners = std::get_if<RunnersReceived>(&event)) {
    if (snapshot.hasRunners && runners->version < snapshot.runnersVersion) return;
    snapshot.runnersVersion = runners->version;
    snapshot.runners = runners->runners;
    snapshot.listedAt = runners->listedAt;
    snapshot.hasRunners = true;
  } else if (const auto* view = std::get_if<ViewReceived>(&event)) {
    snapshot.view = view->view;
    snapshot.self = view->self;
  } else if (const auto* proposal = std::get_if<ProposalReceived>(&event)) {
    snapshot.proposed = proposal->routers;
  }
}

void Admission::begun(base::Clock::duration after) {
  if (table_ == nullptr) return;
  table_->promptRead(instanceId_, std::exchange(prompt_, 0), std::exchange(told_, 0), after);
  if (!parts_.empty()) table_->answered(instanceId_, model_, std::exchange(parts_, {}));
}

void Admission::release() {
  if (auto* table = std::exchange(table_, nullptr)) table->giveBack(instanceId_, prompt_, told_);
}

Table::Table(std::string zone, Bounds bounds, std::uint64_t seed, base::TimePoint startedAt)
    : zone_(std::move(zone)),
      bounds_(bounds),
      snapshot_(std::make_shared<const RoutingSnapshot>()),
      index_(std::make_unique<kvindex::Index>(bounds.indexBytes)),
      startedAt_(startedAt),
      random_(seed) {}

std::shared_ptr<const RoutingSnapshot> Table::snapshot() const {
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

void Table::setLease(base::TimePoint until) {
  const std::lock_guard lock(mutex_);
  leaseUntil_ = until;
}

void Table::setBounds(const Bounds& bounds) {
  bool another;
  {
    const std::lock_guard lock(mutex_);
    another = bounds.indexBytes != bounds_.indexBytes;
    bounds_ = bounds;
    if (another) index_.reset();
  }
  // Built outside the lock: until then, requests go by load alone.
  if (another) setIndex(std::make_unique<kvindex::Index>(bounds.indexBytes));
}

void Table::setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto before = std::exchange(snapshot_, std::move(snapshot));
  if (snapshot_->view && !before->view) viewSince_ = now;
  // A larger group counts from the moment its extension is acknowledged: the newcomer may have its part before the
  // commit arrives here.
  const auto members = snapshot_->view ? routersOf(*snapshot_->view) : Routers{};
  const auto routers = std::max(members.size(), snapshot_->proposed.size());
  const bool another = snapshot_->view.has_value() != before->view.has_value() || snapshot_->self != before->self ||
                       (snapshot_->view && snapshot_->view->number != before->view->number);
  if (another) warm_.delivered(members, snapshot_->self, now);
  if (!snapshot_->proposed.empty()) warm_.proposed(snapshot_->proposed);
  if (routers > 0 && (routerCounts_.empty() || routerCounts_.back().second != routers))
    routerCounts_.emplace_back(now, routers);
  // Nobody asks further back than this.
  while (routerCounts_.size() > 1 &&
         now - routerCounts_[1].first >= 2 * (bounds_.retryWindow + bounds_.lease) + kWarmMargin)
    routerCounts_.pop_front();
  for (auto& [id, runner] : runners_) runner.listed = false;
  for (const auto& entry : snapshot_->runners) {
    const auto [found, added] = runners_.try_emplace(entry.instanceId);
    auto& runner = found->second;
    if (added) {
      runner.entry = entry;
      number(runner);
    }
    runner.listed = true;
    const bool newsOfIt = snapshot_->runnersVersion != before->runnersVersion;
    runner.entry = entry;
    judge(runner, *before);
    // The list was read before it came here and lags by itself; what is left is counted from now, on the safe side.
    if (newsOfIt && entry.warmupLeftMs > 0)
      runner.coldUntil = std::max(runner.coldUntil, now + base::Millis(entry.warmupLeftMs));
    // Taken back from an evacuation, runners may have turned cold.
    if (before->evacuated.contains(entry.zone) && !snapshot_->evacuated.contains(entry.zone) &&
        snapshot_->configuration)
      if (const auto* service = snapshot_->configuration->service(entry.service))
        runner.coldUntil = std::max(runner.coldUntil, now + service->warmup);
  }
  std::erase_if(runners_, [this](const auto& item) {
    const bool gone = !item.second.listed && item.second.own == 0;
    if (gone) forget(item.second);
    return gone;
  });
  if (std::exchange(remake_, false)) index_ = std::make_unique<kvindex::Index>(bounds_.indexBytes);
  makePools();
}

void Table::makePools() {
  pools_.clear();
  for (auto& [id, runner] : runners_)
    if (usable(runner, runner.entry.service)) {
      auto& pool = pools_[runner.entry.service];
      pool.runners.push_back(&runner);
      pool.hashes.push_back(runner.idHash);
      if (const auto* service =
              snapshot_->configuration ? snapshot_->configuration->service(runner.entry.service) : nullptr)
        if (index_) index_->setCapacity(runner.number, service->kvCacheTokens);
    }
}

// A number for a runner's life: its place in the index. A new life has a new instance id and so an empty place.
void Table::number(Runner& runner) {
  runner.idHash = base::hash(runner.entry.instanceId);
  const auto free = std::find(byNumber_.begin(), byNumber_.end(), nullptr);
  runner.number = static_cast<kvindex::RunnerId>(free - byNumber_.begin());
  if (free == byNumber_.end()) {
    byNumber_.push_back(&runner);
    seenIn_.push_back(0);
  } else {
    *free = &runner;
  }
}

void Table::forget(const Runner& runner) {
  byNumber_[runner.number] = nullptr;
  if (index_) index_->clear(runner.number);
}

const Table::Pool* Table::poolOf(const std::string& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? nullptr : &found->second;
}

Table::Runner* Table::ranked(const Ranked& ranked) const {
  auto* runner = ranked.runner < byNumber_.size() ? byNumber_[ranked.runner] : nullptr;
  return runner != nullptr && runner->idHash == ranked.idHash ? runner : nullptr;
}

void Table::setSharedPool(std::shared_ptr<kvindex::SharedPool> pool) {
  const std::lock_guard lock(mutex_);
  shared_ = std::move(pool);
}

void Table::setIndex(std::unique_ptr<kvindex::Index> index) {
  const std::lock_guard lock(mutex_);
  index_ = std::move(index);
  if (index_ && snapshot_->configuration)
    for (const auto& [name, pool] : pools_)
      if (const auto* service = snapshot_->configuration->service(name))
        for (const auto* runner : pool.runners) index_->setCapacity(runner->number, service->kvCacheTokens);
}

void Table::setRevision(const std::string& instanceId, std::uint64_t model, std::uint64_t revision) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found != runners_.end() && index_) index_->setRevision(found->second.number, model, revision);
}

void Table::stored(const std::string& instanceId, std::uint64_t model, kvindex::Chain prompt) {
  const std::lock_guard lock(mutex_);
  if (const auto found = runners_.find(instanceId); found != runners_.end()) store(found->second, model, prompt);
}

void Table::store(const Runner& runner, std::uint64_t model, kvindex::Chain prompt) {
  if (!index_) return;
  try {
    index_->store(runner.number, model, prompt);
  } catch (const std::exception& error) {
    // What an interrupted store leaves is not to be trusted.
    lookUpFailed(error.what());
    index_.reset();
    remake_ = true;
  }
}

void Table::answered(const std::string& instanceId, std::uint64_t model, kvindex::Chain prompt) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  const auto shared = sharedParts(prompt);
  std::uint64_t tokens = 0;
  for (const auto& part : shared) tokens += part.second;
  // One router sees a small part of the traffic, so its own record alone says little. What is short is cheaper read
  // again than told.
  const bool news = tell_ && index_ && static_cast<double>(tokens) >= bounds_.policy.recordTokens &&
                    index_->overlap(found->second.number, model, shared).tokens < tokens;
  store(found->second, model, prompt);
  if (!news || !mayTell()) return;
  schema::LoadNotice record{instanceId, 0, 0, model, {}};
  for (const auto& [id, count] : shared) record.parts.push_back({id, count});
  tell_(record);
}

// What each router may tell is its part of what each may be told.
bool Table::mayTell() {
  if (tellings_ < 1) return false;
  tellings_ -= 1;
  return true;
}

// The request goes on by load alone. Said once: where one fails, many do.
void Table::lookUpFailed(const char* what) {
  if (failedLookUps_++ == 0) spdlog::warn("look-up of kept prompt parts failed, routing by load alone: {}", what);
}

std::vector<kvindex::Overlap> Table::overlaps(const RequestProfile& asked) {
  try {
    if (!index_) throw std::runtime_error("the index is being built anew");
    auto found = index_->match(asked.model, asked.prompt, kOverlaps);
    if (const auto* bad = base::errorIn(found)) throw std::runtime_error(bad->what);
    return std::get<0>(std::move(found));
  } catch (const std::exception& error) {
    lookUpFailed(error.what());
    return {};
  }
}

// Prompt tokens that any runner can fetch from the shared pool, if there is one.
double Table::pooledTokens(const RequestProfile& asked) {
  if (!shared_) return 0;
  try {
    const auto held = shared_->held(asked.model, asked.prompt);
    if (const auto* bad = base::errorIn(held)) throw std::runtime_error(bad->what);
    return static_cast<double>(std::get<0>(held));
  } catch (const std::exception& error) {
    if (failedPool_++ == 0) spdlog::warn("shared pool not asked, scoring by the index alone: {}", error.what());
    return 0;
  }
}

Table::IndexState Table::indexState() const {
  const std::lock_guard lock(mutex_);
  IndexState out;
  if (index_) out = {index_->counters(), index_->blocks(), index_->bytes()};
  out.failed = failedLookUps_;
  out.poolFailed = failedPool_;
  out.rankings = rankings_;
  return out;
}

void Table::Window::expire(base::TimePoint now, base::Millis window) {
  while (!buckets.empty() && now - buckets.front().first >= window) {
    sum -= buckets.front().second;
    buckets.pop_front();
  }
}

void Table::Window::add(base::TimePoint now, base::Millis window) {
  expire(now, window);
  if (buckets.empty() || now - buckets.back().first >= kBucket) buckets.emplace_back(now, 0);
  ++buckets.back().second;
  ++sum;
}

void Table::arrived(const std::string& service, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  budgets_[service].requests.add(now, bounds_.retryWindow);
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

// The largest number of routers that any view of the last `memory` held. A daemon's share thus shrinks at once when
// the group grows, and grows only after every daemon that was left out has lost its lease.
std::size_t Table::routersLocked(base::TimePoint now, base::Millis memory) const {
  // One that has just joined does not know how large the group was before: it has no part until every lease of that
  // time has lapsed.
  if (routerCounts_.empty() || now - viewSince_ < memory) return 0;
  std::size_t most = routerCounts_.back().second;
  for (std::size_t i = 0; i + 1 < routerCounts_.size(); ++i)
    if (now - routerCounts_[i + 1].first < memory) most = std::max(most, routerCounts_[i].second);
  return std::max<std::size_t>(1, most);
}

std::size_t Table::routers(base::TimePoint now, base::Millis memory) const {
  const std::lock_guard lock(mutex_);
  return routersLocked(now, memory);
}

double slackShare(const Bounds& bounds, std::size_t routers) {
  // A fifth is kept back for what daemons that were killed had used.
  return routers == 0 ? 0 : 0.8 * bounds.retrySlack / static_cast<double>(routers);
}

bool Table::admitRetry(const std::string& service, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  // Further tries rest on the view: none without a lease.
  if (now >= leaseUntil_) return false;
  auto& budget = budgets_[service];
  budget.requests.expire(now, bounds_.retryWindow);
  budget.tries.expire(now, bounds_.retryWindow);
  const auto routers = routersLocked(now, bounds_.retryWindow + bounds_.lease);
  // The ratio counts this daemon's own requests, which adds up over daemons by itself. The slack is split. A process
  // that has just started cannot know what its last life used of it, and leaves it alone for one window.
  const bool seasoned = now - startedAt_ >= bounds_.retryWindow;
  const double slack = seasoned ? slackShare(bounds_, routers) : 0;
  const double allowed = 0.9 * bounds_.retryRatio * static_cast<double>(budget.requests.sum) + slack;
  if (static_cast<double>(budget.tries.sum) + 1 > allowed) return false;
  budget.tries.add(now, bounds_.retryWindow);
  return true;
}

double Table::demand(const Runner& runner, base::TimePoint now) const {
  const double fresh = 1 - std::min(1.0, base::seconds(now - runner.reportedAt) / base::seconds(kReportLife));
  return runner.own + runner.reported * std::max(0.0, fresh);
}

double Table::slowStartShareLocked(const std::string& instanceId, std::string_view zone,
                                   const control::Service& service, base::TimePoint now) {
  // Nothing without a lease, and nothing to one that has just joined: it does not know whom it shares with.
  const auto memory = bounds_.lease + kWarmMargin;
  if (now >= leaseUntil_ || !snapshot_->view || now - viewSince_ < memory) return 0;
  return warm_.rate(instanceId, zone, service, bounds_, memory, now);
}

double Table::slowStartShare(const std::string& instanceId, std::string_view zone, const control::Service& service,
                             base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  return slowStartShareLocked(instanceId, zone, service, now);
}

// A cold runner's rate is held by a few routers; each keeps to its part of the rate with one in hand.
bool Table::takeWarm(Runner& runner, const control::Service& service, base::TimePoint now) {
  if (service.warmupPerS <= 0) return true;
  const double rate = slowStartShareLocked(runner.entry.instanceId, runner.entry.zone, service, now);
  if (rate <= 0) return false;
  if (runner.warmAt == base::TimePoint{}) runner.warmAt = now;
  runner.warmTokens = std::min(1.0, runner.warmTokens + rate * base::seconds(now - runner.warmAt));
  runner.warmAt = now;
  if (runner.warmTokens < 1) return false;
  runner.warmTokens -= 1;
  return true;
}

bool Table::leftOut(const Runner& runner, base::TimePoint now) const {
  return runner.ejectedUntil > now || runner.trial || runner.suspension.holds(now);
}

bool Table::usable(const Runner& runner, const std::string& service) const {
  const auto& e = runner.entry;
  return runner.listed && e.service == service && !e.draining && !snapshot_->evacuated.contains(e.zone) &&
         runner.heldBack.empty();
}

const rollout::InForce* Table::rolloutOf(const std::string& service) const {
  const auto found = snapshot_->rollouts.find(service);
  return found == snapshot_->rollouts.end() ? nullptr : &found->second;
}

// Whether this request may go there as far as versions are concerned: a stream that has begun goes on at its like.
bool Table::versionFits(const Runner& runner, const RequestProfile& asked, base::TimePoint now) const {
  if (runner.heldUntil > now) return false;
  if (asked.snapshot) return *asked.snapshot == runner.snapshot;
  return !asked.version || runner.snapshot.version(asked.modelName) == asked.version;
}

// What a runner's answers told against its entry counts until the entry or the record is another one.
void Table::judge(Runner& runner, const RoutingSnapshot& before) const {
  auto listed = rollout::snapshotOf(runner.entry);
  const auto* now = rolloutOf(runner.entry.service);
  const auto had = before.rollouts.find(runner.entry.service);
  const bool otherRecord = now != nullptr && (had == before.rollouts.end() || had->second.number != now->number);
  if (listed != runner.snapshot || otherRecord) {
    runner.contradicted = false;
    runner.turnedAway = 0;
    runner.heldUntil = {};
  }
  runner.snapshot = std::move(listed);
  runner.heldBack = now == nullptr ? "" : now->heldBack(runner.snapshot);
  if (now != nullptr && runner.contradicted && runner.heldBack.empty()) runner.heldBack = kContradicted;
}

void Table::versionMismatched(const std::string& instanceId, std::string_view model,
                              std::optional<std::uint64_t> told) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end() || rolloutOf(found->second.entry.service) == nullptr) return;
  auto& runner = found->second;
  // The list may have caught up while the answer was on its way.
  if (told && runner.snapshot.version(model) == told) return;
  runner.contradicted = true;
  if (!runner.heldBack.empty()) return;
  runner.heldBack = kContradicted;
  makePools();
}

// It may just be changing, so it is asked again; asking costs a further try, hence ever less often.
void Table::versionRejected(const std::string& instanceId, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end() || rolloutOf(found->second.entry.service) == nullptr) return;
  auto& runner = found->second;
  runner.heldUntil = now + bounds_.policy.ejectMs * (1u << std::min(runner.turnedAway++, kEjectDoublings));
}

std::string Table::home(const std::string& service,
                        const std::vector<std::pair<std::uint64_t, std::uint32_t>>& prompt) const {
  const std::lock_guard lock(mutex_);
  const auto* pool = poolOf(service);
  if (pool == nullptr) return {};
  const auto first = places(sharedKey(prompt), pool->hashes, 1);
  return first.empty() ? std::string() : pool->runners[first.front()]->entry.instanceId;
}

// Scores the runners that are worth a look: those that the index names, the first places of the rendezvous order, and
// others by chance. Few runners are all looked at.
void Table::rank(RequestProfile& asked, const Pool& pool, bool engine, base::TimePoint now) {
  const auto& policy = bounds_.policy;
  auto& ranking = asked.ranking;
  ranking.order.clear();
  ++rankings_;
  // Runners of other weights would take the places of the few that may have the request. Whom a runner has turned away
  // may go there again before long, so such a ranking is not taken to hold everybody.
  const bool apart = asked.snapshot || asked.version || rolloutOf(asked.service) != nullptr;
  std::vector<Runner*> fitting;
  if (apart)
    std::copy_if(pool.runners.begin(), pool.runners.end(), std::back_inserter(fitting),
                 [&](const auto* runner) { return versionFits(*runner, asked, now); });
  const auto& among = apart ? fitting : pool.runners;
  const bool few = among.size() <= policy.candidates;
  ranking.all = few && !apart;
  const auto shared = sharedParts(asked.prompt);
  std::uint64_t sharedTokens = 0;
  for (const auto& part : shared) sharedTokens += part.second;
  const double ownTokens = std::max(1.0, asked.promptTokens - static_cast<double>(sharedTokens));
  const double pooled = engine ? pooledTokens(asked) : 0;
  ranking.order.reserve(policy.candidates + kOverlaps);
  const auto add = [&](Runner& runner, double kept) {
    if (!versionFits(runner, asked, now)) return;
    if (std::exchange(seenIn_[runner.number], rankings_) == rankings_) return;
    Ranked r{runner.number, runner.idHash, 0, 0};
    if (engine && !asked.prompt.empty()) {
      // Near equals are told apart by chance, or all routers would go to the same one.
      const double running = demand(runner, now) + std::uniform_real_distribution<double>(0, 0.5)(random_);
      const double left = std::max(1.0, ownTokens + static_cast<double>(sharedTokens) - kept);
      r.toRead = static_cast<std::uint32_t>(left);
      r.logit = kvindex::logit({policy.overlapWeight, policy.blockTokens, left, running, policy.sharedMultiplier,
                                std::max(0.0, pooled - kept) / policy.blockTokens});
    }
    ranking.order.push_back(r);
  };
  if (engine && !shared.empty()) {
    // The home is where every router expects the shared parts, whether this one knows of them there or not. Parts that
    // more is asked for than one engine can read have several.
    const auto key = sharedKey(asked.prompt);
    const auto places = routing::places(key, pool.hashes, kPlaces);
    std::size_t homes = 1;
    const double perS = heat_.add(key, ownTokens, now) *
                        static_cast<double>(std::max<std::size_t>(1, routersLocked(now, bounds_.lease)));
    if (tokensPerMs_ > 0 && policy.homeFill > 0)
      homes += static_cast<std::size_t>(std::min(100.0, perS / (1000 * tokensPerMs_ * policy.homeFill)));
    // The place behind the homes is where they spill to.
    const auto expected = [&](std::size_t place) {
      const double some = place < homes ? 1 : place == homes ? 0.5 : 0;
      return some * static_cast<double>(sharedTokens);
    };
    std::vector<std::pair<Runner*, double>> known;
    for (const auto& o : overlaps(asked))
      if (auto* runner = byNumber_[o.runner]; runner != nullptr && usable(*runner, asked.service))
        known.emplace_back(runner, static_cast<double>(o.tokens));
    // The common order speaks only where the index knows of nobody, or where more homes are needed.
    const bool knows = std::any_of(known.begin(), known.end(),
                                   [&](const auto& k) { return k.second >= static_cast<double>(sharedTokens); });
    for (std::size_t i = 0; i < places.size(); ++i) {
      auto* runner = pool.runners[places[i]];
      double kept = knows && (homes == 1 || i >= homes) ? 0 : expected(i);
      for (const auto& [other, tokens] : known)
        if (other == runner) kept = std::max(kept, tokens);
      add(*runner, kept);
    }
    for (const auto& [runner, tokens] : known) add(*runner, tokens);
  }
  if (few) {
    for (auto* runner : among) add(*runner, 0);
  } else {
    for (auto left = 2 * policy.candidates; left > 0 && ranking.order.size() < policy.candidates; --left)
      add(*among[random_() % among.size()], 0);
  }
  std::sort(ranking.order.begin(), ranking.order.end(),
            [](const Ranked& a, const Ranked& b) { return a.logit < b.logit; });
}

// What a request without any runner to go to is told.
const char* Table::whyNobody(const RequestProfile& asked, base::TimePoint now) const {
  bool held = false;
  for (const auto& [id, runner] : runners_) {
    if (usable(runner, asked.service) && versionFits(runner, asked, now)) return "no runner left to try";
    held = held || usable(runner, asked.service) ||
           (runner.listed && runner.entry.service == asked.service && !runner.heldBack.empty());
  }
  return held ? "no runner with a snapshot that may serve" : "no runner";
}

Decision Table::decide(RequestProfile& asked, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto* service = snapshot_->configuration ? snapshot_->configuration->service(asked.service) : nullptr;
  if (service == nullptr) return Reject{503, 0.5, "service unknown"};
  const auto& policy = bounds_.policy;
  const double perS =
      policy.toldPerS / static_cast<double>(std::max<std::size_t>(1, routersLocked(now, bounds_.lease)));
  tellings_ = std::min(std::max(5.0, perS), tellings_ + perS * base::seconds(now - std::exchange(tellingsAt_, now)));
  const bool engine = service->kvCacheTokens > 0;
  const auto* pool = poolOf(asked.service);
  const auto routersNow = std::max<std::size_t>(1, routersLocked(now, bounds_.lease));
  const auto connections = std::max<std::uint32_t>(
      1, service->maxConnections == 0 ? 64 : static_cast<std::uint32_t>(service->maxConnections / routersNow));
  const auto waitUntil = [&] {
    const auto aim = asked.route->targetLatency.count() > 0 ? asked.route->targetLatency : base::Millis(1000);
    const base::Millis part(static_cast<std::int64_t>(policy.waitShare * static_cast<double>(aim.count())));
    return std::min(asked.arrivedAt + part, asked.deadline);
  };
  const auto none = [&](const char* why) -> Decision {
    if (now >= waitUntil()) return Reject{503, policy.retryAfterS, why};
    return Wait{waitUntil()};
  };
  if (pool == nullptr) return none(whyNobody(asked, now));

  struct Choice {
    Runner* runner;
    double demand, cost;
    std::uint32_t toRead;
  };
  std::vector<Choice> choices, ejected;
  const auto gather = [&] {
    choices.clear();
    ejected.clear();
    const double aimMs = static_cast<double>(asked.route->targetLatency.count());
    for (const auto& r : asked.ranking.order) {
      auto* runner = ranked(r);
      if (runner == nullptr || !usable(*runner, asked.service) || !versionFits(*runner, asked, now)) continue;
      if (asked.tried.contains(runner->entry.instanceId) || runner->own >= connections) continue;
      Choice choice{runner, demand(*runner, now), r.logit, r.toRead};
      if (engine && r.toRead != 0) {
        // Admission: the prompts that are read there first, and what of the time to the first token comes too late
        // for the aim, in blocks. A late answer is worth little however little it costs the runner.
        const double ahead = unread(*runner, now) + r.toRead;
        const double over = tokensPerMs_ == 0 ? 0 : std::max(0.0, ahead - tokensPerMs_ * policy.aimShare * aimMs);
        choice.cost += (ahead + policy.lateWeight * over) / policy.blockTokens;
      } else {
        // Least demand for its slots; the own domain when that makes no difference.
        choice.demand += std::uniform_real_distribution<double>(0, 0.5)(random_);
        choice.cost = choice.demand / runner->entry.slots + (runner->entry.zone == zone_ ? 0 : policy.otherZone);
      }
      (leftOut(*runner, now) ? ejected : choices).push_back(choice);
    }
    // When every runner looks ill, the daemon's own sight is the likelier fault: all are used again.
    if (choices.empty()) choices = std::move(ejected);
    std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
  };
  // One ranking a request, unless it holds nobody any more that could take it.
  const auto full = [&](const Choice& c) {
    return c.demand >= (engine ? policy.engineFill : policy.plainFill) * c.runner->entry.slots;
  };
  gather();
  if (std::all_of(choices.begin(), choices.end(), full) && (choices.empty() || !asked.ranking.all)) {
    rank(asked, *pool, engine, now);
    gather();
  }
  if (choices.empty()) return none(whyNobody(asked, now));
  for (auto& choice : choices) {
    auto& runner = *choice.runner;
    if (full(choice)) continue;
    if (runner.coldUntil > now && !takeWarm(runner, *service, now)) continue;
    runner.own += 1;
    const auto toRead = choice.toRead != 0 ? choice.toRead : asked.promptTokens;
    runner.ownPrompt += toRead;
    std::uint64_t told = 0;
    if (engine && tell_ && toRead >= policy.tellTokens && mayTell()) {
      told = random_() | 1;
      tell_({runner.entry.instanceId, told, toRead, 0, {}});
    }
    if (runner.ejectedUntil != base::TimePoint{} && runner.ejectedUntil <= now) runner.trial = true;
    return PassTo{runner.entry.instanceId,
                  {runner.entry.ip, runner.entry.port},
                  runner.entry.zone,
                  connections,
                  Admission(this, runner.entry.instanceId, toRead, told, asked.model,
                            engine ? asked.prompt : decltype(asked.prompt){}),
                  runner.snapshot,
                  asked.version                         ? asked.version
                  : rolloutOf(asked.service) != nullptr ? runner.snapshot.version(asked.modelName)
                                                        : std::nullopt};
  }
  return none("every runner is full");
}

void Table::setTell(std::function<void(const schema::LoadNotice&)> tell) {
  const std::lock_guard lock(mutex_);
  tell_ = std::move(tell);
}

void Table::heard(const schema::LoadNotice& demand, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(demand.instanceId);
  if (found == runners_.end()) return;
  if (!demand.parts.empty()) {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> parts;
    for (const auto& part : demand.parts) parts.emplace_back(part.id, part.tokens);
    store(found->second, demand.model, parts);
    return;
  }
  // The word that it has been read may be lost: after a while it is taken to have been.
  if (demand.tokens == 0)
    found->second.others.erase(demand.id);
  else if (found->second.others.size() < kToldMost)
    found->second.others[demand.id] = {demand.tokens, now + kToldLife};
}

// Prompt tokens sent there that have no first token yet, own ones and those that others told of.
double Table::unread(Runner& runner, base::TimePoint now) const {
  double sum = static_cast<double>(runner.ownPrompt);
  std::erase_if(runner.others, [&](const auto& item) { return item.second.second <= now; });
  for (const auto& [id, told] : runner.others) sum += told.first;
  return sum;
}

void Table::promptRead(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told,
                       std::optional<base::Clock::duration> after) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  auto& runner = found->second;
  // How fast engines read: from prompts long enough for the rest to matter little.
  if (after && prompt >= kLongPrompt && *after > base::Millis(1)) {
    const double seen = static_cast<double>(runner.ownPrompt) / (1000 * base::seconds(*after));
    tokensPerMs_ = tokensPerMs_ == 0 ? seen : 0.9 * tokensPerMs_ + 0.1 * seen;
  }
  runner.ownPrompt -= std::min<std::uint64_t>(runner.ownPrompt, prompt);
  if (told != 0 && tell_) tell_({instanceId, told, 0, 0, {}});
}

void Table::giveBack(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told) {
  promptRead(instanceId, prompt, told, std::nullopt);
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  if (found->second.own > 0) --found->second.own;
  // A trial that ended without a word on the runner's health makes room for another.
  found->second.trial = false;
}

void Table::recordResult(const std::string& instanceId, AttemptResult result, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  auto& runner = found->second;
  runner.trial = false;
  if (result == AttemptResult::Failure) {
    met(runner, now);
    if (++runner.faults < kFaultsToEject && runner.ejectedUntil == base::TimePoint{}) return;
    const auto over = std::min(kEjectDoublings, runner.faults - std::min(runner.faults, kFaultsToEject));
    runner.ejectedUntil = now + bounds_.policy.ejectMs * (1u << over);
  } else {
    // Turned away where there is room: a runner that is ill this way looks idle and draws more and more.
    if (result == AttemptResult::Rejected && demand(runner, now) < runner.entry.slots) met(runner, now);
    runner.faults = 0;
    runner.ejectedUntil = {};
  }
}

void Table::recordLate(const std::string& instanceId, base::TimePoint) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  lateness_[found->second.entry.service].late(instanceId);
}

void Table::recordInTime(const std::string& instanceId, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  for (const auto& id : lateness_[found->second.entry.service].inTime(instanceId))
    if (const auto late = runners_.find(id); late != runners_.end()) met(late->second, now);
}

bool Table::suspended(const std::string& instanceId, base::TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  return found != runners_.end() && found->second.suspension.holds(now);
}

// Own requests met trouble there: for its assessors, of which this router may be one.
void Table::met(Runner& runner, base::TimePoint now) {
  if (!snapshot_->view || runner.suspension.holds(now) || now - runner.toldAt < kTellAgain) return;
  runner.toldAt = now;
  const auto routers = routersOf(*snapshot_->view);
  for (const auto to : assessorsOf(routers, runner.entry.instanceId)) {
    if (to != snapshot_->self) {
      suspicions_[to].insert(runner.entry.instanceId);
      continue;
    }
    const auto self = std::find_if(routers.begin(), routers.end(), [&](const auto& r) { return r.incarnation == to; });
    gather(runner, *self, now);
  }
}

void Table::gather(Runner& runner, const RouterId& reporter, base::TimePoint now) {
  // One that has just started does not know yet how much a runner gets.
  if (runner.suspension.holds(now) || now - startedAt_ < bounds_.retryWindow) return;
  runner.evidence.told(reporter, now);
  const auto& service = runner.entry.service;
  std::size_t there = 0;
  for (const auto& [id, other] : runners_) there += usable(other, service);
  const auto routers = routersOf(*snapshot_->view);
  // What it gets is guessed from what comes in here.
  const double expected = static_cast<double>(budgets_[service].requests.sum) * base::seconds(kEvidenceLife) /
                          base::seconds(bounds_.retryWindow) * static_cast<double>(routers.size()) /
                          static_cast<double>(std::max<std::size_t>(1, there));
  const auto forWhom = runner.evidence.agreed(routers, expected, runner.suspension, now);
  if (!forWhom) return;
  const auto own =
      std::find_if(routers.begin(), routers.end(), [&](const auto& r) { return r.incarnation == snapshot_->self; });
  const bool here = *forWhom == kEveryZone || (own != routers.end() && own->zone == *forWhom);
  // What this router would not follow itself it tells nobody.
  if (here && !suspend(runner, *forWhom == kEveryZone, now)) return;
  runner.evidence.clear();
  agreed_[*forWhom].insert(runner.entry.instanceId);
}

// Never more than the rest can carry: at most a quarter of the runners are left out on the word of others, and only
// while the others have the slots for what is demanded of all.
bool Table::suspend(Runner& runner, bool byAll, base::TimePoint now) {
  std::size_t there = 0, out = 0;
  double asked = 0, slots = 0;
  for (const auto& [id, other] : runners_) {
    if (!usable(other, runner.entry.service)) continue;
    ++there;
    asked += demand(other, now);
    if (&other == &runner) continue;
    if (leftOut(other, now))
      ++out;
    else
      slots += other.entry.slots;
  }
  if (4 * (out + 1) > there || asked > slots) return false;
  runner.suspension.begin(bounds_.policy.ejectMs, byAll, now);
  return true;
}

std::vector<std::pair<std::uint64_t, schema::HealthReport>> Table::takeHealthReports(base::TimePoint) {
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<std::uint64_t, schema::HealthReport>> out;
  for (auto& [to, ids] : std::exchange(suspicions_, {}))
    out.push_back({to, {snapshot_->self, false, kEveryZone, {ids.begin(), ids.end()}}});
  for (auto& [zone, ids] : std::exchange(agreed_, {}))
    out.push_back({0, {snapshot_->self, true, zone, {ids.begin(), ids.end()}}});
  return out;
}

void Table::heard(const schema::HealthReport& suspicions, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (!snapshot_->view) return;
  const auto routers = routersOf(*snapshot_->view);
  const auto from =
      std::find_if(routers.begin(), routers.end(), [&](const auto& r) { return r.incarnation == suspicions.reporter; });
  if (from == routers.end()) return;
  if (suspicions.agreed && suspicions.zone != kEveryZone && suspicions.zone != base::hash(zone_)) return;
  for (const auto& id : suspicions.instanceIds) {
    const auto found = runners_.find(id);
    if (found == runners_.end()) continue;
    if (!suspicions.agreed) {
      gather(found->second, *from, now);
    } else if (suspend(found->second, suspicions.zone == kEveryZone, now)) {
      found->second.evidence.clear();
    }
  }
}

void Table::reportLoad(const std::string& instanceId, std::uint32_t running, std::uint32_t waiting, std::uint32_t,
                       base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  auto& runner = found->second;
  const double others = static_cast<double>(running) + waiting - runner.own;
  runner.reported = std::max(0.0, others);
  runner.reportedAt = now;
}

}  // namespace indigohill::routing
