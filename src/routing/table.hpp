#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "control/configuration.hpp"
#include "kvindex/index.hpp"
#include "rollout/record.hpp"
#include "routing/health.hpp"
#include "routing/popularity.hpp"
#include "routing/slow_start.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// Where a request goes. The Decision is asked; the executor (src/proxy) obeys. No I/O, the time is an argument.
namespace indigohill::routing {

// What traffic reads of the control side: one immutable value, folded from the journal of news and views.
struct RoutingSnapshot {
  schema::StateVersion stateVersion, runnersVersion;
  std::shared_ptr<const control::Configuration> configuration;
  std::unordered_map<std::string, std::vector<const control::Route*>> byHost;  // longest prefix first
  std::set<std::string> evacuated;
  std::map<std::string, rollout::InForce> rollouts;  // by service; none for most
  std::vector<schema::RunnerEntry> runners;
  base::TimePoint listedAt{};
  bool hasRunners = false;
  std::optional<schema::View> view;
  std::uint64_t self = 0;  // this router's incarnation in it
  Routers proposed;        // in an extension acknowledged and not yet committed

  const control::Route* route(std::string_view host, std::string_view path) const;
};

// The events the snapshot is folded from.
struct StateReceived {
  schema::StateVersion version;
  std::shared_ptr<const control::Configuration> configuration;
  std::vector<std::string> evacuated;
  std::vector<rollout::InForce> rollouts{};
};
struct RunnersReceived {
  schema::StateVersion version;
  std::vector<schema::RunnerEntry> runners;
  base::TimePoint listedAt;
};
struct ViewReceived {
  std::optional<schema::View> view;
  std::uint64_t self = 0;
};
struct ProposalReceived {
  Routers routers;  // empty: none is pending
};
using Event = std::variant<StateReceived, RunnersReceived, ViewReceived, ProposalReceived>;
void fold(RoutingSnapshot& snapshot, const Event& event);

// The runners that a request may go to, as they were scored when it came: computed once, the lower the better.
// Admission and stream recovery take the next one from it.
struct Ranked {
  kvindex::RunnerId runner = 0;
  std::uint64_t idHash = 0;  // tells whether it is still that runner
  double logit = 0;
  std::uint32_t toRead = 0;  // prompt tokens that are probably not kept there
};
struct Ranking {
  std::vector<Ranked> order;
  bool all = false;  // holds every runner of the service
};

struct RequestProfile {
  const control::Route* route = nullptr;
  std::string service;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> prompt;  // parts: id, tokens
  std::uint64_t model = 0;                                      // the model's name, hashed
  std::uint32_t promptTokens = 0, outTokens = 0;
  std::uint32_t tries = 0;
  Ranking ranking;
  std::set<std::string> tried;  // runners that had it already
  std::string modelName;
  // A stream that goes on: at a runner of the same snapshot alone, or of this version where the snapshot is not known.
  std::optional<rollout::Snapshot> snapshot;
  std::optional<std::uint64_t> version;
  base::TimePoint arrivedAt, deadline;
};

class Table;

// A place taken at a runner; given back when this goes.
class Admission {
 public:
  Admission() = default;
  Admission(Table* table, std::string instanceId, std::uint32_t prompt, std::uint64_t told, std::uint64_t model = 0,
            std::vector<std::pair<std::uint64_t, std::uint32_t>> parts = {}) noexcept
      : table_(table),
        instanceId_(std::move(instanceId)),
        prompt_(prompt),
        told_(told),
        model_(model),
        parts_(std::move(parts)) {}
  Admission(Admission&& other) noexcept
      : table_(std::exchange(other.table_, nullptr)),
        instanceId_(std::move(other.instanceId_)),
        prompt_(other.prompt_),
        told_(other.told_),
        model_(other.model_),
        parts_(std::move(other.parts_)) {}
  Admission& operator=(Admission&& other) noexcept {
    if (this != &other) {
      release();
      table_ = std::exchange(other.table_, nullptr);
      instanceId_ = std::move(other.instanceId_);
      prompt_ = other.prompt_;
      told_ = other.told_;
      model_ = other.model_;
      parts_ = std::move(other.parts_);
    }
    return *this;
  }
  ~Admission() { release(); }
  void release();
  // The first token is there after this long: the prompt has been read, holds nobody up any more, and is kept there.
  void begun(base::Clock::duration after);

