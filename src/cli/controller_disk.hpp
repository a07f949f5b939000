#pragma once
#include <memory>

#include "control/identity.hpp"
#include "settings/settings.hpp"
#include "store/store.hpp"

// The disk of a controller process, from its settings.
namespace indigohill::cli {

// A controller's store, and who its contents say that it is. An observer has neither.
struct ControllerDisk {
  std::unique_ptr<store::Store> store;
  control::Identity identity;
};

// Opens the store and has the identity on the disk, so that nothing is ever said under one that is not. A disk that
// refuses (full, or with I/O errors) is no lost one, and ending the process would not mend it: it is tried until it
// works. A daemon that waits here does not listen yet, so callers go on to another one at once.
ControllerDisk openControllerDisk(const settings::Settings& settings);

}  // namespace indigohill::cli
