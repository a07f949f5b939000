#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/operators.hpp"
#include "sim/world.hpp"

// A day of troubles drawn by a seed: losses of core machines in succession, each at the earliest moment at which the
// stated fault tolerance permits it or a little later, troubles of routers and relays beside them, exchanged seeds,
// storms of orders, and now and then the loss of everything at once. Each round ends with a calm in which the fleet
// must be whole again and take orders in time.
namespace indigohill::sim {

// Bounds that a deployment states, in the settings' words.
struct DayBounds {
  base::Millis contact{3000};      // contactMs
  base::Millis ackTimeout{4000};   // ackTimeoutMs
  base::Millis configApply{2000};  // configApplyMs
  base::Millis catchUp{4000};      // catchUpS
  base::Millis recovery{12000};    // recoveryS
};

struct DayOptions {
  std::uint64_t seed = 1;
  std::size_t rounds = 3;
  base::Millis faultyPeriod{25000};     // length of the troubled part of a round
  std::size_t resendWithin = SIZE_MAX;  // how many of the newest orders are sent once more
  bool oneWayCuts = true;               // without: such cuts go both ways
  DayBounds bounds{};
};

struct DayResult {
  std::optional<std::string> broken;  // the rule, with seed and time
  std::string places;                 // where each daemon stood then
  base::Millis simulated{0};
  std::size_t orders = 0, acknowledged = 0, faults = 0;
};

// The fleet that a seed stands for: one or two losses, 3 to 6 controllers with a disk, relays and routers.
Shape shapeOf(std::uint64_t seed);

class WorstDay {
 public:
  explicit WorstDay(DayOptions options);
  DayResult play();

 private:
  enum class Fault : std::uint8_t {
    Kill,
    PowerOff,
    Wipe,
    Replace,
    Freeze,
    CutOff,
    CutOneWay,
    DiskStall,
    DiskFull,
    DiskSlow,
    RollingRestart,
    LeaveForGood,
    Count
  };

  void fault();
  void coreFault();
  void zoneFault();
  void edgeFault();
  void fleetFault();
  void begin(Fault kind, std::size_t node, base::Millis length);
  void endLater(std::size_t node, base::Millis delay, std::function<void()> end);
  void restartOnceEnded(std::size_t node, bool asNew, int looks);
  void restart(std::size_t node);
  void isolate(std::size_t node, base::Millis length, bool oneWay);
  void exchangeSeeds();
  void operatorFault();
  void calm();
  void watch();
  void watchOrders();
  void watchRouters();

  bool isCore(std::size_t node) const { return node < world_.controllers(); }
  void noteFault(std::size_t node);
  std::size_t lost(std::optional<std::size_t> besides = std::nullopt) const;
  std::size_t drawCore();
  base::Millis between(std::int64_t low, std::int64_t high);
  bool oneIn(std::uint64_t count) { return world_.random() % count == 0; }
  // Since when the core is settled; nothing while it is not.
  std::optional<base::TimePoint> settledSince() const;
  bool whole() const;
  void note(const std::string& text) const;

  DayOptions options_;
  Shape shape_;
  World world_;
  Operators operators_;
  bool faulty_ = false, losesAnswers_ = false, loseOnAcknowledgement_ = false;
  std::size_t faults_ = 0;
  std::vector<std::size_t> ongoing_;          // troubles under way at each node
  std::vector<base::TimePoint> lostUntil_;    // of core machines
  std::vector<base::TimePoint> lastFaultAt_;  // of all machines
};

}  // namespace indigohill::sim
