#pragma once
#include <cstdint>

#include "base/fwd.hpp"
#include "base/time.hpp"
#include "schema/messages.hpp"

// The voter's side of the agreement on epoch records: an acceptor of single-decree Paxos for each slot (Lamport, "Paxos
// Made Simple", section 2.2). The record of epoch e+1 is the decree of slot e+1, voted on by the voters of epoch e.
//
// A vote must be on disk before it is answered. The caller saves `vote()` after each call that returns true and answers
// once the write is synced.
namespace indigohill::control {

class EpochAcceptor {
 public:
  explicit EpochAcceptor(schema::Vote vote) : vote_(std::move(vote)) {}

  // Phase 1. False when a higher ballot of this slot has been promised, which `vote()` then tells.
  bool promise(std::uint64_t slot, std::uint64_t ballot);
  // Phase 2. False when a higher ballot or a later slot has been promised.
  bool accept(std::uint64_t slot, std::uint64_t ballot, const schema::EpochRecord& record, base::TimePoint now);
  // From now on this replica takes part in no replication of `epoch` or an earlier one, as it campaigns for `slot`.
  void seal(std::uint64_t slot, std::uint64_t epoch);
  bool isSealed(std::uint64_t epoch) const { return epoch <= vote_.sealed; }
  // A campaign of this replica has met a higher ballot; its next one goes above that.
  void observeBallot(std::uint64_t ballot);

  const schema::Vote& vote() const { return vote_; }
  // The record accepted for a slot after `epoch`; null when there is none. It may have been decided.
  const schema::EpochRecord* acceptedAfter(std::uint64_t epoch) const {
    return vote_.acceptedBallot != 0 && vote_.slot > epoch ? &vote_.accepted : nullptr;
  }
  // When a record was last accepted in the life of this process.
  base::TimePoint acceptedAt() const { return acceptedAt_; }

  void addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const;

 private:
  void enterSlot(std::uint64_t slot);

  schema::Vote vote_;
  base::TimePoint acceptedAt_{};
};

}  // namespace indigohill::control
