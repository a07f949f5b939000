#pragma once
#include <string>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"

namespace indigohill::control {

// What the control state knows of the group's view. It is handed in anew with each tick.
struct ClusterView {
  std::vector<schema::Member> controllers;
  std::vector<std::string> voters;  // that the view rests on
  base::TimePoint leaseUntil{};     // this daemon may act on the view until then

  bool leaseHeld(base::TimePoint now) const { return now < leaseUntil; }
  // The controller of that voter id; null when the view has none.
  const schema::Member* controller(const std::string& voterId) const;
  // The controllers that keep state on disk. The pointers are good until the view is replaced.
  std::vector<const schema::Member*> storageNodes() const;
  std::vector<const schema::Member*> storageNodesExcept(const std::string& voterId) const;
};

}  // namespace indigohill::control
