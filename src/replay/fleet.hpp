#pragma once
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "control/configuration.hpp"
#include "replay/recording.hpp"
#include "routing/routing_policy.hpp"
#include "routing/table.hpp"

// Recorded traffic played against modelled runners by the very code that decides in a router: each router of the
// replayed fleet has a routing table of its own and takes each request through as the daemon does. Time is simulated,
// and the same inputs give the same outcomes.
namespace indigohill::replay {

// What became of one recorded request, over all of its client's tries.
struct Outcome {
  std::string id, route;
  bool served = false, late = false;
  std::uint32_t runs = 0;     // runs that a runner began
  std::uint32_t allowed = 0;  // runs it may have had: any number if repeatable, else one for each of the client's tries
  std::uint32_t tries = 0;    // sends to runners
  std::uint64_t again = 0;    // tokens of shared parts that were read although some runner had read them before
  base::Millis took{0};
  bool doubled() const { return allowed != 0 && runs > allowed; }
};

class Fleet {
 public:
  // `inForce` says which requests may run more than once: the configuration in force, also where a changed one that
  // calls a route repeatable is played. Otherwise a change could hide what it doubles.
  Fleet(Model model, std::shared_ptr<const control::Configuration> configuration,
        std::shared_ptr<const control::Configuration> inForce, const settings::Policy& policy, std::uint64_t seed);
  std::vector<Outcome> play(const std::vector<Recorded>& traffic);
  std::uint64_t steps() const { return steps_; }

 private:
  struct Runner {
    std::string name, instanceId;
    const Group* group = nullptr;
    schema::RunnerEntry entry;
    bool up = true;
    std::uint64_t life = 0;
    std::uint32_t running = 0;
    std::list<std::function<void()>> queue;
    base::TimePoint promptsReadAt{};      // when the prompts accepted so far have been read
    std::list<kvindex::PromptPart> kept;  // the latest used first
    std::unordered_map<std::uint64_t, std::list<kvindex::PromptPart>::iterator> keptAt;
    std::uint64_t keptTokens = 0;
  };
  struct Router {
    std::unique_ptr<routing::Table> table;
    std::shared_ptr<routing::RoutingSnapshot> snapshot;
    bool up = true;
    std::uint64_t life = 0;
  };
  struct Job;  // one try of a client, at one router
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void after(base::Millis delay, std::function<void()> what);
  void show();
  base::TimePoint sentAt(std::size_t index) const;
  void begin(std::size_t index, std::uint32_t clientTry);
  void step(std::shared_ptr<Job> job);
  void send(std::shared_ptr<Job> job, routing::PassTo to);
  void accept(std::shared_ptr<Job> job, Runner& runner);
  void run(std::shared_ptr<Job> job, Runner& runner);
  // Why an attempt at a runner ended without an answer.
  enum class AttemptEnd { NoConnection, ConnectionBroken, RunnerCrashed, Rejected, OutOfTime };
  void broken(std::shared_ptr<Job> job, AttemptEnd why);
  void answered(std::shared_ptr<Job> job);
  void ended(std::shared_ptr<Job> job, const routing::Ending& ending);
  void leaveSlot(Runner& runner);
  base::Millis readPrompt(Runner& runner, const routing::RequestProfile& asked, Outcome& outcome);
  void beginFault(const Fault& fault);

  Model model_;
  std::shared_ptr<const control::Configuration> configuration_;
  routing::RoutingSnapshot inForce_;
  base::TimePoint now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0, steps_ = 0, version_ = 0;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<Router> routers_;
  std::vector<std::weak_ptr<Job>> open_;
  const std::vector<Recorded>* traffic_ = nullptr;
  std::vector<Outcome> outcomes_;
  std::unordered_set<std::uint64_t> readOnce_;  // parts that some runner has read
};

}  // namespace indigohill::replay
