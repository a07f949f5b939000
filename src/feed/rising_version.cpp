#include "feed/rising_version.hpp"

#include "base/invariant.hpp"

namespace indigohill::feed {

namespace {
base::Invariant stateVersionRises("state_version_rises", "The versions of the control state at a daemon only rise.");
}

void RisingVersion::onHeld(const schema::StateVersion& version) {
  const bool holds = stateVersionRises.check(version >= highest_, [&](base::LogEvent event) {
    return std::move(event)
        .with("epoch", version.epoch)
        .with("sequence", version.sequence)
        .with("highestEpoch", highest_.epoch)
        .with("highestSequence", highest_.sequence);
  });
  if (holds) highest_ = version;
}

}  // namespace indigohill::feed
