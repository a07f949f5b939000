#pragma once
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/journal.hpp"
#include "control/controller.hpp"
#include "router/router_core.hpp"
#include "routing/table.hpp"
#include "sim/duty_platform.hpp"

// A seeded world for tests: the real group, control and news code of every daemon on a simulated network, clock and
// disk. After each step the rules are looked at; the first one broken is kept with the time.
namespace indigohill::sim {

inline constexpr std::size_t kSeeds = 3;  // machines that a settings file names
// Bounds of duties: no former holder acts again within the first; usage windows, and how late they may be reported.
inline constexpr base::Millis kForbidden{3000}, kUsageWindow{5000}, kUsageDelay{10000};

struct Shape {
  std::size_t controllers = 3, routers = 5;
  std::uint64_t seed = 1;
  double loss = 0.01;
  std::size_t faultTolerance = 1;  // faultTolerance: core machines that may be lost at once
  std::size_t zones = 0;           // 0: one for each controller
  std::size_t observers = 0;       // controllers without a disk
  // Bounds of cold runners; so small that even a few routers cannot all hold a part.
  double warmupOvershoot = 1.5, warmupSlack = 2;
  // Seeds named at a restart are drawn anew from all machines that serve control, up or not.
  bool seedTurnover = false;
  double answerLoss = 0;            // chance that an answer to the operator is lost on its way
  base::Millis operatorWait{1500};  // the operator closes its connection after this
  bool duties = false;              // the platform expects usage reports and scaling
  double platformAnswerLoss = 0;    // chance that the platform's answer to a call of a duty is lost
  bool warmupChecks = true;         // whether the bounds of cold runners are checked (the slowest of the checks)
};

// What waits for a frozen machine. On wake the process may take it up in another order than it came.
enum class Input : std::uint8_t { Timer, Disk, Message, Order };
enum class WakeOrder : std::uint8_t { AsArrived, OrdersFirst, MessagesFirst };

struct DeferredInput {
  Input input = Input::Timer;
  std::function<void()> handle;
};

struct Node {
  std::string name, zone;
  settings::Endpoint peerAddress, control;
  bool isController = false, isObserver = false;
  bool powered = true;  // a process that ended on a machine with power refuses connections; one without says nothing
  bool alive = false, frozen = false, diskStalled = false, diskFull = false;
  base::Millis diskDelay{0};  // added to each transaction
  std::uint64_t incarnation = 0;
  std::vector<settings::Endpoint> seeds;      // peerAddress addresses in its settings file
  std::map<control::Slot, std::string> disk;  // what a loss of power leaves
  // Like the store: all writes asked for while a transaction is under way make up the next one.
  // Writes that failed go to the disk before the next that succeeds.
  std::vector<control::DiskWrite> committing, unsynced, refused;
  // The newest state that was on a disk which was lost, and when: its word may still be on its way to the primary.
  schema::StateVersion lostVersion;
  base::TimePoint diskLostAt{};
  std::vector<DeferredInput> deferredInputs;  // what waits while the machine is frozen
  // Since when it reaches no majority of the controllers with a disk, in either direction, by cuts alone.
  std::optional<base::TimePoint> isolatedSince;
  std::unique_ptr<control::Controller> controller;
  std::unique_ptr<router::RouterCore> router;
  std::unique_ptr<base::Journal<routing::Event, routing::RoutingSnapshot>> journal;
  std::unique_ptr<routing::Table> table;
  std::int64_t clockStepMs = 0;             // of its time of day from the true one
  bool offPlatform = false;                 // its calls do not reach the platform
  std::set<std::uint64_t> calls;            // of duties, under way
  std::vector<schema::UsageEntry> counted;  // by the router since its last tick
  std::uint64_t lastView = 0;
  std::uint64_t lastRevision = 0;
  schema::StateVersion lastVersion;
};

class World {
 public:
  explicit World(Shape shape);

  void run(base::Millis span);
  // Runs until `done` holds, at most for `span`; whether it came to hold.
  bool runUntil(base::Millis span, const std::function<bool()>& done);
  base::TimePoint now() const { return now_; }
  void after(base::Millis delay, std::function<void()> what);

  // Nodes 0..controllers-1 are controllers with a disk, then come the routers, then the relays.
  Node& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  std::size_t controllers() const { return shape_.controllers; }
  std::optional<std::size_t> active() const;
  // The core machines that the record of the active primary names, the primary first.
  std::vector<std::size_t> copies() const;
  // How many of the core may be lost at once: as many as are stated, as far as there are machines for it.
  std::size_t losses() const { return std::min(shape_.faultTolerance, (shape_.controllers - 1) / 2); }

  void start(std::size_t i);
  void kill(std::size_t i);      // the process ends; the disk keeps what had reached it
  void powerOff(std::size_t i);  // the same, and all that was not synced is gone
  void wipe(std::size_t i);      // powerOff, and the disk is gone
  void freeze(std::size_t i) { nodes_[i]->frozen = true; }
  void thaw(std::size_t i, WakeOrder order = WakeOrder::AsArrived);
  // Exchanges the seeds in the settings file of a daemon; a running one reads them at once.
  void setSeeds(std::size_t i, std::vector<settings::Endpoint> seeds);
  // Three machines that serve control, drawn by lot, up or not.
  std::vector<settings::Endpoint> drawSeeds();
  void term(std::size_t i);     // SIGTERM
  void replace(std::size_t i);  // another machine at another address, with an empty disk
  void cut(std::size_t a, std::size_t b, bool is, bool bothWays = true);
  void cutOff(std::size_t i, const std::set<std::size_t>& from, bool is);
  bool cutBetween(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }
  void setLoss(double loss) { shape_.loss = loss; }
  void setAnswerLoss(double loss) { shape_.answerLoss = loss; }
  void setSeedTurnover(bool turnover) { shape_.seedTurnover = turnover; }
  const Shape& shape() const { return shape_; }

