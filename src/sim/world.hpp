#pragma once
#include <algorithm>
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
#include "feed/follower.hpp"
#include "routing/table.hpp"

// A seeded world for tests: the real group, control and news code of every daemon on a simulated network, clock and
// disk. After each step the rules are looked at; the first one broken is kept with the time.
namespace indigohill::sim {

struct Shape {
  std::size_t controllers = 3, routers = 5;
  std::uint64_t seed = 1;
  double loss = 0.01;
  std::size_t faultTolerance = 1;  // faultTolerance: core machines that may be lost at once
  std::size_t zones = 0;           // 0: one for each controller
  std::size_t relays = 0;          // controllers without a disk
  // Bounds of cold runners; so small that even a few routers cannot all hold a part.
  double warmupOvershoot = 1.5, warmupSlack = 2;
};

struct Node {
  std::string name, zone;
  settings::Endpoint cohort, control;
  bool isController = false, isRelay = false;
  bool powered = true;  // a process that ended on a machine with power refuses connections; one without says nothing
  bool alive = false, frozen = false, diskStalled = false, diskFull = false;
  std::uint64_t life = 0;
  std::map<control::Slot, std::string> disk;  // what a loss of power leaves
  std::vector<control::DiskWrite> unsynced;
  std::vector<std::function<void()>> heldUp;  // what waits while the machine is frozen
  std::unique_ptr<control::Controller> controller;
  std::unique_ptr<feed::Follower> follower;
  std::unique_ptr<base::Journal<routing::Event, routing::RoutingSnapshot>> journal;
  std::unique_ptr<routing::Table> table;
  std::uint64_t lastView = 0;
  std::uint64_t lastRevision = 0;
  schema::StateVersion lastStamp;
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
  void thaw(std::size_t i);
  void term(std::size_t i);     // SIGTERM
  void replace(std::size_t i);  // another machine at another address, with an empty disk
  void cut(std::size_t a, std::size_t b, bool is, bool bothWays = true);
  void cutOff(std::size_t i, const std::set<std::size_t>& from, bool is);
  void setLoss(double loss) { shape_.loss = loss; }

  // The operator. `done` gets the answer, or status 0 when none came.
  void order(std::size_t at, control::OrderKind kind, std::uint64_t baseVersion, std::string body,
             std::function<void(const control::Answer&)> done);
  // Sends it to one controller after the other until there is a clear answer.
  void orderUntilClear(control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                       std::function<void(const control::Answer&)> done);

  std::vector<schema::RunnerEntry> platform;  // what the platform's list shows
  // The nodes that settings name as seeds from the next start on; the first three controllers if none are given.
  std::vector<std::size_t> seedNodes;

  const std::optional<std::string>& broken() const { return broken_; }
  std::uint64_t steps() const { return steps_; }
  std::uint64_t random() { return random_(); }
  std::string describe() const;  // every daemon's place in the agreement
  void breakRule(const std::string& what);
  // Looked at after each step besides the rules that always hold.
  std::vector<std::function<void()>> checks;

 private:
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void deliver(std::size_t from, net::Outbox out);
  void perform(std::size_t i, control::Effects& effects);
  void perform(std::size_t i, feed::FollowerEffects& effects);
  void syncDisk(std::size_t i, std::uint64_t life);
  void onNode(std::size_t i, std::uint64_t life, std::function<void()> what);
  void tickLoop(std::size_t i, std::uint64_t life);
  void trace(std::size_t i,
             const std::vector<std::string>& notes) const;  // to standard output, if INDIGOHILL_TRACE is set
  void check();
  void stop(std::size_t i, bool power);
  void tryOrder(std::size_t i, control::OrderKind kind, std::uint64_t baseVersion, std::string body,
                std::function<void(const control::Answer&)> done);
  void checkAck(std::size_t i, const control::Answer& answer);
  std::optional<std::size_t> at(const settings::Endpoint& cohort) const;

  Shape shape_;
  std::mt19937_64 random_;
  base::TimePoint now_{std::chrono::hours(1)};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0, steps_ = 0, calls_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<std::uint64_t, std::pair<control::OrderKind, std::function<void(const control::Answer&)>>> waiting_;
  std::map<std::uint64_t, std::string> views_;  // number -> what it holds: the same on every daemon
  std::map<std::uint64_t, std::string> incarnations_;
  std::optional<std::string> broken_;
  bool bootstrap_ = true;
};

}  // namespace indigohill::sim
