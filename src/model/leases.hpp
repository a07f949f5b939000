#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "lease/duty_loop.hpp"
#include "lease/judge.hpp"

// A model of duty leases for the explorer: daemons that each run a real lease::DutyLoop, a store that judges with the
// real lease::judge and lease::StoreClock and may change its primary at any moment, a network that loses and delays,
// and a platform that looks at what comes to it. Whether the store itself keeps what it has acknowledged is the matter
// of ReplicaModel; here a write is kept once it is judged.
namespace indigohill::model {

// Faults put in on purpose, to show that the checker sees them.
enum class LeaseMutation {
  None,
  SendsUnchecked,         // a call is sent although the process stood still since it was checked
  UnconfirmedHeartbeats,  // a primary that was superseded renews leases without asking the voters
  NoFreshLeases,          // a new primary counts leases that it knows nothing of as run out
  ReclaimsAtOnce          // a holder that lost its lease to another may have it back at once
};

// What a schedule may contain, at most so many times each.
struct LeaseQuotas {
  std::uint8_t losses = 1, freezes = 1, kills = 1, primaries = 1, stops = 1, delays = 1;
};

struct LeaseSettings {
  std::size_t daemons = 2;
  LeaseQuotas quotas;
  LeaseMutation mutation = LeaseMutation::None;
};

struct LeaseAction {
  enum class Kind : std::uint8_t {
    Tick,          // time passes for everybody who is awake
    Deliver,       // the oldest message of a daemon's arrives
    Delay,         // it is set behind the others
    Lose,          // it is lost
    DeliverToOld,  // a request arrives at the primary before the present one
    BeginCall,     // a holder checks its lease and is about to call the platform
    SendCall,      // the bytes of that call leave and arrive
    Freeze,
    Thaw,
    Kill,
    Restart,
    Stop,  // a planned stop: the lease is handed over
    ChangePrimary
  };
  Kind kind = Kind::Tick;
  std::uint8_t daemon = 0;
  unsigned cost = 0;
  bool operator==(const LeaseAction&) const = default;
};

class LeaseModel {
 public:
  using Action = LeaseAction;

  struct Daemon {
    std::optional<lease::DutyLoop> loop;  // none: it is down
    bool frozen = false, stopping = false;
    std::optional<std::uint64_t> calling;  // the fence of a call that was checked and not sent
    base::TimePoint calledAt{};
    std::uint8_t restarts = 0;
  };
  // Of one daemon: its request, or the reply to it.
  struct InFlight {
    std::uint8_t daemon = 0;
    std::optional<schema::LeaseRequest> request;
    schema::LeaseReply reply;
  };
  struct Primary {
    lease::StoreClock clock{lease::Times{}};
    schema::DutyState duties;
  };
  struct Acted {
    base::TimePoint at;
    std::uint8_t daemon = 0;
  };
  struct State {
    base::TimePoint now{};
    std::vector<Daemon> daemons;
    std::vector<InFlight> network;
    Primary primary;
    std::optional<Primary> old;  // that may not know of its successor yet
    std::uint64_t epoch = 1, tables = 0;
    std::uint64_t newestFence = 0;  // that the platform has seen
    std::deque<Acted> acted;        // calls within the span in which no holder may act again
    LeaseQuotas used{0, 0, 0, 0, 0, 0};
    std::optional<std::string> violation;
  };

  explicit LeaseModel(LeaseSettings settings);

  const State& initial() const { return initial_; }
  std::vector<Action> actions(const State& state) const;
  bool possible(const State& state, const Action& action) const;
  State apply(const State& state, const Action& action) const;
  std::uint64_t fingerprint(const State& state) const;
  std::optional<std::string> violation(const State& state) const { return state.violation; }
  std::string text(const State& state, const Action& action) const;

 private:
  Action usual(const State& state) const;
  bool mayPerform(const State& state, std::uint8_t daemon) const;
  const InFlight* firstOf(const State& state, std::uint8_t daemon) const;
  lease::DutyLoop newLoop(std::uint8_t daemon, std::uint8_t restarts) const;
  void tick(State& state) const;
  void deliver(State& state, std::uint8_t daemon, bool toOld) const;
  void send(State& state, std::uint8_t daemon) const;
  void changePrimary(State& state) const;
  void judgeHolders(State& state) const;

  LeaseSettings settings_;
  lease::Times times_;
  State initial_;
};

}  // namespace indigohill::model
