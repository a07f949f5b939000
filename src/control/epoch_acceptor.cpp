#include "control/epoch_acceptor.hpp"

#include <algorithm>

#include "base/fingerprint.hpp"

namespace indigohill::control {

// Votes of another slot are void; the seal is about the epochs themselves and stays.
void EpochAcceptor::enterSlot(std::uint64_t slot) {
  if (vote_.slot != slot) vote_ = {slot, 0, 0, {}, vote_.sealed};
}

bool EpochAcceptor::promise(std::uint64_t slot, std::uint64_t ballot) {
  enterSlot(slot);
  if (ballot < vote_.promised) return false;
  vote_.promised = ballot;
  return true;
}

bool EpochAcceptor::accept(std::uint64_t slot, std::uint64_t ballot, const schema::EpochRecord& record,
                           base::TimePoint now) {
  if (vote_.slot > slot) return false;
  enterSlot(slot);
  if (ballot < vote_.promised) return false;
  vote_.promised = ballot;
  vote_.acceptedBallot = ballot;
  vote_.accepted = record;
  acceptedAt_ = now;
  return true;
}

void EpochAcceptor::seal(std::uint64_t slot, std::uint64_t epoch) {
  enterSlot(slot);
  vote_.sealed = std::max(vote_.sealed, epoch);
}

void EpochAcceptor::observeBallot(std::uint64_t ballot) { vote_.promised = std::max(vote_.promised, ballot); }

void EpochAcceptor::addTo(base::Fingerprint& out, base::TimePoint now, base::Millis horizon) const {
  out.add(vote_);
  out.age(acceptedAt_, now, horizon);
}

}  // namespace indigohill::control
