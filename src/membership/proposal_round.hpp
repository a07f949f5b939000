#pragma once
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"

// The coordinator's side of one proposed view: who has acknowledged it, and what each of them holds (paper, section
// 4.2, the two phases of the view protocol). A view is committed when all of its members have acknowledged it.
namespace indigohill::membership {

class ProposalRound {
 public:
  ProposalRound(schema::Propose proposal, base::TimePoint startedAt, base::TimePoint now)
      : proposal_(std::move(proposal)), startedAt_(startedAt), sentAt_(now) {}

  const schema::Propose& proposal() const { return proposal_; }
  const schema::View& view() const { return proposal_.result; }
  std::uint64_t id() const { return proposal_.proposalId; }
  // From now on members let go of an extension that contradicts this one.
  void force() { proposal_.force = true; }

  // `stateVersion`: the newest control state that the member holds.
  void acknowledge(std::uint64_t incarnation, const schema::StateVersion& stateVersion);
  void noteAnswer(base::TimePoint now) { answeredAt_ = now; }
  bool isAcknowledgedBy(std::uint64_t incarnation) const { return acknowledged_.contains(incarnation); }
  bool isAcknowledgedByAll() const;
  // Whether a majority of the view's voters has acknowledged.
  bool isAcknowledgedByQuorum() const;
  std::vector<const schema::Member*> unacknowledged() const;

  // The commit of the view. Its members install it once they hold the newest control state that any of them reported.
  schema::Commit commit() const { return {proposal_.result, flushVersion_, flushHolder_}; }

  base::TimePoint startedAt() const { return startedAt_; }
  base::TimePoint sentAt() const { return sentAt_; }
  void noteSent(base::TimePoint now) { sentAt_ = now; }
  // Whether the complete view may be sent again: not while much of the last sending may still be on its way.
  bool isFullSendDue(base::TimePoint now, base::Millis interval) const;
  void noteFullSent(base::TimePoint now) { fullSentAt_ = now; }

 private:
  schema::Propose proposal_;
  std::set<std::uint64_t> acknowledged_;
  schema::StateVersion flushVersion_;
  std::uint64_t flushHolder_ = 0;
  base::TimePoint startedAt_, sentAt_;
  base::TimePoint fullSentAt_{}, answeredAt_{};
};

}  // namespace indigohill::membership
