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
// id and is an observer: it passes updates on, redirects operators to the primary, and keeps nothing.
struct Identity {
  std::string voterId;
  Replica::Loaded loaded;
  std::uint64_t watermark = 0;  // see Group::setWatermark
};

// Reads the identity from disk, or makes a new one.
//
// An identity is kept only if all slots are there and can be read: a voter that kept its name but lost its vote could
// promise the same ballot twice. Otherwise the disk counts as lost and the controller is a newcomer under a new name,
// which has no vote until an epoch record names it. `writes` then holds all slots, to be written in one transaction and
// synced before the controller says anything. A record or a state that does not exist yet is an empty slot, so that a
// slot that is absent is always one that was damaged.
//
// The seeds of the very first start (`bootstrap`, and nothing on disk) are the first voters and know each other by
// their control addresses. All names begin with the address, so the others see that the voter of this machine is gone.
Identity identify(const std::function<std::optional<std::string>(Slot)>& read, bool bootstrap,
                  const std::vector<settings::Endpoint>& seeds, const settings::Endpoint& controlPlane,
                  std::uint64_t seed, std::vector<DiskWrite>& writes);

}  // namespace indigohill::control