 private:
  Table* table_ = nullptr;
  std::string instanceId_;
  std::uint32_t prompt_ = 0;
  std::uint64_t told_ = 0;  // under which number the other routers know of the prompt; 0: they do not
  std::uint64_t model_ = 0;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> parts_;  // until they are recorded as kept
};

struct PassTo {
  std::string instanceId;
  settings::Endpoint address;
  std::string zone;
  std::uint32_t connections = 1;  // how many this daemon may hold to it
  Admission admission;
  rollout::Snapshot snapshot{};                    // as listed
  std::optional<std::uint64_t> expectedVersion{};  // of the weights; asked for while a rollout or a stream wants one
};
struct Wait {
  base::TimePoint until;
};
struct Reject {
  int status = 503;
  double retryAfterS = 0;
  std::string why;
};
using Decision = std::variant<PassTo, Wait, Reject>;

// How a try at a runner went, as far as the runner's health is concerned.
enum class AttemptResult { Success, Rejected, Failure };

struct Bounds {
  double retryRatio = 0.2, retrySlack = 0, warmupOvershoot = 1.5, warmupSlack = 5;
  base::Millis retryWindow{10000}, lease{1500};
  settings::Policy policy = settings::defaultPolicy();
  std::size_t indexBytes = 8u << 20;  // what the index of kept prompt parts may take
};

// One router's part of the further tries beyond the ratio in each window, for a number of routers.
double slackShare(const Bounds& bounds, std::size_t routers);

class Table {
 public:
  Table(std::string zone, Bounds bounds, std::uint64_t seed, base::TimePoint startedAt);

  // Every change of the snapshot goes through here; the table keeps its own state of each runner beside it.
  void setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot, base::TimePoint now);
  std::shared_ptr<const RoutingSnapshot> snapshot() const;
  void setLease(base::TimePoint until);
  void setBounds(const Bounds& bounds);

  // A request has come in for a service: the base of the retry budget.
  void arrived(const std::string& service, base::TimePoint now);
  // Which service of a split a request goes to; the same for the same id.
  static std::string pick(const control::Route& route, std::string_view attemptId);
  // Ranks the runners if the request has no ranking yet, and admits it to one of them.
  Decision decide(RequestProfile& asked, base::TimePoint now);
  Decision decide(RequestProfile&& asked, base::TimePoint now) { return decide(asked, now); }
  // Whether one further try may be made now; it is counted if so.
  bool admitRetry(const std::string& service, base::TimePoint now);
  void recordResult(const std::string& instanceId, AttemptResult result, base::TimePoint now);
  // A request there has had no first byte for as long as its aim. Evidence like a fault, but only for others' eyes.
  void recordLate(const std::string& instanceId, base::TimePoint now);
  // The first byte of an answer came within the aim.
  void recordInTime(const std::string& instanceId, base::TimePoint now);
  // Whether the routers together hold it to be ill.
  bool suspended(const std::string& instanceId, base::TimePoint now) const;
  // What is to be told of ill runners: to one router of the view by its incarnation, or to all (0). RequestProfile at
  // each tick.
  std::vector<std::pair<std::uint64_t, schema::HealthReport>> takeHealthReports(base::TimePoint now);
  void heard(const schema::HealthReport& suspicions, base::TimePoint now);
  void reportLoad(const std::string& instanceId, std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                  base::TimePoint now);
  // While a rollout is declared, a runner whose answer told another version than its list entry (none: a mixture) is
  // held back until that entry changes, and one that turned away a request for the listed version for a while.
  void versionMismatched(const std::string& instanceId, std::string_view model, std::optional<std::uint64_t> told);
  void versionRejected(const std::string& instanceId, base::TimePoint now);
  std::size_t routers(base::TimePoint now, base::Millis memory) const;
  // A runner has answered this prompt and keeps it now. Long shared parts that it did not keep before are told.
  void answered(const std::string& instanceId, std::uint64_t model, kvindex::Chain prompt);
  // A runner keeps this prompt now.
  void stored(const std::string& instanceId, std::uint64_t model, kvindex::Chain prompt);
  struct IndexState {
    kvindex::Counters counters;
    std::size_t blocks = 0, bytes = 0;
    std::uint64_t failed = 0;      // look-ups that failed; their requests went by load alone
    std::uint64_t poolFailed = 0;  // the same for the shared pool
    std::uint64_t rankings = 0;    // computed
  };
  IndexState indexState() const;
  // A pool that every runner can fetch from; none here.
  void setSharedPool(std::shared_ptr<kvindex::SharedPool> pool);
  // Another index, empty or filled; none while one is built.
  void setIndex(std::unique_ptr<kvindex::Index> index);
  // Which weights the runner has under the model's name, as it told in an answer.
  void setRevision(const std::string& instanceId, std::uint64_t model, std::uint64_t revision);
  // Requests a second that this router may send to a cold runner, besides one in hand; 0: none at all.
  double slowStartShare(const std::string& instanceId, std::string_view zone, const control::Service& service,
                        base::TimePoint now);
  // Where the shared parts of a prompt are expected to be kept; empty without a runner.
  std::string home(const std::string& service,
                   const std::vector<std::pair<std::uint64_t, std::uint32_t>>& prompt) const;

  // Long prompts are told to the other routers as they go out and when they have been read. `tell` is called with the
  // table locked: it only hands on.
  void setTell(std::function<void(const schema::LoadNotice&)> tell);
  void heard(const schema::LoadNotice& demand, base::TimePoint now);

