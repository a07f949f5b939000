#include "routing/runner_chooser.hpp"

#include <algorithm>
#include <cmath>

#include "kvindex/logit.hpp"
#include "routing/rendezvous.hpp"

namespace indigohill::routing {

namespace {
constexpr std::size_t kPlaces = 8;                   // of the rendezvous order
constexpr std::size_t kOverlapsExpected = 8;         // room kept in a ranking
constexpr std::uint32_t kLongPrompt = 2000;          // tokens from which a prompt tells how fast an engine reads
constexpr double kSpeedKept = 0.9, kSpeedNew = 0.1;  // weights of the speed seen before and of the newest
constexpr double kMostHomes = 100;
constexpr double kTieBreak = 0.5;  // requests; near equals are separated at random, or all routers choose the same one
}  // namespace

void PrefillSpeed::record(std::uint32_t promptTokens, std::uint64_t unreadTokens, base::Clock::duration time) {
  if (promptTokens < kLongPrompt || time <= base::Millis(1)) return;
  const double seen = static_cast<double>(unreadTokens) / (1000 * base::seconds(time));
  tokensPerMs_ = tokensPerMs_ == 0 ? seen : kSpeedKept * tokensPerMs_ + kSpeedNew * seen;
}

bool RunnerChooser::full(const Choice& choice, const Context& context) {
  const auto& policy = context.bounds.policy;
  return choice.load >= (context.engine ? policy.engineFill : policy.plainFill) * choice.runner->entry.slots;
}

std::vector<Choice> RunnerChooser::choices(RequestProfile& request, const RunnerSet::Candidates& candidates,
                                           const Context& context) {
  auto choices = rankedChoices(request, context);
  const bool noRoom =
      std::all_of(choices.begin(), choices.end(), [&](const Choice& choice) { return full(choice, context); });
  if (!noRoom || (!choices.empty() && request.ranking.all)) return choices;
  rank(request, candidates, context);
  return rankedChoices(request, context);
}

// The runners of the request's ranking that it may go to now, the cheapest first.
std::vector<Choice> RunnerChooser::rankedChoices(const RequestProfile& request, const Context& context) {
  std::vector<Choice> healthy, unhealthy;
  for (const auto& ranked : request.ranking.order) {
    auto* runner = resolve(ranked);
    if (runner == nullptr || !runners_.usable(*runner, request.service)) continue;
    if (!versionFits(*runner, request, context.now)) continue;
    if (request.triedRunners.contains(runner->entry.instanceId)) continue;
    if (runner->load.ownRequests() >= context.connections) continue;
    const auto found = choice(*runner, ranked, request, context);
    (runner->unhealthy(context.now) ? unhealthy : healthy).push_back(found);
  }
  // When every runner looks unhealthy, the router's own view is the likelier failure: all are used again.
  auto& choices = healthy.empty() ? unhealthy : healthy;
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
  return std::move(choices);
}

Choice RunnerChooser::choice(Runner& runner, const RankedRunner& ranked, const RequestProfile& request,
                             const Context& context) {
  const auto& policy = context.bounds.policy;
  Choice choice{&runner, runner.load.requests(context.now), ranked.cost, ranked.uncachedTokens};
  if (context.engine && ranked.uncachedTokens != 0) {
    // Admission control: the prompts that are read there first, and what of the time to the first token comes too late
    // for the aim, in blocks. A late answer is worth little however little it costs the runner.
    const auto latencyTargetMs = static_cast<double>(request.route->targetLatency.count());
    const double speed = context.prefillSpeed.tokensPerMs();
    const double ahead = runner.load.unreadTokens(context.now) + ranked.uncachedTokens;
    const double over = speed == 0 ? 0 : std::max(0.0, ahead - speed * policy.aimShare * latencyTargetMs);
    choice.cost += (ahead + policy.lateWeight * over) / policy.blockTokens;
    return choice;
  }
  // Least load for its slots; the own zone when that makes no difference.
  choice.load += std::uniform_real_distribution<double>(0, kTieBreak)(random_);
  choice.cost = choice.load / runner.entry.slots + (runner.entry.zone == zone_ ? 0 : policy.otherZone);
  return choice;
}

// Scores the runners that are worth a look: those that the index names, the first places of the rendezvous order, and
// others by chance. Few runners are all looked at.
void RunnerChooser::rank(RequestProfile& request, const RunnerSet::Candidates& candidates, const Context& context) {
  const auto wanted = context.bounds.policy.candidates;
  auto& ranking = request.ranking;
  ranking.order.clear();
  ranking.order.reserve(wanted + kOverlapsExpected);
  ++rankings_;
  // Runners of other weights would take the places of the few that may have the request. A runner that has rejected a
  // version may take it again before long, so such a ranking is not taken to hold everybody.
  const bool versioned =
      request.snapshot || request.version || runners_.snapshot()->rolloutOf(request.service) != nullptr;
  std::vector<Runner*> fitting;
  if (versioned)
    std::copy_if(candidates.runners.begin(), candidates.runners.end(), std::back_inserter(fitting),
                 [&](const auto* runner) { return versionFits(*runner, request, context.now); });
  const auto& among = versioned ? fitting : candidates.runners;
  const bool few = among.size() <= wanted;
  ranking.all = few && !versioned;

  Prompt prompt;
  prompt.shared = sharedParts(request.prompt);
  for (const auto& [part, tokens] : prompt.shared) prompt.sharedTokens += tokens;
  prompt.ownTokens = std::max(1.0, request.promptTokens - prompt.sharedTokens);
  prompt.pooledTokens = context.engine ? cache_.sharedPoolTokens(request.model, request.prompt) : 0;
  if (context.engine && !prompt.shared.empty()) rankByCache(request, prompt, candidates, context);
  if (few) {
    for (auto* runner : among) add(request, prompt, *runner, 0, context);
  } else {
    for (auto left = 2 * wanted; left > 0 && ranking.order.size() < wanted; --left)
      add(request, prompt, *among[random_() % among.size()], 0, context);
  }
  std::sort(ranking.order.begin(), ranking.order.end(),
            [](const RankedRunner& a, const RankedRunner& b) { return a.cost < b.cost; });
}

// Adds the runners that keep the shared parts, or are expected to: a home is where every router expects them, whether
// this one knows of them there or not.
void RunnerChooser::rankByCache(RequestProfile& request, const Prompt& prompt, const RunnerSet::Candidates& candidates,
                                const Context& context) {
  const auto key = sharedKey(request.prompt);
  const auto places = routing::places(key, candidates.hashes, kPlaces);
  const auto homeCount = homes(key, prompt.ownTokens, context);
  const auto cached = cachedAt(request);
  // The common order speaks only where the index knows of nobody, or where more homes are needed.
  const bool known =
      std::any_of(cached.begin(), cached.end(), [&](const auto& at) { return at.tokens >= prompt.sharedTokens; });
  for (std::size_t i = 0; i < places.size(); ++i) {
    auto* runner = candidates.runners[places[i]];
    const bool ignored = known && (homeCount == 1 || i >= homeCount);
    // The place behind the homes is where they spill to.
    const double expectedPart = i < homeCount ? 1 : i == homeCount ? 0.5 : 0;
    double tokens = ignored ? 0 : expectedPart * prompt.sharedTokens;
    for (const auto& at : cached)
      if (at.runner == runner) tokens = std::max(tokens, at.tokens);
    add(request, prompt, *runner, tokens, context);
  }
  for (const auto& at : cached) add(request, prompt, *at.runner, at.tokens, context);
}

// How many homes shared parts have: more than one when more is requested than one engine can read.
std::size_t RunnerChooser::homes(std::uint64_t key, double ownTokens, const Context& context) {
  const double tokensPerS = popularity_.add(key, ownTokens, context.now) * static_cast<double>(context.routers);
  const double engineTokensPerS = 1000 * context.prefillSpeed.tokensPerMs() * context.bounds.policy.homeFill;
  if (engineTokensPerS <= 0) return 1;
  return 1 + static_cast<std::size_t>(std::min(kMostHomes, tokensPerS / engineTokensPerS));
}

std::vector<RunnerChooser::CachedAt> RunnerChooser::cachedAt(const RequestProfile& request) {
  std::vector<CachedAt> cached;
  for (const auto& overlap : cache_.overlaps(request.model, request.prompt))
    if (auto* runner = runners_.byNumber(overlap.runner);
        runner != nullptr && runners_.usable(*runner, request.service))
      cached.push_back({runner, static_cast<double>(overlap.tokens)});
  return cached;
}

// Adds a runner to the ranking, scored by what it keeps of the prompt and by its load.
void RunnerChooser::add(RequestProfile& request, const Prompt& prompt, Runner& runner, double cachedTokens,
                        const Context& context) {
  if (!versionFits(runner, request, context.now) || !firstTime(runner)) return;
  RankedRunner ranked{runner.number, runner.idHash, 0, 0};
  if (context.engine && !request.prompt.empty()) {
    const auto& policy = context.bounds.policy;
    const double running =
        runner.load.requests(context.now) + std::uniform_real_distribution<double>(0, kTieBreak)(random_);
    const double uncached = std::max(1.0, prompt.ownTokens + prompt.sharedTokens - cachedTokens);
    ranked.uncachedTokens = static_cast<std::uint32_t>(uncached);
    ranked.cost = kvindex::logit({policy.overlapWeight, policy.blockTokens, uncached, running, policy.sharedMultiplier,
                                  std::max(0.0, prompt.pooledTokens - cachedTokens) / policy.blockTokens});
  }
  request.ranking.order.push_back(ranked);
}

// Whether the runner is not yet in the ranking that is being made.
bool RunnerChooser::firstTime(const Runner& runner) {
  if (runner.number >= rankedIn_.size()) rankedIn_.resize(runner.number + 1);
  return std::exchange(rankedIn_[runner.number], rankings_) != rankings_;
}

// The runner, if it is still the one that was ranked.
Runner* RunnerChooser::resolve(const RankedRunner& ranked) const {
  auto* runner = runners_.byNumber(ranked.runner);
  return runner != nullptr && runner->idHash == ranked.idHash ? runner : nullptr;
}

}  // namespace indigohill::routing
