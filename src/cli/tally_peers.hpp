#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/group.hpp"
#include "tally/replica.hpp"

// Where the other replicas of the tallies are, and which of them are to be expected in reach: those in zones that the
// group is in touch with. Replicas stand at controllers with a disk. Not thread-safe.
namespace indigohill::cli {

class TallyPeers {
 public:
  explicit TallyPeers(settings::Endpoint self) : self_(self) {}

  // `contacts`: addresses at which the group may be found, for as long as there is no view.
  tally::Surroundings surroundings(const membership::Group& group, std::vector<settings::Endpoint> contacts,
                                   base::TimePoint now);

 private:
  struct Replica {
    std::string zone;
    base::TimePoint seenAt;  // in a view
  };

  void learn(const schema::View& view, base::TimePoint now);

  settings::Endpoint self_;
  std::map<settings::Endpoint, Replica> replicas_;
  bool hadView_ = false;
};

// A replica's address between daemons: one of this zone if there is any, else any other.
std::optional<settings::Endpoint> nearestTallyReplica(const schema::View& view, const std::string& zone);

}  // namespace indigohill::cli