 private:
  friend class Admission;
  struct Runner {
    schema::RunnerEntry entry;
    kvindex::RunnerId number = 0;
    std::uint64_t idHash = 0;
    std::uint32_t own = 0;        // own requests there
    std::uint64_t ownPrompt = 0;  // prompt tokens of those that have no first token yet
    std::map<std::uint64_t, std::pair<std::uint32_t, base::TimePoint>> others;  // long prompts of other routers, until
    double reported = 0;  // running and waiting as last told, less those own
    base::TimePoint reportedAt{};
    base::TimePoint coldUntil{};
    double warmTokens = 1;
    base::TimePoint warmAt{};
    std::uint32_t faults = 0;
    base::TimePoint ejectedUntil{};
    bool trial = false;
    Evidence evidence;  // gathered here when this router is its assessor
    Suspension suspension;
    base::TimePoint toldAt{};  // when trouble met here was last told
    bool listed = true;
    rollout::Snapshot snapshot;    // as listed
    std::string heldBack;          // why the rollout of its service keeps it from serving; empty: it does not
    bool contradicted = false;     // by an answer of its own
    std::uint32_t turnedAway = 0;  // requests that asked for the listed version
    base::TimePoint heldUntil{};   // for those
  };
  struct Window {
    std::deque<std::pair<base::TimePoint, std::uint32_t>> buckets;
    std::uint64_t sum = 0;
    void add(base::TimePoint now, base::Millis window);
    void expire(base::TimePoint now, base::Millis window);
  };
  struct Budget {
    Window requests, tries;
  };

  // The runners of a service that requests may go to, side by side for speed.
  struct Pool {
    std::vector<Runner*> runners;
    std::vector<std::uint64_t> hashes;
  };

  void store(const Runner& runner, std::uint64_t model, kvindex::Chain prompt);
  bool mayTell();
  void number(Runner& runner);
  void forget(const Runner& runner);
  void makePools();
  const Pool* poolOf(const std::string& service) const;
  std::vector<kvindex::Overlap> overlaps(const RequestProfile& asked);
  double pooledTokens(const RequestProfile& asked);
  void lookUpFailed(const char* what);
  void rank(RequestProfile& asked, const Pool& pool, bool engine, base::TimePoint now);
  Runner* ranked(const Ranked& ranked) const;
  bool usable(const Runner& runner, const std::string& service) const;
  bool leftOut(const Runner& runner, base::TimePoint now) const;
  const char* whyNobody(const RequestProfile& asked, base::TimePoint now) const;
  bool versionFits(const Runner& runner, const RequestProfile& asked, base::TimePoint now) const;
  void judge(Runner& runner, const RoutingSnapshot& before) const;
  const rollout::InForce* rolloutOf(const std::string& service) const;
  double demand(const Runner& runner, base::TimePoint now) const;
  void met(Runner& runner, base::TimePoint now);
  void gather(Runner& runner, const RouterId& reporter, base::TimePoint now);
  bool suspend(Runner& runner, bool byAll, base::TimePoint now);
  bool takeWarm(Runner& runner, const control::Service& service, base::TimePoint now);
  double slowStartShareLocked(const std::string& instanceId, std::string_view zone, const control::Service& service,
                              base::TimePoint now);
  std::size_t routersLocked(base::TimePoint now, base::Millis memory) const;
  double unread(Runner& runner, base::TimePoint now) const;
  void promptRead(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told,
                  std::optional<base::Clock::duration> after);
  void giveBack(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told);

  std::string zone_;
  Bounds bounds_;
  mutable std::mutex mutex_;  // lock order: docs/design.md, "Threads and locks"
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<std::string, Runner> runners_;
  std::vector<Runner*> byNumber_;  // runners by their number; a number is free where there is none
  std::map<std::string, Pool> pools_;
  std::unique_ptr<kvindex::Index> index_;  // none while it is built anew
  std::shared_ptr<kvindex::SharedPool> shared_;
  Popularity heat_;
  bool remake_ = false;  // the index is spoilt
  std::uint64_t failedLookUps_ = 0, failedPool_ = 0, rankings_ = 0;
  std::vector<std::uint64_t> seenIn_;  // by number: the ranking that has the runner
  std::map<std::string, Budget> budgets_;
  std::deque<std::pair<base::TimePoint, std::size_t>> routerCounts_;
  SlowStartShares warm_;
  std::map<std::string, Lateness> lateness_;                   // by service
  std::map<std::uint64_t, std::set<std::string>> suspicions_;  // to be told: assessor, runners
  std::map<std::uint64_t, std::set<std::string>> agreed_;      // to be told to all: for which zone, runners
  base::TimePoint leaseUntil_{}, startedAt_, viewSince_{};
  std::mt19937_64 random_;
  std::function<void(const schema::LoadNotice&)> tell_;
  double tellings_ = 1;  // messages that may be told now
  base::TimePoint tellingsAt_{};
  double tokensPerMs_ = 0;  // how fast engines read, as seen here; 0: not seen yet
};

}  // namespace indigohill::routing
