#include "replay/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/hash.hpp"
#include "membership/group.hpp"
#include "proxy/prompt.hpp"

namespace indigohill::replay {

using base::Millis;
using routing::ExecutionStatus;

namespace {
constexpr Millis kHop{1};
const base::TimePoint kStart{std::chrono::hours(1)};
}  // namespace

struct Fleet::Job {
  std::size_t index = 0;
  std::uint32_t clientTry = 0;
  std::size_t router = 0;
  std::uint64_t routerLife = 0;
  base::TimePoint arrivedAt, deadline, sentAt;
  const control::Route* route = nullptr;
  std::unique_ptr<routing::RoutingPolicy> policy;
  std::optional<routing::Admission> admission;
  std::string runner;         // the one that has it
  std::uint64_t sending = 0;  // counts the sends, so that what belongs to an earlier one is told apart
  std::uint32_t workMs = 0, outTokens = 0, eventsSent = 0;
  bool started = false, done = false;
};

Fleet::Fleet(Model model, std::shared_ptr<const control::Configuration> configuration,
             std::shared_ptr<const control::Configuration> inForce, const settings::Policy& policy, std::uint64_t seed)
    : model_(std::move(model)), configuration_(std::move(configuration)), now_(kStart) {
  routing::fold(inForce_, routing::StateReceived{{1, 1}, std::move(inForce), {}});
  for (const auto& g : model_.groups)
    for (std::uint32_t n = 0; n < g.count; ++n) {
      auto r = std::make_unique<Runner>();
      r->name = fmt::format("{}/{}/{}", g.service, g.zone, n);
      r->instanceId = r->name + "#0";
      r->group = &g;
      r->entry = {r->instanceId, g.service, g.zone, static_cast<std::uint32_t>(runners_.size() + 1), 80,
                  g.slots,       false,     0};
      runners_.push_back(std::move(r));
    }
  routing::Bounds bounds;
  bounds.retrySlack = 60;
  bounds.policy = policy;
  schema::View view;
  view.number = 1;
  for (std::uint32_t i = 0; i < model_.routers; ++i) {
    schema::Member m;
    m.role = static_cast<std::uint8_t>(membership::Role::Router);
    m.zone = model_.zones[i % model_.zones.size()];
    m.incarnation = i + 1;
    view.members.push_back(m);
  }
  const auto past = now_ - std::chrono::minutes(10);
  for (std::uint32_t i = 0; i < model_.routers; ++i) {
    Router router;
    router.table = std::make_unique<routing::Table>(model_.zones[i % model_.zones.size()], bounds, seed + i, past);
    router.snapshot = std::make_shared<routing::RoutingSnapshot>();
    routing::fold(*router.snapshot, routing::StateReceived{{1, 1}, configuration_, {}});
    routing::fold(*router.snapshot, routing::ViewReceived{view, i + 1});
    router.table->setSnapshot(std::make_shared<const routing::RoutingSnapshot>(*router.snapshot), past);
    router.table->setNoticeSender([this, i](const schema::LoadNotice& notice) {
      after(kHop, [this, i, notice] {
        for (std::uint32_t other = 0; other < routers_.size(); ++other)
          if (other != i && routers_[other].up) routers_[other].table->receive(notice, now_);
      });
    });
    routers_.push_back(std::move(router));
  }
  show();
}

void Fleet::after(Millis delay, std::function<void()> what) { events_.push({now_ + delay, ++order_, std::move(what)}); }

// The routers learn of the runners as they are now.
void Fleet::show() {
  ++version_;
  std::vector<schema::RunnerEntry> list;
  for (const auto& r : runners_)
    if (r->up) list.push_back(r->entry);
  for (auto& router : routers_) {
    routing::fold(*router.snapshot, routing::RunnersReceived{{1, version_}, list, now_, now_});
    router.table->setSnapshot(std::make_shared<const routing::RoutingSnapshot>(*router.snapshot), now_);
    router.table->setLease(now_ + std::chrono::hours(100));
  }
}

std::vector<Outcome> Fleet::play(const std::vector<Recorded>& traffic) {
  traffic_ = &traffic;
  outcomes_.assign(traffic.size(), {});
  for (std::size_t i = 0; i < traffic.size(); ++i) {
    outcomes_[i].id = traffic[i].id;
    after(traffic[i].at, [this, i] { begin(i, 0); });
  }
  for (const auto& t : model_.troubles) after(t.at, [this, t] { beginFault(t); });
  while (!events_.empty()) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.what();
    ++steps_;
  }
  return outcomes_;
}

