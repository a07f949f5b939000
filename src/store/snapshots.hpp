#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "store/database.hpp"
#include "store/manifest.hpp"

// What a controller keeps on disk, proof against a loss of power at any moment: each commit writes all that changed
// into the snapshot file that is not in force, syncs it, and only then names it in the manifest. docs/control/disk.md
// says what this rests on.
namespace indigohill::store {

class Snapshots {
 public:
  // Opens or makes the files. Damaged ones count as a lost disk: `wasLost` is then true and there are no slots.
  // Throws `std::system_error` if the system refuses (space, memory, descriptors, I/O); the files are untouched then
  // and may be opened again later.
  Snapshots(std::string folder, std::uint64_t mapBytes);

  const Slots& slots() const { return slots_; }
  bool wasLost() const { return lost_; }

  // Takes over the changes and returns true once they are on the disk. After a failure they may be there or not; they
  // are written again with the next commit, so what is on disk is never newer in one slot and older in another.
  bool commit(const Slots& changes);

 private:
  struct Side {
    std::string path;
    std::unique_ptr<Database> database;  // open only while its contents are known
    std::set<control::Slot> stale;       // slots that it lacks or has in an older version
  };

  void load();
  void commitOrThrow();
  void confirmManifest();
  void rebuild(Side& side);

  std::string folder_;
  std::uint64_t mapBytes_;
  Manifest manifest_;
  std::array<Side, 2> sides_;
  Slots slots_;
  std::uint64_t generation_ = 0;              // newest that the manifest names
  std::optional<ManifestEntry> unconfirmed_;  // written to the manifest with an unknown outcome
  bool lost_ = false;
};

}  // namespace indigohill::store