  // The operator. `done` gets the answer, or status 0 when none came.
  void order(std::size_t at, control::OrderKind kind, std::uint64_t baseVersion, std::string body,
             std::function<void(const control::Answer&)> done);
  // Sends it to one controller after the other until there is a clear answer.
  void orderUntilClear(control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                       std::function<void(const control::Answer&)> done);

  std::vector<schema::RunnerEntry> platform;  // what the platform's list shows
  DutyPlatform dutyPlatform{kForbidden};      // how it takes calls of duties
  // So many requests of a tenant begin to run at a router.
  void beginRequests(std::size_t router, const std::string& tenant, std::uint64_t requests);
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> began;  // the truth, by window and tenant
  std::uint64_t windowNow() const;
  std::int64_t unixMs() const;  // the true time of day
  // The daemons that may perform a duty at this moment, asleep or not.
  std::vector<std::size_t> dutyHolders(const lease::Subject& subject) const;
  // The nodes that settings name as seeds from the next start on; the first three controllers if none are given.
  std::vector<std::size_t> seedNodes;

  const std::optional<std::string>& broken() const { return broken_; }
  std::uint64_t steps() const { return steps_; }
  std::uint64_t random() { return random_(); }
  std::string describe() const;  // every daemon's place in the agreement
  void breakRule(const std::string& what);
  // Looked at after each step besides the rules that always hold.
  std::vector<std::function<void()>> checks;
  // Called when an answer leaves a controller, whether or not it reaches the operator.
  std::function<void(std::size_t, const control::Answer&)> onAnswer;
  // Called when a daemon takes over a state with another version.
  std::function<void(std::size_t, const schema::ControlState&)> onState;
  std::optional<std::size_t> nodeAt(const settings::Endpoint& peerAddress) const;
  // Controllers, with a disk or without.
  std::vector<std::size_t> controlNodes() const;

 private:
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void deliver(std::size_t from, net::Outbox out);
  void perform(std::size_t i, control::Effects& effects);
  void perform(std::size_t i, router::RouterEffects& effects);
  void readSeeds(Node& node);
  void startController(std::size_t i);
  void startRouter(Node& node);
  void startLater(std::size_t i);
  void startCommit(std::size_t i);
  void finishCommit(std::size_t i, std::uint64_t incarnation);
  void takeAnswer(std::size_t i, const control::Answer& answer);
  void closeCall(std::uint64_t number);
  void noteIsolation();
  struct Acknowledged {
    base::TimePoint at;
    schema::StateVersion version;
  };
  std::deque<Acknowledged> acknowledged_;  // the newest first
  void checkConfirmations(std::size_t i, const net::Outbox& out);
  void checkIsolated(std::size_t i, const net::Outbox& out);
  void onNode(std::size_t i, std::uint64_t incarnation, Input input, std::function<void()> what);
  void tickLoop(std::size_t i, std::uint64_t incarnation);
  void trace(std::size_t i,
             const std::vector<base::LogEvent>& events) const;  // to standard output, if INDIGOHILL_TRACE is set
  void check();
  void checkView(Node& node);
  void checkState(std::size_t i);
  void checkVoters();
  void checkWarmupRates();
  void checkShares();
  duties::Setup dutySetup(const Node& node) const;
  void startCall(std::size_t i, const duties::PlatformCall& call);
  void arriveAtPlatform(std::size_t i, std::uint64_t incarnation, const duties::PlatformCall& call);
  void endCall(std::size_t i, std::uint64_t id, duties::CallOutcome outcome);
  void checkDuties();
  bool isRouterWithLease(const Node& node) const;
  void stop(std::size_t i, bool power);
  void tryOrder(std::size_t i, control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                std::function<void(const control::Answer&)> done);
  void checkAck(std::size_t i);
  void notePublished(std::size_t i);
  static std::optional<schema::StateVersion> versionOnDisk(const Node& node);
  std::size_t copiesOf(const schema::StateVersion& version) const;
  std::optional<std::size_t> at(const settings::Endpoint& peerAddress) const;

  Shape shape_;
  std::mt19937_64 random_;
  base::TimePoint now_{std::chrono::hours(1)};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0, steps_ = 0, calls_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  struct PendingCall {
    control::OrderKind kind = control::OrderKind::Describe;
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    base::TimePoint sentAt;
    std::uint64_t epochWhenSent = 0;  // the newest epoch in which a primary had been active by then
    bool answered = false;
    std::function<void(const control::Answer&)> done;  // empty once the operator has its answer or has given up
  };
  std::map<std::uint64_t, PendingCall> pendingCalls_;
  std::uint64_t newestActiveEpoch_ = 0;
  std::set<schema::StateVersion> durable_;      // versions that lay on as many disks as they must
  std::map<std::uint64_t, std::string> views_;  // number -> what it holds: the same on every daemon
  std::map<std::uint64_t, std::string> incarnations_;
  std::optional<std::string> broken_;
  bool bootstrap_ = true;
};

}  // namespace indigohill::sim
