#pragma once
#include "schema/messages.hpp"

namespace indigohill::feed {

// The versions of the control state that one daemon holds, one after the other. They only rise; one that was dropped
// may come again.
class RisingVersion {
 public:
  // The daemon holds this version from now on.
  void onHeld(const schema::StateVersion& version);

 private:
  schema::StateVersion highest_;
};

}  // namespace indigohill::feed
