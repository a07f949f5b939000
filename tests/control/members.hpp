#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "control/cluster_view.hpp"
#include "membership/view.hpp"

// Small clusters for tests of the control state's parts.
namespace indigohill::tests {

inline schema::Member controllerIn(const std::string& zone, const std::string& voterId) {
  schema::Member member;
  member.id = voterId + "/controller";
  member.voterId = voterId;
  member.zone = zone;
  member.role = static_cast<std::uint8_t>(membership::Role::Controller);
  member.port = 1;
  return member;
}

// One controller with a disk for each voter id; the zones are taken in turn from `zones`.
inline control::ClusterView clusterOf(const std::vector<std::string>& voterIds, const std::vector<std::string>& zones) {
  control::ClusterView out;
  for (std::size_t i = 0; i < voterIds.size(); ++i)
    out.controllers.push_back(controllerIn(zones[i % zones.size()], voterIds[i]));
  return out;
}

inline schema::EpochRecord recordOf(const std::string& primary, std::vector<std::string> backups,
                                    std::vector<std::string> voters, std::uint64_t epoch = 5) {
  schema::EpochRecord record;
  record.epoch = epoch;
  record.primary = primary;
  record.backups = std::move(backups);
  record.voters = std::move(voters);
  return record;
}

}  // namespace indigohill::tests
