#include "routing/table.hpp"

#include <algorithm>
#include <cmath>

#include "base/hash.hpp"
#include "membership/group.hpp"

namespace indigohill::routing {

namespace {
constexpr base::Millis kBucket{250};
constexpr base::Millis kReportLife{2000};  // a told load counts less and less over this
constexpr std::uint32_t kFaultsToEject = 2;
constexpr std::uint32_t kEjectDoublings = 3;
constexpr std::uint32_t kLongPrompt = 2000;  // tokens from which a prompt tells how fast an engine reads
constexpr base::Millis kWarmMargin{1000};  // beyond the lease: cold runners' rates are counted by the second
constexpr base::Millis kToldLife{3000};
constexpr std::size_t kToldMost = 256;
constexpr const char* kContradicted = "its answers are of another version";

// The last part of a prompt is the request's own: what may be kept somewhere is named by the parts before it.
std::uint64_t promptKey(const std::vector<std::pair<std::uint64_t, std::uint32_t>>& prompt) {
  std::uint64_t key = 0;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    key = base::hash({reinterpret_cast<const char*>(&prompt[i].first), sizeof(std::uint64_t)}, key + 1);
  return key;
}

// Rendezvous hashing: the runner with the highest rank for a key is the same for every router.
std::uint64_t rankOf(const std::string& instanceId, std::uint64_t key) { return base::hash(instanceId, key + 1); }
}  // namespace

const control::Route* Picture::route(std::string_view host, std::string_view path) const {
  std::string name(host.substr(0, host.find(':')));
  for (auto& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  const auto found = byHost.find(name);
  if (found == byHost.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const auto* route : found->second)
    if (path.starts_with(route->prefix)) return route;
  return nullptr;
}

void fold(Picture& picture, const Event& event) {
  if (const auto* frame = std::get_if<FrameCame>(&event)) {
    if (frame->stamp < picture.frameStamp) return;
    picture.frameStamp = frame->stamp;
    picture.configuration = frame->configuration;
    picture.evacuated = {frame->evacuated.begin(), frame->evacuated.end()};
    picture.rollouts.clear();
    for (const auto& rollout : frame->rollouts) picture.rollouts.emplace(rollout.service, rollout);
    picture.byHost.clear();
    if (!picture.configuration) return;
    for (const auto& route : picture.configuration->routes) picture.byHost[route.host].push_back(&route);
    for (auto& [host, routes] : picture.byHost)
      std::stable_sort(routes.begin(), routes.end(),
                       [](const auto* a, const auto* b) { return a->prefix.size() > b->prefix.size(); });
  } else if (const auto* runners = std::get_if<RunnersCame>(&event)) {
    if (picture.hasRunners && runners->stamp < picture.runnersStamp) return;
    picture.runnersStamp = runners->stamp;
    picture.runners = runners->runners;
    picture.listedAt = runners->listedAt;
    picture.hasRunners = true;
  } else if (const auto* view = std::get_if<ViewCame>(&event)) {
    picture.view = view->view;
  } else if (const auto* proposal = std::get_if<ProposalCame>(&event)) {
    picture.proposedRouters = proposal->routers;
  }
}

std::size_t routersIn(const schema::View& view) {
  return static_cast<std::size_t>(std::count_if(view.members.begin(), view.members.end(), [](const auto& m) {
    return m.role == static_cast<std::uint8_t>(membership::Role::Router);
  }));
}

void Taking::begun(base::Clock::duration after) {
  if (table_ != nullptr) table_->promptRead(instanceId_, std::exchange(prompt_, 0), std::exchange(told_, 0), after);
}

void Taking::release() {
  if (auto* table = std::exchange(table_, nullptr)) table->giveBack(instanceId_, prompt_, told_);
}

Table::Table(std::string zone, Bounds bounds, std::uint64_t seed, base::TimePoint startedAt)
    : zone_(std::move(zone)), bounds_(bounds), picture_(std::make_shared<const Picture>()), startedAt_(startedAt),
      random_(seed) {}

std::shared_ptr<const Picture> Table::picture() const {
  const std::lock_guard lock(mutex_);
  return picture_;
}

void Table::setLease(base::TimePoint until) {
  const std::lock_guard lock(mutex_);
  leaseUntil_ = until;
}

void Table::setBounds(const Bounds& bounds) {
  const std::lock_guard lock(mutex_);
  bounds_ = bounds;
}

void Table::setPicture(std::shared_ptr<const Picture> picture, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto before = std::exchange(picture_, std::move(picture));
  if (picture_->view && !before->view) viewSince_ = now;
  // A larger group counts from the moment its extension is acknowledged: the newcomer may have its part before the
  // commit arrives here.
  const auto routers = std::max(picture_->view ? routersIn(*picture_->view) : 0, picture_->proposedRouters);
  if (routers > 0 && (routerCounts_.empty() || routerCounts_.back().second != routers))
    routerCounts_.emplace_back(now, routers);
  // Nobody asks further back than this.
  while (routerCounts_.size() > 1 && now - routerCounts_[1].first >= 2 * (bounds_.retryWindow + bounds_.lease) + kWarmMargin)
    routerCounts_.pop_front();
  for (auto& [id, runner] : runners_) runner.listed = false;
  for (const auto& entry : picture_->runners) {
    auto& runner = runners_[entry.instanceId];
    runner.listed = true;
    const bool newsOfIt = picture_->runnersStamp != before->runnersStamp;
    runner.entry = entry;
    judge(runner, *before);
    // The list was read before it came here and lags by itself; what is left is counted from now, on the safe side.
    if (newsOfIt && entry.warmupLeftMs > 0)
      runner.coldUntil = std::max(runner.coldUntil, now + base::Millis(entry.warmupLeftMs));
    // Taken back from an evacuation, runners may have turned cold.
    if (before->evacuated.contains(entry.zone) && !picture_->evacuated.contains(entry.zone) && picture_->configuration)
      if (const auto* service = picture_->configuration->service(entry.service))
        runner.coldUntil = std::max(runner.coldUntil, now + service->warmup);
  }
  std::erase_if(runners_, [](const auto& item) { return !item.second.listed && item.second.own == 0; });
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

double warmRate(const control::Service& service, const Bounds& bounds, std::size_t routers) {
  if (routers == 0) return 0;
  const auto n = static_cast<double>(routers);
  const double most = 0.9 * (service.warmupPerS * bounds.warmupOvershoot + bounds.warmupSlack);
  // Each router may have one request in hand besides its rate.
  return std::max(0.0, std::min(service.warmupPerS, most - n) / n);
}

bool Table::drawRetry(const std::string& service, base::TimePoint now) {
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

// A cold runner's rate is shared by all routers of the view; each keeps to its part of the rate with one in hand.
bool Table::takeWarm(Runner& runner, const control::Service& service, base::TimePoint now) {
  if (service.warmupPerS <= 0) return true;
  if (now >= leaseUntil_) return false;
  const double rate = warmRate(service, bounds_, routersLocked(now, bounds_.lease + kWarmMargin));
  if (rate <= 0) return false;
  if (runner.warmAt == base::TimePoint{}) runner.warmAt = now;
  runner.warmTokens = std::min(1.0, runner.warmTokens + rate * base::seconds(now - runner.warmAt));
  runner.warmAt = now;
  if (runner.warmTokens < 1) return false;
  runner.warmTokens -= 1;
  return true;
}

bool Table::usable(const Runner& runner, const std::string& service) const {
  const auto& e = runner.entry;
  return runner.listed && e.service == service && !e.draining && !picture_->evacuated.contains(e.zone) &&
         runner.heldBack.empty();
}

const rollout::InForce* Table::rolloutOf(const std::string& service) const {
  const auto found = picture_->rollouts.find(service);
  return found == picture_->rollouts.end() ? nullptr : &found->second;
}

// Whether this request may go there as far as versions are concerned: a stream that has begun goes on at its like.
bool Table::versionFits(const Runner& runner, const Asked& asked, base::TimePoint now) const {
  if (runner.heldUntil > now) return false;
  if (asked.snapshot) return *asked.snapshot == runner.snapshot;
  return !asked.version || runner.snapshot.version(asked.modelName) == asked.version;
}

// What a runner's answers told against its entry counts until the entry or the record is another one.
void Table::judge(Runner& runner, const Picture& before) const {
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

void Table::contradicted(const std::string& instanceId, std::string_view model, std::optional<std::uint64_t> told) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end() || rolloutOf(found->second.entry.service) == nullptr) return;
  auto& runner = found->second;
  // The list may have caught up while the answer was on its way.
  if (told && runner.snapshot.version(model) == told) return;
  runner.contradicted = true;
  if (runner.heldBack.empty()) runner.heldBack = kContradicted;
}

// It may just be changing, so it is asked again; asking costs a further try, hence ever less often.
void Table::turnedAway(const std::string& instanceId, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end() || rolloutOf(found->second.entry.service) == nullptr) return;
  auto& runner = found->second;
  runner.heldUntil = now + bounds_.policy.ejectMs * (1u << std::min(runner.turnedAway++, kEjectDoublings));
}

std::string Table::home(const std::string& service,
                        const std::vector<std::pair<std::uint64_t, std::uint32_t>>& prompt) const {
  const std::lock_guard lock(mutex_);
  const auto key = promptKey(prompt);
  std::string best;
  std::uint64_t most = 0;
  for (const auto& [id, runner] : runners_)
    if (const auto rank = rankOf(id, key); usable(runner, service) && (best.empty() || rank > most)) {
      best = id;
      most = rank;
    }
  return best;
}

Decision Table::decide(const Asked& asked, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto* service = picture_->configuration ? picture_->configuration->service(asked.service) : nullptr;
  if (service == nullptr) return Shed{503, 0.5, "service unknown"};
  struct Choice {
    Runner* runner;
    double demand;
    std::uint64_t rank;
    double cost = 0;
    std::uint32_t toRead = 0;  // prompt tokens that are probably not kept there
  };
  const auto& policy = bounds_.policy;
  std::vector<Choice> choices, ejected;
  std::size_t there = 0, held = 0;
  const bool engine = service->kvCacheTokens > 0;
  const auto key = promptKey(asked.prompt);
  const auto routersNow = std::max<std::size_t>(1, routersLocked(now, bounds_.lease));
  const auto connections =
      std::max<std::uint32_t>(1, service->maxConnections == 0
                                     ? 64
                                     : static_cast<std::uint32_t>(service->maxConnections / routersNow));
  for (auto& [id, runner] : runners_) {
    if (!usable(runner, asked.service)) {
      held += runner.listed && runner.entry.service == asked.service && !runner.heldBack.empty();
      continue;
    }
    if (!versionFits(runner, asked, now)) {
      ++held;
      continue;
    }
    ++there;
    if (asked.tried.contains(id) || runner.own >= connections) continue;
    const double d = demand(runner, now);
    Choice choice{&runner, d, rankOf(id, key)};
    if (runner.ejectedUntil > now || runner.trial)
      ejected.push_back(choice);
    else
      choices.push_back(choice);
  }
  // When every runner looks ill, the daemon's own sight is the likelier fault: all are used again.
  if (choices.empty()) choices = std::move(ejected);
  const auto waitUntil = [&] {
    const auto aim = asked.route->targetLatency.count() > 0 ? asked.route->targetLatency : base::Millis(1000);
    const base::Millis part(static_cast<std::int64_t>(policy.waitShare * static_cast<double>(aim.count())));
    return std::min(asked.arrivedAt + part, asked.deadline);
  };
  const auto none = [&](const char* why) -> Decision {
    if (now >= waitUntil()) return Shed{503, policy.retryAfterS, why};
    return Wait{waitUntil()};
  };
  if (choices.empty())
    return none(there != 0 ? "no runner left to try" : held != 0 ? "no runner with a snapshot that may serve" : "no runner");
  for (auto& choice : choices) choice.demand += std::uniform_real_distribution<double>(0, 0.5)(random_);
  if (engine && key != 0) {
    // In prompt tokens: what has to be read there before the first token, and what is already going on. The first in
    // rendezvous order is where every router expects the shared parts to be kept, the second where they spill to. A
    // part read again delays this request and takes the runner from others, so it weighs more.
    const double aimMs = static_cast<double>(asked.route->targetLatency.count());
    std::uint64_t shared = 0;
    for (std::size_t i = 0; i + 1 < asked.prompt.size(); ++i) shared += asked.prompt[i].second;
    std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.rank > b.rank; });
    for (std::size_t i = 0; i < choices.size(); ++i) {
      const double missing = i == 0 ? 0 : i == 1 ? 0.5 : 1;
      const double again = missing * static_cast<double>(shared);
      const double own = std::max(1.0, asked.promptTokens - static_cast<double>(shared) + again);
      choices[i].toRead = static_cast<std::uint32_t>(own);
      const double ahead = unread(*choices[i].runner, now) + own;
      choices[i].cost = policy.missedWeight * again + policy.requestTokens * choices[i].demand + ahead;
      // What comes too late for the aim is worth little however little it costs the runner.
      const double over = tokensPerMs_ == 0 ? 0 : ahead - tokensPerMs_ * policy.aimShare * aimMs;
      if (over > 0) choices[i].cost += policy.lateWeight * over;
    }
    std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
  } else {
    // Least demand for its slots; the own domain when that makes no difference.
    const auto cost = [&](const Choice& c) {
      return c.demand / c.runner->entry.slots + (c.runner->entry.zone == zone_ ? 0 : policy.otherZone);
    };
    std::sort(choices.begin(), choices.end(), [&](const Choice& a, const Choice& b) { return cost(a) < cost(b); });
  }
  for (auto& choice : choices) {
    auto& runner = *choice.runner;
    const double most = (engine ? policy.engineFill : policy.plainFill) * runner.entry.slots;
    if (choice.demand >= most) continue;
    if (runner.coldUntil > now && !takeWarm(runner, *service, now)) continue;
    runner.own += 1;
    const auto toRead = choice.toRead != 0 ? choice.toRead : asked.promptTokens;
    runner.ownPrompt += toRead;
    std::uint64_t told = 0;
    if (engine && tell_ && toRead >= policy.tellTokens) {
      told = random_() | 1;
      tell_({runner.entry.instanceId, told, toRead});
    }
    if (runner.ejectedUntil != base::TimePoint{} && runner.ejectedUntil <= now) runner.trial = true;
    return PassTo{runner.entry.instanceId,
                  {runner.entry.ip, runner.entry.port},
                  runner.entry.zone,
                  connections,
                  Taking(this, runner.entry.instanceId, toRead, told),
                  runner.snapshot,
                  asked.version ? asked.version
                  : rolloutOf(asked.service) != nullptr ? runner.snapshot.version(asked.modelName)
                                                        : std::nullopt};
  }
  return none("every runner is full");
}

void Table::setTell(std::function<void(const schema::Demand&)> tell) {
  const std::lock_guard lock(mutex_);
  tell_ = std::move(tell);
}

void Table::heard(const schema::Demand& demand, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(demand.instanceId);
  if (found == runners_.end()) return;
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
  if (told != 0 && tell_) tell_({instanceId, told, 0});
}

void Table::giveBack(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told) {
  promptRead(instanceId, prompt, told, std::nullopt);
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found != runners_.end() && found->second.own > 0) --found->second.own;
}

void Table::mark(const std::string& instanceId, Mark mark, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  auto& runner = found->second;
  runner.trial = false;
  if (mark == Mark::Fault) {
    if (++runner.faults < kFaultsToEject && runner.ejectedUntil == base::TimePoint{}) return;
    const auto over = std::min(kEjectDoublings, runner.faults - std::min(runner.faults, kFaultsToEject));
    runner.ejectedUntil = now + bounds_.policy.ejectMs * (1u << over);
  } else {
    runner.faults = 0;
    runner.ejectedUntil = {};
  }
}

void Table::load(const std::string& instanceId, std::uint32_t running, std::uint32_t waiting, std::uint32_t,
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
