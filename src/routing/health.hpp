#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "routing/slow_start.hpp"

// Health reports between routers. With 88 routers each sends a runner a request every ten seconds: alone it finds out
// too late. Evidence is what requests met (failures, first tokens later than the latency target), never the response to
// a health check.
namespace indigohill::routing {

// The routers that gather the evidence about a runner: the first of the view in rendezvous order of its id.
constexpr std::size_t kAssessors = 2;
std::vector<std::uint64_t> assessorsOf(const Routers& routers, const std::string& instanceId);

// The suspension of a runner on reports of several routers. After each it gets requests again; while it is on probation
// fewer reports are needed, and the next suspension is twice as long.
class Suspension {
 public:
  bool holds(base::TimePoint now) const { return now < until_; }
  bool probation(base::TimePoint now) const { return times_ > 0 && now < probationUntil_; }
  // Left out by all before, not by one zone alone: only then are fewer reports enough for all.
  bool probationForAll(base::TimePoint now) const { return byAll_ && probation(now); }
  // `byAll`: for every zone and not for the own one alone.
  void begin(base::Millis first, bool byAll, base::TimePoint now);

 private:
  base::TimePoint until_{}, probationUntil_{};
  std::uint32_t times_ = 0;
  bool byAll_ = false;
};

// What an assessor has received about one runner: which routers met a fault there, and when last.
class Evidence {
 public:
  void addReport(const RouterId& reporter, base::TimePoint now);
  // For whom enough routers agree. For all: `needed` of them, two of which are outside the zone that most are of (one
  // is enough on probation). Else for the routers of that zone alone, when enough of it agree: a cut between two zones
  // is no evidence for the others, nor is one router's own bad path, and a runner may be unhealthy toward one zone
  // only.
  std::optional<std::uint64_t> agreed(const Routers& routers, double expected, const Suspension& before,
                                      base::TimePoint now);
  void clear() { reporters_.clear(); }

 private:
  std::map<std::uint64_t, std::pair<std::uint64_t, base::TimePoint>> reporters_;  // incarnation: zone, when
};

// Which late first bytes a router reports. One is reported when the next responses from other runners of the service
// were in time. While a share p is late everywhere, p(1-p)^4 are reported, 8 in 100 at most: less than a runner is
// suspended for.
class Lateness {
 public:
  void late(const std::string& instanceId);
  // A response began in time: the runners whose lateness is now to be reported.
  std::vector<std::string> inTime(const std::string& instanceId);

 private:
  std::map<std::string, std::uint32_t> waiting_;  // late there; in time elsewhere since then
};

// Reports needed: as many routers as would meet a fault with a sixth of the requests that it gets, and never fewer than
// three (two on probation). `expected`: requests that it gets from all routers while evidence lasts.
std::size_t reportsNeeded(double expected, bool probation);
constexpr base::Millis kEvidenceLife{3000};
constexpr std::uint64_t kEveryZone = 0;

}  // namespace indigohill::routing
