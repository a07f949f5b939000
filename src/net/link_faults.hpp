#pragma once
#include "settings/settings.hpp"

// Cuts between daemons, for the soak's own build of the program (INDIGOHILL_LINK_FAULTS, docs/soak.md). In every other
// build nothing is ever cut, and the compiler leaves the question out.
namespace indigohill::net {

#ifdef INDIGOHILL_LINK_FAULTS
// Whether messages from one daemon to another are to be lost now.
bool isCut(const settings::Endpoint& from, const settings::Endpoint& to);
#else
constexpr bool isCut(const settings::Endpoint& /*from*/, const settings::Endpoint& /*to*/) { return false; }
#endif

}  // namespace indigohill::net
