#include "control/cluster_view.hpp"

namespace indigohill::control {

const schema::Member* ClusterView::controller(const std::string& voterId) const {
  for (const auto& member : controllers)
    if (member.voterId == voterId) return &member;
  return nullptr;
}

std::vector<const schema::Member*> ClusterView::storageNodes() const {
  std::vector<const schema::Member*> out;
  for (const auto& member : controllers)
    if (!member.voterId.empty()) out.push_back(&member);
  return out;
}

std::vector<const schema::Member*> ClusterView::storageNodesExcept(const std::string& voterId) const {
  auto out = storageNodes();
  std::erase_if(out, [&](const auto* member) { return member->voterId == voterId; });
  return out;
}

}  // namespace indigohill::control
