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
#include "rollout/record.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// Where a request goes. The Decision is asked; the executor (src/pass) obeys. No I/O, the time is an argument.
namespace indigohill::routing {

// What traffic reads of the control side: one immutable value, folded from the journal of news and views.
struct Picture {
  schema::Stamp frameStamp, runnersStamp;
  std::shared_ptr<const control::Configuration> configuration;
  std::unordered_map<std::string, std::vector<const control::Route*>> byHost;  // longest prefix first
  std::set<std::string> evacuated;
  std::map<std::string, rollout::InForce> rollouts;  // by service; none for most
  std::vector<schema::RunnerEntry> runners;
  base::TimePoint listedAt{};
  bool hasRunners = false;
  std::optional<schema::View> view;
  std::size_t proposedRouters = 0;  // in an extension acknowledged and not yet committed

  const control::Route* route(std::string_view host, std::string_view path) const;
};

// The events the picture is folded from.
struct FrameCame {
  schema::Stamp stamp;
  std::shared_ptr<const control::Configuration> configuration;
  std::vector<std::string> evacuated;
  std::vector<rollout::InForce> rollouts{};
};
struct RunnersCame {
  schema::Stamp stamp;
  std::vector<schema::RunnerEntry> runners;
  base::TimePoint listedAt;
};
struct ViewCame {
  std::optional<schema::View> view;
};
struct ProposalCame {
  std::size_t routers = 0;  // 0: none is pending
};
using Event = std::variant<FrameCame, RunnersCame, ViewCame, ProposalCame>;
std::size_t routersIn(const schema::View& view);
void fold(Picture& picture, const Event& event);

struct Asked {
  const control::Route* route = nullptr;
  std::string service;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> prompt;  // parts: id, tokens
  std::uint32_t promptTokens = 0, outTokens = 0;
  std::uint32_t tries = 0;
  std::set<std::string> tried;  // runners that had it already
  std::string modelName;
  // A stream that goes on: at a runner of the same snapshot alone, or of this version where the snapshot is not known.
  std::optional<rollout::Snapshot> snapshot;
  std::optional<std::uint64_t> version;
  base::TimePoint arrivedAt, deadline;
};

class Table;

// A place taken at a runner; given back when this goes.
class Taking {
 public:
  Taking() = default;
  Taking(Table* table, std::string instanceId, std::uint32_t prompt, std::uint64_t told) noexcept
      : table_(table), instanceId_(std::move(instanceId)), prompt_(prompt), told_(told) {}
  Taking(Taking&& other) noexcept
      : table_(std::exchange(other.table_, nullptr)), instanceId_(std::move(other.instanceId_)), prompt_(other.prompt_),
        told_(other.told_) {}
  Taking& operator=(Taking&& other) noexcept {
    if (this != &other) {
      release();
      table_ = std::exchange(other.table_, nullptr);
      instanceId_ = std::move(other.instanceId_);
      prompt_ = other.prompt_;
      told_ = other.told_;
    }
    return *this;
  }
  ~Taking() { release(); }
  void release();
  // The first token is there after this long: the prompt has been read and holds nobody up any more.
  void begun(base::Clock::duration after);

 private:
  Table* table_ = nullptr;
  std::string instanceId_;
  std::uint32_t prompt_ = 0;
  std::uint64_t told_ = 0;  // under which number the other routers know of the prompt; 0: they do not
};

struct PassTo {
  std::string instanceId;
  settings::Endpoint address;
  std::string zone;
  std::uint32_t connections = 1;  // how many this daemon may hold to it
  Taking taking;
  rollout::Snapshot snapshot{};  // as listed
  std::optional<std::uint64_t> expectedVersion{};  // of the weights; asked for while a rollout or a stream wants one
};
struct Wait {
  base::TimePoint until;
};
struct Shed {
  int status = 503;
  double retryAfterS = 0;
  std::string why;
};
using Decision = std::variant<PassTo, Wait, Shed>;

// How a try at a runner went, as far as the runner's health is concerned.
enum class Mark { Good, Refused, Fault };

struct Bounds {
  double retryRatio = 0.2, retrySlack = 0, warmupOvershoot = 1.5, warmupSlack = 5;
  base::Millis retryWindow{10000}, lease{1500};
  settings::Policy policy = settings::defaultPolicy();
};

// One router's part of what all routers share, for a number of routers: further tries beyond the ratio in each window,
// and requests a second to a cold runner.
double slackShare(const Bounds& bounds, std::size_t routers);
double warmRate(const control::Service& service, const Bounds& bounds, std::size_t routers);

class Table {
 public:
  Table(std::string zone, Bounds bounds, std::uint64_t seed, base::TimePoint startedAt);

