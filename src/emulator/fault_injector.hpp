#pragma once
#include <memory>

#include "emulator/daemon_fleet.hpp"
#include "emulator/fault_plan.hpp"
#include "emulator/peer_cuts.hpp"
#include "emulator/platform.hpp"
#include "emulator/timeline.hpp"
#include "emulator/traffic.hpp"

namespace indigohill::emulator {

// Carries out a plan of faults, each at its time, and takes back those that last.
class FaultInjector : public std::enable_shared_from_this<FaultInjector> {
 public:
  // What the faults act upon; all of it outlives the injector.
  struct Targets {
    DaemonFleet& fleet;
    Platform& platform;
    Traffic& traffic;
    PeerCuts& cuts;
    Timeline& timeline;
  };

  FaultInjector(const http::asio::any_io_executor& executor, const Experiment& experiment, Targets targets)
      : executor_(executor), experiment_(experiment), targets_(targets) {}

  void start(const FaultPlan& plan);
  // Takes back whatever still lasts; faults that have not begun do not begin any more.
  void healAll();

 private:
  http::asio::awaitable<void> carryOut(Fault fault);
  void begin(const Fault& fault);
  void heal(const Fault& fault);
  std::shared_ptr<Runner> expendableRunner(const Fault& fault) const;
  void setLink(const Fault& fault, Link::State state);
  void setPace(double factor);

  http::asio::any_io_executor executor_;
  const Experiment& experiment_;
  Targets targets_;
  double pace_ = 1;
  bool healed_ = false;
};

}  // namespace indigohill::emulator
