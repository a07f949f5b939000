#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "routing/bounds.hpp"
#include "routing/cached_prompts.hpp"
#include "routing/popularity.hpp"
#include "routing/request.hpp"
#include "routing/runner_set.hpp"

// Which runners a request should go to, in order: by expected cost at engines that keep prompts, by load elsewhere.
namespace indigohill::routing {

// How fast engines read prompts, as seen here.
class PrefillSpeed {
 public:
  // A prompt was read in this time while so many tokens were unread there. Short prompts and times say little and are
  // left out.
  void record(std::uint32_t promptTokens, std::uint64_t unreadTokens, base::Clock::duration time);
  // 0: not seen yet.
  double tokensPerMs() const { return tokensPerMs_; }

 private:
  double tokensPerMs_ = 0;
};

// A runner that a request may go to now.
struct Choice {
  Runner* runner = nullptr;
  double load = 0, cost = 0;
  std::uint32_t uncachedTokens = 0;
};

class RunnerChooser {
 public:
  struct Context {
    const Bounds& bounds;
    bool engine = false;            // the service's runners keep prompts
    std::size_t routers = 1;        // that share the runners
    std::uint32_t connections = 1;  // own requests at one runner, at most
    const PrefillSpeed& prefillSpeed;
    base::TimePoint now;
  };

  // `runners` and `cache` are the table's own and outlive this.
  RunnerChooser(std::string zone, RunnerSet& runners, CachedPrompts& cache, std::uint64_t seed)
      : zone_(std::move(zone)), runners_(runners), cache_(cache), random_(seed) {}

  // The runners for the request, the best first; ranks them anew if the request's ranking holds none that has room.
  std::vector<Choice> choices(RequestProfile& request, const RunnerSet::Candidates& candidates, const Context& context);
  static bool full(const Choice& choice, const Context& context);
  static bool versionFits(const Runner& runner, const RequestProfile& request, base::TimePoint now) {
    return runner.version.fits(request.snapshot, request.version, request.modelName, now);
  }
  std::uint64_t rankings() const { return rankings_; }
  std::mt19937_64& random() { return random_; }

 private:
  // What is known of the prompt while runners are ranked for it.
  struct Prompt {
    kvindex::Chain shared;  // all parts but the request's own
    double sharedTokens = 0, ownTokens = 0, pooledTokens = 0;
  };
  struct CachedAt {
    Runner* runner = nullptr;
    double tokens = 0;
  };

  std::vector<Choice> rankedChoices(const RequestProfile& request, const Context& context);
  Choice choice(Runner& runner, const RankedRunner& ranked, const RequestProfile& request, const Context& context);
  void rank(RequestProfile& request, const RunnerSet::Candidates& candidates, const Context& context);
  void rankByCache(RequestProfile& request, const Prompt& prompt, const RunnerSet::Candidates& candidates,
                   const Context& context);
  std::size_t homes(std::uint64_t key, double ownTokens, const Context& context);
  std::vector<CachedAt> cachedAt(const RequestProfile& request);
  void add(RequestProfile& request, const Prompt& prompt, Runner& runner, double cachedTokens, const Context& context);
  bool firstTime(const Runner& runner);
  Runner* resolve(const RankedRunner& ranked) const;

  std::string zone_;
  RunnerSet& runners_;
  CachedPrompts& cache_;
  Popularity popularity_;
  std::mt19937_64 random_;
  std::uint64_t rankings_ = 0;
  std::vector<std::uint64_t> rankedIn_;  // by number: the last ranking that has the runner
};

}  // namespace indigohill::routing