  // Every change of the picture goes through here; the table keeps its own state of each runner beside it.
  void setPicture(std::shared_ptr<const Picture> picture, base::TimePoint now);
  std::shared_ptr<const Picture> picture() const;
  void setLease(base::TimePoint until);
  void setBounds(const Bounds& bounds);

  // A request has come in for a service: the base of the retry budget.
  void arrived(const std::string& service, base::TimePoint now);
  // Which service of a split a request goes to; the same for the same id.
  static std::string pick(const control::Route& route, std::string_view attemptId);
  Decision decide(const Asked& asked, base::TimePoint now);
  // Whether one further try may be made now; it is counted if so.
  bool drawRetry(const std::string& service, base::TimePoint now);
  void mark(const std::string& instanceId, Mark mark, base::TimePoint now);
  void load(const std::string& instanceId, std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
            base::TimePoint now);
  // While a rollout is declared, a runner whose answer told another version than its list entry (none: a mixture) is
  // held back until that entry changes, and one that turned away a request for the listed version for a while.
  void contradicted(const std::string& instanceId, std::string_view model, std::optional<std::uint64_t> told);
  void turnedAway(const std::string& instanceId, base::TimePoint now);
  std::size_t routers(base::TimePoint now, base::Millis memory) const;
  // Where the shared parts of a prompt are expected to be kept; empty without a runner.
  std::string home(const std::string& service, const std::vector<std::pair<std::uint64_t, std::uint32_t>>& prompt) const;

  // Long prompts are told to the other routers as they go out and when they have been read. `tell` is called with the
  // table locked: it only hands on.
  void setTell(std::function<void(const schema::Demand&)> tell);
  void heard(const schema::Demand& demand, base::TimePoint now);

 private:
  friend class Taking;
  struct Runner {
    schema::RunnerEntry entry;
    std::uint32_t own = 0;        // own requests there
    std::uint64_t ownPrompt = 0;  // prompt tokens of those that have no first token yet
    std::map<std::uint64_t, std::pair<std::uint32_t, base::TimePoint>> others;  // long prompts of other routers, until
    double reported = 0;          // running and waiting as last told, less those own
    base::TimePoint reportedAt{};
    base::TimePoint coldUntil{};
    double warmTokens = 1;
    base::TimePoint warmAt{};
    std::uint32_t faults = 0;
    base::TimePoint ejectedUntil{};
    bool trial = false;
    bool listed = true;
    rollout::Snapshot snapshot;      // as listed
    std::string heldBack;            // why the rollout of its service keeps it from serving; empty: it does not
    bool contradicted = false;       // by an answer of its own
    std::uint32_t turnedAway = 0;    // requests that asked for the listed version
    base::TimePoint heldUntil{};     // for those
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

  bool usable(const Runner& runner, const std::string& service) const;
  bool versionFits(const Runner& runner, const Asked& asked, base::TimePoint now) const;
  void judge(Runner& runner, const Picture& before) const;
  const rollout::InForce* rolloutOf(const std::string& service) const;
  double demand(const Runner& runner, base::TimePoint now) const;
  bool takeWarm(Runner& runner, const control::Service& service, base::TimePoint now);
  std::size_t routersLocked(base::TimePoint now, base::Millis memory) const;
  double unread(Runner& runner, base::TimePoint now) const;
  void promptRead(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told,
                  std::optional<base::Clock::duration> after);
  void giveBack(const std::string& instanceId, std::uint32_t prompt, std::uint64_t told);

  std::string zone_;
  Bounds bounds_;
  mutable std::mutex mutex_;  // lock order: docs/design.md, "Threads and locks"
  std::shared_ptr<const Picture> picture_;
  std::map<std::string, Runner> runners_;
  std::map<std::string, Budget> budgets_;
  std::deque<std::pair<base::TimePoint, std::size_t>> routerCounts_;
  base::TimePoint leaseUntil_{}, startedAt_, viewSince_{};
  std::mt19937_64 random_;
  std::function<void(const schema::Demand&)> tell_;
  double tokensPerMs_ = 0;  // how fast engines read, as seen here; 0: not seen yet
};

}  // namespace indigohill::routing