base::TimePoint Fleet::sentAt(std::size_t index) const { return kStart + (*traffic_)[index].at; }

void Fleet::begin(std::size_t index, std::uint32_t clientTry) {
  const auto& r = (*traffic_)[index];
  auto& outcome = outcomes_[index];
  auto job = std::make_shared<Job>();
  job->index = index;
  job->clientTry = clientTry;
  // A hash spreads clients over routers; a further try goes to another one.
  job->router = (base::hash(r.id) + clientTry) % routers_.size();
  auto& router = routers_[job->router];
  job->routerLife = router.life;
  job->arrivedAt = now_;
  job->route = router.snapshot->route(r.host, r.path);
  if (job->route == nullptr) {
    outcome.route = "(no route)";
    return;
  }
  outcome.route = job->route->name;
  const auto left = r.left - std::chrono::duration_cast<Millis>(now_ - sentAt(index));
  if (left.count() <= 0) return;
  job->deadline = now_ + std::min(job->route->timeout, left);
  if (!router.up) {
    // No connection: the client turns elsewhere.
    if (clientTry < model_.clientTries) after(Millis(200), [this, index, clientTry] { begin(index, clientTry + 1); });
    return;
  }
  const auto comma = r.tokens.find(',');
  std::uint32_t promptTokens = 0;
  std::from_chars(r.tokens.data(), r.tokens.data() + std::min(comma, r.tokens.size()), promptTokens);
  if (comma != std::string::npos)
    std::from_chars(r.tokens.data() + comma + 1, r.tokens.data() + r.tokens.size(), job->outTokens);
  job->workMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, r.total.count()));
  job->policy = std::make_unique<routing::RoutingPolicy>(*router.table, *job->route, r.id, now_, job->deadline);
  job->policy->request().prompt = proxy::parsePrompt(r.prompt);
  job->policy->request().promptTokens = promptTokens;
  job->policy->onArrival(now_);
  const auto* inForceRoute = inForce_.route(r.host, r.path);
  outcome.allowed = (inForceRoute != nullptr ? inForceRoute : job->route)->repeatable() ? 0 : clientTry + 1;
  open_.push_back(job);
  step(job);
}

void Fleet::step(std::shared_ptr<Job> job) {
  if (job->done) return;
  auto next = job->policy->next(now_);
  if (const auto* end = std::get_if<routing::Ending>(&next)) {
    ended(job, *end);
  } else if (const auto* wait = std::get_if<routing::Wait>(&next)) {
    const auto until = std::min(wait->until, now_ + Millis(10));
    after(std::max(Millis(1), std::chrono::ceil<Millis>(until - now_)), [this, job] { step(job); });
  } else {
    send(job, std::get<routing::PassTo>(std::move(next)));
  }
}

void Fleet::send(std::shared_ptr<Job> job, routing::PassTo to) {
  ++outcomes_[job->index].tries;
  job->admission.emplace(std::move(to.admission));
  const auto sending = ++job->sending;
  job->sentAt = now_;
  const auto found =
      std::find_if(runners_.begin(), runners_.end(), [&](const auto& r) { return r->instanceId == to.instanceId; });
  if (found == runners_.end() || !(*found)->up) {
    // Nobody listens there any more.
    after(kHop, [this, job] { broken(job, AttemptEnd::NoConnection); });
    return;
  }
  auto& runner = **found;
  job->runner = runner.instanceId;
  after(kHop, [this, job, &runner, sending] {
    if (!job->done && job->sending == sending) accept(job, runner);
  });
  // The client's time ends the try wherever it is.
  after(std::chrono::ceil<Millis>(job->deadline - now_), [this, job, sending] {
    if (!job->done && job->sending == sending) broken(job, AttemptEnd::OutOfTime);
  });
}

