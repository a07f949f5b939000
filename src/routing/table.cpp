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
constexpr base::Millis kTellAgain{1000};  // trouble at one runner is told no more often than this

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
    if (frame->stamp <= picture.frameStamp) return;
    picture.frameStamp = frame->stamp;
    picture.configuration = frame->configuration;
    picture.evacuated = {frame->evacuated.begin(), frame->evacuated.end()};
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
    picture.self = view->self;
  } else if (const auto* proposal = std::get_if<ProposalCame>(&event)) {
    picture.proposed = proposal->routers;
  }
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
  const auto members = picture_->view ? routersOf(*picture_->view) : Routers{};
  const auto routers = std::max(members.size(), picture_->proposed.size());
  const bool another = picture_->view.has_value() != before->view.has_value() || picture_->self != before->self ||
                       (picture_->view && picture_->view->number != before->view->number);
  if (another) warm_.delivered(members, picture_->self, now);
  if (!picture_->proposed.empty()) warm_.proposed(picture_->proposed);
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

double Table::warmShareLocked(const std::string& instanceId, std::string_view zone, const control::Service& service,
                              base::TimePoint now) {
  // Nothing without a lease, and nothing to one that has just joined: it does not know whom it shares with.
  const auto memory = bounds_.lease + kWarmMargin;
  if (now >= leaseUntil_ || !picture_->view || now - viewSince_ < memory) return 0;
  return warm_.rate(instanceId, zone, service, bounds_, memory, now);
}

double Table::warmShare(const std::string& instanceId, std::string_view zone, const control::Service& service,
                        base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  return warmShareLocked(instanceId, zone, service, now);
}

// A cold runner's rate is held by a few routers; each keeps to its part of the rate with one in hand.
bool Table::takeWarm(Runner& runner, const control::Service& service, base::TimePoint now) {
  if (service.warmupPerS <= 0) return true;
  const double rate = warmShareLocked(runner.entry.instanceId, runner.entry.zone, service, now);
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
  return runner.listed && e.service == service && !e.draining && !picture_->evacuated.contains(e.zone);
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
  std::size_t there = 0;
  const bool engine = service->kvCacheTokens > 0;
  const auto key = promptKey(asked.prompt);
  const auto routersNow = std::max<std::size_t>(1, routersLocked(now, bounds_.lease));
  const auto connections =
      std::max<std::uint32_t>(1, service->maxConnections == 0
                                     ? 64
                                     : static_cast<std::uint32_t>(service->maxConnections / routersNow));
  for (auto& [id, runner] : runners_) {
    if (!usable(runner, asked.service)) continue;
    ++there;
    if (asked.tried.contains(id) || runner.own >= connections) continue;
    const double d = demand(runner, now);
    Choice choice{&runner, d, rankOf(id, key)};
    if (leftOut(runner, now))
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
  if (choices.empty()) return none(there == 0 ? "no runner" : "no runner left to try");
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
                  Taking(this, runner.entry.instanceId, toRead, told)};
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
  if (found == runners_.end()) return;
  if (found->second.own > 0) --found->second.own;
  // A trial that ended without a word on the runner's health makes room for another.
  found->second.trial = false;
}

void Table::mark(const std::string& instanceId, Mark mark, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  auto& runner = found->second;
  runner.trial = false;
  if (mark == Mark::Fault) {
    met(runner, now);
    if (++runner.faults < kFaultsToEject && runner.ejectedUntil == base::TimePoint{}) return;
    const auto over = std::min(kEjectDoublings, runner.faults - std::min(runner.faults, kFaultsToEject));
    runner.ejectedUntil = now + bounds_.policy.ejectMs * (1u << over);
  } else {
    // Turned away where there is room: a runner that is ill this way looks idle and draws more and more.
    if (mark == Mark::Refused && demand(runner, now) < runner.entry.slots) met(runner, now);
    runner.faults = 0;
    runner.ejectedUntil = {};
  }
}

void Table::late(const std::string& instanceId, base::TimePoint) {
  const std::lock_guard lock(mutex_);
  const auto found = runners_.find(instanceId);
  if (found == runners_.end()) return;
  lateness_[found->second.entry.service].late(instanceId);
}

void Table::inTime(const std::string& instanceId, base::TimePoint now) {
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
  if (!picture_->view || runner.suspension.holds(now) || now - runner.toldAt < kTellAgain) return;
  runner.toldAt = now;
  const auto routers = routersOf(*picture_->view);
  for (const auto to : assessorsOf(routers, runner.entry.instanceId)) {
    if (to != picture_->self) {
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
  const auto routers = routersOf(*picture_->view);
  // What it gets is guessed from what comes in here.
  const double expected = static_cast<double>(budgets_[service].requests.sum) * base::seconds(kEvidenceLife) /
                          base::seconds(bounds_.retryWindow) * static_cast<double>(routers.size()) /
                          static_cast<double>(std::max<std::size_t>(1, there));
  const auto forWhom = runner.evidence.agreed(routers, expected, runner.suspension.probation(now), now);
  if (!forWhom) return;
  const auto own = std::find_if(routers.begin(), routers.end(), [&](const auto& r) { return r.incarnation == picture_->self; });
  const bool here = *forWhom == kEveryZone || (own != routers.end() && own->zone == *forWhom);
  // What this router would not follow itself it tells nobody.
  if (here && !suspend(runner, now)) return;
  runner.evidence.clear();
  agreed_[*forWhom].insert(runner.entry.instanceId);
}

// Never more than the rest can carry: at most a quarter of the runners are left out on the word of others, and only
// while the others have the slots for what is demanded of all.
bool Table::suspend(Runner& runner, base::TimePoint now) {
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
  runner.suspension.begin(bounds_.policy.ejectMs, now);
  return true;
}

std::vector<std::pair<std::uint64_t, schema::Suspicions>> Table::takeSuspicions(base::TimePoint) {
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<std::uint64_t, schema::Suspicions>> out;
  for (auto& [to, ids] : std::exchange(suspicions_, {}))
    out.push_back({to, {picture_->self, false, kEveryZone, {ids.begin(), ids.end()}}});
  for (auto& [zone, ids] : std::exchange(agreed_, {}))
    out.push_back({0, {picture_->self, true, zone, {ids.begin(), ids.end()}}});
  return out;
}

void Table::heard(const schema::Suspicions& suspicions, base::TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (!picture_->view) return;
  const auto routers = routersOf(*picture_->view);
  const auto from = std::find_if(routers.begin(), routers.end(),
                                 [&](const auto& r) { return r.incarnation == suspicions.reporter; });
  if (from == routers.end()) return;
  if (suspicions.agreed && suspicions.zone != kEveryZone && suspicions.zone != base::hash(zone_)) return;
  for (const auto& id : suspicions.instanceIds) {
    const auto found = runners_.find(id);
    if (found == runners_.end()) continue;
    if (!suspicions.agreed) {
      gather(found->second, *from, now);
    } else if (suspend(found->second, now)) {
      found->second.evidence.clear();
    }
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
