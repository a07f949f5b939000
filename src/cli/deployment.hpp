#pragma once
#include <vector>

#include "base/time.hpp"
#include "duties/setup.hpp"
#include "feed/times.hpp"
#include "membership/times.hpp"
#include "settings/settings.hpp"

// What follows from the settings of a deployment: the times of the protocols, and addresses between daemons.
namespace indigohill::cli {

// How often a controller looks at the clock: with a disk, and without one.
constexpr base::Millis kControllerTick{100}, kObserverTick{250};

// A failure must be agreed on well within the time that an order may take (bounds.ackTimeoutMs).
membership::Times groupTimes(const settings::Settings& settings);
// Within the bound on applying a configuration (bounds.configApplyMs); a bound that is too short is logged.
feed::Times feedTimes(const settings::Settings& settings);

// The duties that the platform expects (cloudApi.duties), and the times of their leases. `now`: when the daemon starts.
duties::Setup dutySetup(const settings::Settings& settings, base::TimePoint now);

// Whether this deployment's controllers keep tallies.
bool keepsTallies(const settings::Settings& settings);

// Where the controllers that the operator has listed receive messages of other daemons.
std::vector<settings::Endpoint> seedAddresses(const settings::Settings& settings);
// Where this daemon receives them.
settings::Endpoint peerAddress(const settings::Settings& settings, bool controller);
// Where it tells its figures; without a port if that is 0.
settings::Endpoint metricsAddress(const settings::Settings& settings, std::uint16_t port);

}  // namespace indigohill::cli
