#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "membership/view.hpp"

// Small views for tests of the group's parts.
namespace indigohill::tests {

inline schema::Member memberOf(const std::string& id, std::uint64_t incarnation, const std::string& voterId = {}) {
  schema::Member out;
  out.id = id;
  out.voterId = voterId;
  out.role = static_cast<std::uint8_t>(voterId.empty() ? membership::Role::Router : membership::Role::Controller);
  out.ip = static_cast<std::uint32_t>(incarnation);
  out.port = 1;
  out.bootId = 1000 + incarnation;
  out.incarnation = incarnation;
  return out;
}

// View 100 of controllers v1, v2, v3 (incarnations 1 to 3, the voters) and router r (4).
inline schema::View viewOfThree() {
  schema::View view;
  view.number = 100;
  view.epoch = 5;
  view.discoveryLeader = 1;
  view.voters = {"v1", "v2", "v3"};
  view.members = {memberOf("c1", 1, "v1"), memberOf("c2", 2, "v2"), memberOf("c3", 3, "v3"), memberOf("r", 4)};
  return view;
}

}  // namespace indigohill::tests
