#include "control/member_tracker.hpp"

#include "base/fingerprint.hpp"
#include "base/lists.hpp"

namespace indigohill::control {

namespace {

constexpr base::Millis kUnresponsiveFor{5000};
constexpr base::Millis kRetirementLife{1500};  // an announcement counts for so long

}  // namespace

void MemberTracker::observe(const ClusterView& cluster, const schema::EpochRecord& record, base::TimePoint now) {
  const bool firstView = firstSeen_.empty();
  for (const auto* node : cluster.storageNodes())
    firstSeen_.try_emplace(node->voterId, firstView ? base::TimePoint{} : now);
  std::erase_if(firstSeen_, [&](const auto& entry) { return cluster.controller(entry.first) == nullptr; });
  for (const auto& voter : record.voters) {
    if (const auto* member = cluster.controller(voter)) {
      missingSince_.erase(voter);
      lastZone_[voter] = member->zone;
    } else {
      missingSince_.try_emplace(voter, now);
    }
  }
  const auto former = [&](const auto& entry) { return !base::contains(record.voters, entry.first); };
  std::erase_if(missingSince_, former);
  std::erase_if(lastZone_, former);
}

std::optional<base::TimePoint> MemberTracker::missingSince(const std::string& voterId) const {
  const auto found = missingSince_.find(voterId);
  if (found == missingSince_.end()) return std::nullopt;
  return found->second;
}

std::string MemberTracker::lastZone(const std::string& voterId) const {
  const auto found = lastZone_.find(voterId);
  return found == lastZone_.end() ? std::string() : found->second;
}

bool MemberTracker::isNewcomerFor(const std::string& voterId, const schema::Member& candidate,
                                  base::Millis window) const {
  const auto seen = firstSeen_.find(candidate.voterId);
  const auto missing = missingSince_.find(voterId);
  if (seen == firstSeen_.end() || missing == missingSince_.end() || !lastZone_.contains(voterId)) return false;
  return seen->second != base::TimePoint{} && seen->second + window >= missing->second;
}

bool MemberTracker::isUnresponsive(const std::string& voterId, base::TimePoint now) const {
  const auto found = unresponsiveAt_.find(voterId);
  return found != unresponsiveAt_.end() && now - found->second < kUnresponsiveFor;
}

bool MemberTracker::isRetiring(const std::string& voterId, base::TimePoint now) const {
  if (voterId == selfId_) return selfRetiring_;
  const auto found = retiringAt_.find(voterId);
  return found != retiringAt_.end() && now - found->second < kRetirementLife;
}

void MemberTracker::expire(base::TimePoint now) {
  std::erase_if(retiringAt_, [&](const auto& entry) { return now - entry.second >= kRetirementLife; });
}

std::optional<settings::Endpoint> MemberTracker::lastAddress(const std::string& voterId) const {
  const auto found = lastAddress_.find(voterId);
  if (found == lastAddress_.end()) return std::nullopt;
  return found->second;
}

void MemberTracker::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(selfRetiring_, lastZone_);
  for (const auto& [voterId, address] : lastAddress_) out.add(voterId, address.ip, address.port);
  for (const auto* times : {&missingSince_, &firstSeen_, &unresponsiveAt_, &retiringAt_}) {
    out.add(times->size());
    for (const auto& [voterId, at] : *times) {
      out.add(voterId);
      out.age(at, now, horizon);
    }
  }
}

}  // namespace indigohill::control