void Fleet::accept(std::shared_ptr<Job> job, Runner& runner) {
  if (!runner.up || runner.instanceId != job->runner) {
    broken(job, AttemptEnd::ConnectionBroken);
    return;
  }
  if (runner.running >= runner.group->slots) {
    if (runner.queue.size() >= runner.group->queue) {
      routers_[job->router].table->recordResult(runner.instanceId, routing::AttemptResult::Rejected, now_);
      broken(job, AttemptEnd::Rejected);
      return;
    }
    runner.queue.emplace_back([this, job, &runner, sending = job->sending] {
      if (job->done || job->sending != sending)
        leaveSlot(runner);
      else
        run(job, runner);
    });
    return;
  }
  ++runner.running;
  run(job, runner);
}

// Reads the prompt behind those accepted before it; parts that are kept are not read again.
Millis Fleet::readPrompt(Runner& runner, const routing::RequestProfile& asked, Outcome& outcome) {
  std::uint64_t toRead = 0;
  bool chain = true;
  for (const auto& [id, tokens] : asked.prompt) {
    const auto kept = runner.keptAt.find(id);
    if (kept == runner.keptAt.end()) {
      chain = false;
      runner.kept.push_front({id, tokens});
      runner.keptAt[id] = runner.kept.begin();
      runner.keptTokens += tokens;
    } else {
      runner.kept.splice(runner.kept.begin(), runner.kept, kept->second);
    }
    if (chain) continue;
    toRead += tokens;
    if (!readOnce_.insert(id).second) outcome.again += tokens;
  }
  if (asked.prompt.empty()) toRead = asked.promptTokens;
  while (runner.keptTokens > runner.group->cacheTokens && !runner.kept.empty()) {
    runner.keptTokens -= runner.kept.back().tokens;
    runner.keptAt.erase(runner.kept.back().id);
    runner.kept.pop_back();
  }
  const auto ms = runner.group->speed * static_cast<double>(toRead) / runner.group->promptTokensPerMs;
  const auto done = std::max(now_, runner.promptsReadAt) + Millis(static_cast<std::int64_t>(ms));
  runner.promptsReadAt = done;
  return std::chrono::ceil<Millis>(done - now_) + Millis(1);
}

void Fleet::run(std::shared_ptr<Job> job, Runner& runner) {
  auto& outcome = outcomes_[job->index];
  const auto sending = job->sending;
  const auto life = runner.life;
  const auto& g = *runner.group;
  Millis first, whole;
  if (g.promptTokensPerMs > 0) {
    first = readPrompt(runner, job->policy->request(), outcome);
    const double step = g.speed * (g.stepMs + g.stepMsPerSlot * runner.running);
    whole = first + Millis(static_cast<std::int64_t>(step * std::max(1u, job->outTokens)));
    // A stream that is taken up goes on behind what the client has.
    if (job->eventsSent > 0) whole = first + (whole - first) / 2;
  } else {
    first = whole = Millis(static_cast<std::int64_t>(g.speed * job->workMs)) + Millis(1);
  }
  ++outcome.runs;
  after(first, [this, job, &runner, sending, life] {
    if (job->done || job->sending != sending || runner.life != life) return;
    routers_[job->router].table->reportLoad(runner.instanceId, runner.running,
                                            static_cast<std::uint32_t>(runner.queue.size()), runner.group->slots, now_);
    if (job->admission) job->admission->onFirstToken(now_ - job->sentAt);
    if (job->route->type != control::RouteType::Streaming) return;
    if (!job->started) {
      outcomes_[job->index].took = std::chrono::duration_cast<Millis>(now_ - sentAt(job->index));
    }
    job->started = true;
    job->eventsSent = std::max(job->eventsSent, 1u);
  });
  after(whole, [this, job, &runner, sending, life] {
    if (runner.life != life) return;
    leaveSlot(runner);
    if (job->done || job->sending != sending) return;
    routers_[job->router].table->recordResult(runner.instanceId, routing::AttemptResult::Success, now_);
    answered(job);
  });
}

