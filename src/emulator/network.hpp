#pragma once
#include <cstddef>
#include <cstdint>

#include "settings/settings.hpp"

namespace indigohill::emulator {

enum class Role { Router, Controller };

// Addresses of the emulated machines: 127.N.x.y, where N is the run's own, so that several runs do not meet.
class Network {
 public:
  explicit Network(std::uint8_t number) : number_(number) {}

  settings::Endpoint frontend(std::size_t machine) const { return at(kMachines, machine, 8161); }
  settings::Endpoint controlPlane(std::size_t machine) const { return at(kMachines, machine, 8166); }
  settings::Endpoint readiness(std::size_t machine) const { return at(kMachines, machine, 8167); }
  // Where a daemon is reached by other daemons.
  settings::Endpoint peer(Role role, std::size_t machine) const {
    return at(kMachines, machine, role == Role::Router ? kFirstPeerPort : kFirstPeerPort + 1);
  }
  settings::Endpoint runner(std::size_t place) const { return at(kRunners, place, 8080); }
  settings::Endpoint platform() const { return at(kPlatform, 0, 8169); }

  static constexpr std::uint16_t kFirstPeerPort = 7720, kLastPeerPort = 7735;

 private:
  static constexpr std::uint32_t kMachines = 1, kRunners = 2, kPlatform = 3;

  settings::Endpoint at(std::uint32_t kind, std::size_t index, std::uint16_t port) const {
    return {(127u << 24) | (static_cast<std::uint32_t>(number_) << 16) | (kind << 8) |
                static_cast<std::uint32_t>(index + 1),
            port};
  }

  std::uint8_t number_;
};

// The first network whose platform address nobody listens at, from one that differs between processes. Throws
// std::runtime_error when all are in use.
Network freeNetwork();

}  // namespace indigohill::emulator
