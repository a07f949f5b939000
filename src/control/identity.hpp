#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/replica.hpp"
#include "settings/settings.hpp"

// Who a controller is in the agreement, and what its disk held when the process started.
namespace indigohill::control {

// Who this controller is, and what its disk held. Without a disk, or on a machine whose loss does not count, it has no
// id and is a relay: it passes news on and sends operators to the primary, and keeps nothing.
struct Identity {
  std::string voterId;
  Replica::Loaded loaded;
  std::uint64_t floor = 0;
};

// The seeds of the very first start are the voters and know each other by their control addresses. An empty disk at
// any other time is a newcomer under a new name, never the voter that was here before. What is new is to be written.
// All names begin with the address, so the others see that the voter of this machine is gone for good.
Identity identify(const std::function<std::optional<std::string>(Slot)>& read, bool bootstrap,
                  const std::vector<settings::Endpoint>& seeds, const settings::Endpoint& controlPlane,
                  std::uint64_t seed, std::vector<DiskWrite>& writes);

}  // namespace indigohill::control
