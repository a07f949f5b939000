#include "store/snapshots.hpp"

#include <filesystem>
#include <system_error>

#include "base/log.hpp"

namespace indigohill::store {

namespace {

constexpr const char* kManifestName = "/state.manifest";
constexpr const char* kSideNames[] = {"/state-0.mdb", "/state-1.mdb"};
constexpr const char* kFormerName = "/state.mdb";  // of versions without a manifest; never read

// The folder has to be there, and lasting, before anything is made in it.
const std::string& opened(const std::string& folder) {
  openFolder(folder);
  return folder;
}

}  // namespace

Snapshots::Snapshots(std::string folder, std::uint64_t mapBytes)
    : folder_(std::move(folder)), mapBytes_(mapBytes), manifest_(opened(folder_) + kManifestName) {
  for (std::size_t i = 0; i < sides_.size(); ++i) sides_[i].path = folder_ + kSideNames[i];
  load();
}

void Snapshots::load() {
  const auto found = manifest_.read();
  if (found.content == Manifest::Content::Damaged || std::filesystem::exists(folder_ + kFormerName)) lost_ = true;
  if (found.content != Manifest::Content::Whole) return;
  lost_ = true;
  generation_ = found.newest.generation;
  const auto& path = sides_[generation_ % sides_.size()].path;
  {
    // LMDB sees only a file that is known to be as it was synced.
    const auto file = File::open(path);
    if (file.size() != found.newest.fileBytes || file.digest(found.newest.fileBytes) != found.newest.fileDigest) return;
  }
  try {
    slots_ = Database(path, mapBytes_, Database::Access::ReadOnly).readAll();
    lost_ = false;
  } catch (const DatabaseError& error) {
    base::logError(base::LogEvent("store_snapshot_unreadable").with("path", path).with("error", error.what()));
  }
}

bool Snapshots::commit(const Slots& changes) {
  for (const auto& [slot, bytes] : changes) {
    slots_[slot] = bytes;
    for (auto& side : sides_) side.stale.insert(slot);
  }
  try {
    commitOrThrow();
    return true;
  } catch (const std::exception& error) {
    base::logError(base::LogEvent("store_commit_failed").with("error", error.what()));
    return false;
  }
}

void Snapshots::commitOrThrow() {
  // A file that the manifest may name must not be touched until it is known whether it does.
  confirmManifest();
  const auto generation = generation_ + 1;
  auto& side = sides_[generation % sides_.size()];
  if (!side.database) rebuild(side);
  Slots behind;
  for (const auto slot : side.stale) behind[slot] = slots_.at(slot);
  try {
    side.database->write(behind);
  } catch (...) {
    side.database.reset();  // what it holds now is unknown: made anew by the next commit
    throw;
  }
  side.stale.clear();
  const auto file = File::open(side.path);
  const auto size = file.size();
  unconfirmed_ = ManifestEntry{generation, size, file.digest(size)};
  confirmManifest();
}

// After a failed write the entry may be on the disk all the same, or come there later, so it is written until it is
// known to be there.
void Snapshots::confirmManifest() {
  if (!unconfirmed_) return;
  manifest_.write(*unconfirmed_);
  generation_ = unconfirmed_->generation;
  unconfirmed_.reset();
}

// Empties the file, whatever a crash has left in it, and has its name on the disk before the manifest may name it.
void Snapshots::rebuild(Side& side) {
  File::open(side.path).truncate();
  syncFolder(folder_);
  side.database = std::make_unique<Database>(side.path, mapBytes_, Database::Access::ReadWrite);
  for (const auto& [slot, bytes] : slots_) side.stale.insert(slot);
}

}  // namespace indigohill::store
