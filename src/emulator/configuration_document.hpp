#pragma once
#include <optional>
#include <string>

#include "emulator/experiment.hpp"
#include "emulator/records.hpp"

namespace indigohill::emulator {

// The configurations of a run. They differ in the time-out of one route that no client uses, the marker, by which a
// document that is read back is known to be the one that was sent under its revision.
std::string wholeDocument(const Experiment& experiment, const ConfigurationChange& change);
// The same change by parts: the marker alone.
std::string updateDocument(const ConfigurationChange& change);
// Revision and marker of a document; nothing if it has none.
std::optional<ReadBack> readMarker(const std::string& document);

}  // namespace indigohill::emulator
