#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"
#include "settings/settings.hpp"

// The counts of all routers at the holder of the usage lease. A router's total of a window and tenant only rises, so
// the greatest that was heard counts: messages may come twice, late and in any order.
namespace indigohill::usage {

class Ledger {
 public:
  // Takes a router's counts. Windows up to `delivered` are not kept any more.
  void merge(const schema::UsageCounts& counts, base::TimePoint now);
  // Drops the windows up to this one.
  void forget(std::uint64_t through);

  // What is known of a window, by tenant in the order of their names; tenants without a request count 0.
  schema::UsageReport report(std::uint64_t window, const std::vector<std::string>& tenants) const;
  // Whether every one of these routers, and each that was heard since `since`, has told all that it counted up to the
  // end of the window. One that was restarted at its address need not have told it in its former life.
  bool isComplete(std::uint64_t window, const std::set<settings::Endpoint>& routers, base::TimePoint since) const;

  // The fleet's time of day: the median of what the routers told lately. Nothing while none did.
  std::optional<std::int64_t> unixMs(base::TimePoint now) const;
  // Requests of each service over all routers that told of them lately.
  std::map<std::string, schema::ServiceLoad> loads(base::TimePoint now) const;
  // Loads are summed over time: rejections since the last call.
  std::map<std::string, std::uint64_t> takeRejections();

  std::uint64_t delivered() const { return delivered_; }

 private:
  struct Router {
    base::TimePoint heardAt{};
    std::uint64_t sequence = 0;  // of the newest message
    settings::Endpoint address;
    std::uint64_t completeThrough = 0;
    std::int64_t offsetMs = 0;  // of its time of day from this daemon's steady clock
    std::vector<schema::ServiceLoad> loads;
  };
  using Counts = std::map<std::string, std::uint64_t>;  // by tenant

  std::map<std::uint64_t, Router> routers_;                           // by daemon
  std::map<std::uint64_t, std::map<std::uint64_t, Counts>> windows_;  // by window and daemon
  std::map<std::string, std::uint64_t> rejections_;                   // by service, not taken yet
  std::uint64_t delivered_ = 0;
};

}  // namespace indigohill::usage
