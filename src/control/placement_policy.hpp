#pragma once
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/cluster_view.hpp"
#include "control/member_tracker.hpp"
#include "schema/messages.hpp"

// Chooses the voters and backups of the next epoch record. Pure: the inputs in, a record out.
namespace indigohill::control {

class PlacementPolicy {
 public:
  // Everything a choice rests on. The references must outlive the policy.
  struct Inputs {
    const std::string& selfId;          // voter id of the replica that chooses; it is the next primary
    const schema::EpochRecord& record;  // in force
    const ClusterView& cluster;         // candidates are its storage nodes
    const MemberTracker& members;
    std::size_t faultTolerance = 1;         // machines that may be lost at once with their disks
    base::Millis voterReplacementDelay{0};  // a voter missing for so long is replaced even if no newcomer came
    base::Millis newcomerWindow{0};         // see MemberTracker::isNewcomerFor
    base::TimePoint now{};
  };
  explicit PlacementPolicy(const Inputs& inputs) : in_(inputs) {}

  // The best record for the epoch after the one in force; nothing when there are too few backups for it. Where nothing
  // is better than what is in force, voters and backups are the same, in the same order.
  std::optional<schema::EpochRecord> nextRecord() const;

  // The voters of the next record: lost and retiring ones are replaced, all that can be at once, and there are to be
  // 2f+1 of them, or as many as there are storage nodes, but an odd number. No zone is to hold more than f.
  //
  // Any change may be made in one record. The record after epoch e is the value of one decree among the voters of e, so
  // there is one whatever its voters are. It also needs a majority of its own voters to have accepted it, so whoever
  // later holds a majority of them finds it. Voters of e that missed it cannot go on by themselves: a majority of them
  // holds one that accepted it, or has since learned of a later record, and is handed that.
  std::vector<std::string> chooseVoters() const;

  // The best `count` backups among those that have installed the state; fewer when there are not so many.
  std::vector<std::string> chooseInstalledBackups(std::size_t count, const std::set<std::string>& installed) const;

  // Whether this replica may shut down without costing a replica of the state or a vote: it is none of primary, backup
  // and voter any more, or nobody can take its place.
  bool mayRetire() const;

  // Whether all replicas (this one and the backups in force) are in one zone although another has a storage node.
  bool replicasShareOneZone() const;

 private:
  enum class Doubt { None, Unresponsive, Retiring };

  std::vector<std::string> chooseBackups(std::size_t count) const;
  std::vector<std::string> rankBackups(std::size_t count, std::vector<const schema::Member*> candidates,
                                       bool heedResponsiveness) const;
  Doubt doubtAbout(const schema::Member& candidate, bool heedResponsiveness) const;
  bool backupsInForceAreGood(std::size_t count) const;

  Inputs in_;
};

}  // namespace indigohill::control
