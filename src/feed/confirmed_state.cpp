#include "feed/confirmed_state.hpp"

#include "base/hash.hpp"
#include "feed/age.hpp"
#include "net/codec.hpp"

namespace indigohill::feed {

namespace {

std::uint64_t digestOf(schema::ControlState state) {
  state.takenOrders.clear();
  return base::hash(net::encodeControlState(state));
}

}  // namespace

bool ConfirmedState::set(const schema::ControlState& state) {
  if ((state_ && state.version <= state_->version) || state.version < droppedVersion_) return false;
  rising_.onHeld(state.version);
  state_ = state;
  digest_ = digestOf(state);
  mismatch_ = false;
  return true;
}

std::uint32_t ConfirmedState::confirmationAgeMs(base::TimePoint now) const {
  if (!state_ || mismatch_ || confirmedAt_ == base::TimePoint{}) return kUnknownAgeMs;
  return ageMs(confirmedAt_, now);
}

void ConfirmedState::compare(const schema::Update& confirmed) {
  if (state_ && confirmed.stateVersion == state_->version && confirmed.stateDigest != digest_) mismatch_ = true;
}

bool ConfirmedState::dropMismatched(base::TimePoint now, base::Millis interval) {
  if (!mismatch_ || !state_ || now - droppedAt_ < interval) return false;
  droppedAt_ = now;
  droppedVersion_ = state_->version;
  state_.reset();
  confirmedAt_ = {};
  return true;
}

}  // namespace indigohill::feed
