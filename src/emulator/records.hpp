#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

// What the stand-ins have seen of a run, as the judges read it. Kept in memory; a run's length and rate bound it.
namespace indigohill::emulator {

enum class RouteKind { Idempotent, NonIdempotent, ResumableStream };

inline bool isRepeatable(RouteKind kind) { return kind != RouteKind::NonIdempotent; }

// One request as its client knows it. Every try has an id of its own.
struct Attempt {
  enum class End {
    Unfinished,  // still under way
    Answered,    // a whole answer came
    Cut,         // the connection ended without a whole answer
    Left,        // the client closed its connection first
    TimedOut,    // the client's time was over
    Unsent       // the router did not take the connection or the request
  };

  std::string id;
  RouteKind kind = RouteKind::Idempotent;
  std::size_t router = 0;
  bool reusedConnection = false;
  base::TimePoint sentAt{}, deadline{};
  base::TimePoint endedAt{};  // for one that left: when its connection was closed
  End end = End::Unfinished;
  int status = 0;
  std::string seal, body;  // of a stream that was cut: what came of it

  bool isSuccess() const { return end == End::Answered && status >= 200 && status < 300; }
};

// One request as it reached a runner.
struct Arrival {
  enum class End {
    Working,      // in the queue or being worked on
    Rejected,     // turned away without having run, for want of room
    Misdirected,  // meant for another instance: 421
    Completed,    // all of the work was done
    Abandoned,    // dropped because its connection was closed
    Expired,      // the client's time was over
    Broken        // broken off by a fault of the runner or of its link
  };

  std::string attempt, runner;
  base::TimePoint sentAt{};     // when its bytes came to the runner's link
  base::TimePoint arrivedAt{};  // when the link let them through
  base::TimePoint startedAt{};  // when work on it began
  base::TimePoint endedAt{};
  base::Millis work{0};  // how long it lasts once it has a slot
  End end = End::Working;
  bool warming = false;    // the runner was warming up at the arrival
  bool ran = false;        // work on it has begun
  bool disturbed = false;  // a fault of the runner or of its link touched it
  bool intact = true;      // method, path and body are what the client sent
  std::string seal, body;  // of the whole answer
};

// A time in which a router was not itself, by the doing of the fault injector.
struct Outage {
  enum class Kind { Killed, Frozen, Terminating };

  Kind kind = Kind::Killed;
  std::size_t router = 0;
  base::TimePoint from{};
  base::TimePoint until = base::TimePoint::max();  // when it was ready again
};

// A router that said that it is ready although it has been told to end.
struct LateReadiness {
  std::size_t router = 0;
  base::TimePoint terminatedAt{}, askedAt{};
};

// A change of the configuration as its operator knows it.
struct ConfigurationChange {
  std::uint64_t revision = 0, base = 0;
  std::uint64_t markerTimeoutMs = 0;  // the value by which its document is known again
  bool acknowledged = false;
};

// What was read back at the end of a run.
struct ReadBack {
  std::uint64_t revision = 0, markerTimeoutMs = 0;
};

// A time in which some daemons were cut off from others.
struct CutTime {
  base::TimePoint from{};
  base::TimePoint until = base::TimePoint::max();

  bool contains(base::TimePoint at) const { return from <= at && at <= until; }
};

// A controller's disk that was lost.
struct LostDisk {
  std::size_t controller = 0;
  base::TimePoint at{};
};

// Which controller answered, and in which of its lives.
struct Answerer {
  std::size_t controller = 0, life = 0;
  bool operator==(const Answerer&) const = default;
};

// An add to a tally as its application knows it. All tries bear one id, so they are one add.
//
// The adds to one tally have amounts that are different powers of two: a total tells which of them it holds.
struct TallyAdd {
  struct Acknowledgement {
    Answerer by;
    base::TimePoint at{};
  };

  std::string tally, id;
  std::uint64_t amount = 0;
  base::TimePoint sentAt{};            // at first
  std::size_t tries = 0, notDone = 0;  // of these, answered with the promise that nothing was done
  std::vector<Acknowledgement> acknowledgements;

  bool mayBeCounted() const { return tries > notDone; }
};

// A tally that was read.
struct TallyRead {
  std::string tally;
  Answerer by;
  base::TimePoint sentAt{}, answeredAt{};
  std::uint64_t total = 0;
};

// Everything that was seen. Entries stay where they are: coroutines hold references to theirs.
struct Records {
  std::deque<Attempt> attempts;
  std::deque<Arrival> arrivals;
  std::vector<Outage> outages;
  std::vector<LateReadiness> lateReadiness;
  std::vector<ConfigurationChange> changes;
  std::optional<ReadBack> readBack;
  std::deque<TallyAdd> tallyAdds;
  std::vector<TallyRead> tallyReads;       // during the run
  std::vector<TallyRead> tallyReadBacks;   // at its end, at each controller
  std::vector<std::string> tallyRefusals;  // of proper calls, with a 4xx
  std::vector<CutTime> cuts;
  std::vector<LostDisk> lostDisks;
  std::map<std::size_t, std::size_t> controllerLives;  // how often each was started
  std::vector<std::string> invariantEvents;            // log lines of the daemons
  std::vector<std::string> unexpectedExits;
  base::TimePoint calmFrom{};    // all faults are over
  base::Millis longestStall{0};  // of the emulator's own event loop
};

}  // namespace indigohill::emulator
