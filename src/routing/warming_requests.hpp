#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/metrics.hpp"
#include "base/time.hpp"

// What this router admits to runners in slow start, against its own share of them: the figures for metrics, and the
// invariant that within any second no more is admitted than the share allows. It rests on the times of admission alone,
// not on how the share is kept to.
namespace indigohill::routing {

// The share of one second in requests: what accrues in it, and the one that a router may have in hand.
std::uint64_t slowStartAllowance(double sharePerS);

// Not thread-safe; the routing table's lock is held.
class WarmingRequests {
 public:
  static constexpr std::size_t kMaxRunners = 32;  // that figures are kept of; the one heard of least lately gives way

  // The figures of one runner, since it was first asked for.
  struct Figures {
    std::string instanceId;
    std::uint64_t admitted = 0;
    double sharePerS = 0;            // the present share
    std::uint64_t mostInSecond = 0;  // admitted within any second
    std::uint64_t allowance = 0;     // of the second in which that was
  };

  // A request asked for this runner in slow start, where this router has this share of its rate.
  void onAsked(const std::string& instanceId, double sharePerS, bool admitted, base::TimePoint now);

  std::vector<Figures> figures() const;
  // Over all runners.
  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Share {
    base::TimePoint since;
    double perS = 0;
  };
  struct Record {
    Figures figures;
    std::deque<base::TimePoint> admittedAt;  // within the last second
    std::deque<Share> shares;                // in force within the last second, the present one last
    base::TimePoint askedAt;
  };
  Record& recordOf(const std::string& instanceId);
  static double largestShare(Record& record, double sharePerS, base::TimePoint now);

  std::map<std::string, Record> records_;
  std::uint64_t admitted_ = 0, refused_ = 0;
};

}  // namespace indigohill::routing
