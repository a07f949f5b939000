#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "store/file.hpp"

// Which of the two snapshot files is whole. The manifest has room for two entries, each on a page of its own; an entry
// is written over the older one only, so the newest that was synced is always left whatever becomes of a write.
namespace indigohill::store {

// A snapshot file that is complete and synced. Its generation says in which file it lies and rises by one each time.
struct ManifestEntry {
  std::uint64_t generation = 0;
  std::uint64_t fileBytes = 0;   // size of the snapshot file
  std::uint64_t fileDigest = 0;  // of all of it
  bool operator==(const ManifestEntry&) const = default;
};

class Manifest {
 public:
  explicit Manifest(const std::string& path) : file_(File::open(path)) {}

  enum class Content { Empty, Whole, Damaged };
  struct Found {
    Content content = Content::Empty;
    ManifestEntry newest;  // where the content is whole
  };
  // Syncs the file, so that what is found stays, and finds the newest entry. Damaged means that something was written
  // and no entry can be read.
  Found read();
  // Writes the entry and returns once it is on the disk. After an exception it may or may not be there, now or later.
  void write(const ManifestEntry& entry);

 private:
  File file_;
};

}  // namespace indigohill::store