void Fleet::leaveSlot(Runner& runner) {
  if (runner.queue.empty()) {
    if (runner.running > 0) --runner.running;
    return;
  }
  auto next = std::move(runner.queue.front());
  runner.queue.pop_front();
  next();
}

void Fleet::answered(std::shared_ptr<Job> job) {
  job->done = true;
  job->admission.reset();
  auto& outcome = outcomes_[job->index];
  outcome.served = true;
  if (job->route->type != control::RouteType::Streaming)
    outcome.took = std::chrono::duration_cast<Millis>(now_ - sentAt(job->index));
  outcome.late = job->route->targetLatency.count() > 0 && outcome.took > job->route->targetLatency;
}

void Fleet::broken(std::shared_ptr<Job> job, AttemptEnd why) {
  if (job->done) return;
  ++job->sending;
  job->admission.reset();
  const bool ofRunner = why != AttemptEnd::OutOfTime && why != AttemptEnd::Rejected;
  if (ofRunner && !job->runner.empty())
    routers_[job->router].table->recordResult(job->runner, routing::AttemptResult::Failure, now_);
  const bool notRun = why == AttemptEnd::NoConnection || why == AttemptEnd::Rejected;
  const routing::AttemptError error{notRun ? ExecutionStatus::NotRun : ExecutionStatus::MayHaveRun, "attempt ended"};
  if (job->policy->onFailure(error, job->started, job->eventsSent > 0, now_))
    step(job);
  else
    ended(job, job->policy->ending(now_));
}

// The client tries again by itself as the protocol lets it: after a promise, or if the request may repeat.
void Fleet::ended(std::shared_ptr<Job> job, const routing::Ending& ending) {
  job->done = true;
  job->admission.reset();
  const bool promise = !ending.cut && ending.status == 503;
  if (job->clientTry >= model_.clientTries || !(promise || job->route->type == control::RouteType::Idempotent)) return;
  const auto pause = promise ? Millis(static_cast<std::int64_t>(1000 * ending.retryAfterS)) : Millis(50);
  after(pause, [this, index = job->index, t = job->clientTry] { begin(index, t + 1); });
}

void Fleet::beginFault(const Fault& t) {
  if (t.kind == Fault::Kind::RouterKill) {
    const auto number = static_cast<std::size_t>(std::stoul(t.name.substr(t.name.find('/') + 1)));
    auto& router = routers_[number];
    router.up = false;
    ++router.life;
    for (auto& weak : open_)
      if (auto job = weak.lock(); job && !job->done && job->router == number) ended(job, {true, 0, 0, "router killed"});
    after(t.lasts, [this, number] { routers_[number].up = true; });
    return;
  }
  for (auto& owned : runners_) {
    auto& runner = *owned;
    if (runner.name != t.name) continue;
    if (t.kind == Fault::Kind::RunnerDrain) {
      runner.entry.draining = true;
      after(model_.listLag, [this] { show(); });
      continue;
    }
    runner.up = false;
    ++runner.life;
    runner.running = 0;
    runner.queue.clear();
    runner.kept.clear();
    runner.keptAt.clear();
    runner.keptTokens = 0;
    const auto gone = runner.instanceId;
    for (auto& weak : open_)
      if (auto job = weak.lock(); job && !job->done && job->runner == gone && job->admission)
        broken(job, AttemptEnd::RunnerCrashed);
    after(model_.listLag, [this] { show(); });
    if (t.lasts.count() > 0)
      after(t.lasts, [this, &runner] {
        runner.up = true;
        runner.instanceId = fmt::format("{}#{}", runner.name, runner.life);
        runner.entry.instanceId = runner.instanceId;
        after(model_.listLag, [this] { show(); });
      });
  }
}

}  // namespace indigohill::replay
