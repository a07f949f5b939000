#pragma once
#include <memory>
#include <optional>

#include "control/identity.hpp"
#include "settings/settings.hpp"
#include "store/append_log.hpp"
#include "store/store.hpp"

// The disk of a controller process, from its settings.
namespace indigohill::cli {

// A controller's store, who its contents say that it is, and its log of tallies where these are kept. An observer has
// none of them.
struct ControllerDisk {
  std::unique_ptr<store::Store> store;
  control::Identity identity;
  std::optional<store::AppendLog> tallies;
};

// Opens the store and has the identity on the disk, so that nothing is ever said under one that is not. A disk that
// refuses (full, or with I/O errors) is no lost one, and ending the process would not mend it: it is tried until it
// works. A daemon that waits here does not listen yet, so callers go on to another one at once.
ControllerDisk openControllerDisk(const settings::Settings& settings);

}  // namespace indigohill::cli
