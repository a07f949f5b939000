#include "store/manifest.hpp"

#include <algorithm>
#include <cstring>

namespace indigohill::store {

namespace {

constexpr std::uint64_t kMagic = 0x696e646967303031ULL;
constexpr std::uint64_t kEntrySpacing = 4096;  // a page: what tears one entry leaves the other alone
constexpr std::uint64_t kEntries = 2;

// An entry as it lies on the disk. Only little-endian machines are supported, as with everything this daemon keeps.
struct StoredEntry {
  std::uint64_t magic, generation, fileBytes, fileDigest, checksum;
};
constexpr std::size_t kCheckedBytes = offsetof(StoredEntry, checksum);

std::uint64_t offsetOf(std::uint64_t generation) { return generation % kEntries * kEntrySpacing; }

std::string encode(const ManifestEntry& entry) {
  StoredEntry stored{kMagic, entry.generation, entry.fileBytes, entry.fileDigest, 0};
  std::string bytes(reinterpret_cast<const char*>(&stored), sizeof stored);
  stored.checksum = digest(bytes.substr(0, kCheckedBytes));
  std::memcpy(bytes.data(), &stored, sizeof stored);
  return bytes;
}

std::optional<ManifestEntry> decode(const std::string& bytes) {
  StoredEntry stored{};
  if (bytes.size() != sizeof stored) return std::nullopt;
  std::memcpy(&stored, bytes.data(), sizeof stored);
  if (stored.magic != kMagic || stored.checksum != digest(bytes.substr(0, kCheckedBytes))) return std::nullopt;
  return ManifestEntry{stored.generation, stored.fileBytes, stored.fileDigest};
}

bool blank(const std::string& bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == '\0'; });
}

}  // namespace

Manifest::Found Manifest::read() {
  file_.sync();
  Found out;
  for (std::uint64_t i = 0; i < kEntries; ++i) {
    const auto bytes = file_.read(offsetOf(i), sizeof(StoredEntry));
    if (const auto entry = decode(bytes)) {
      if (out.content != Content::Whole || entry->generation > out.newest.generation) out.newest = *entry;
      out.content = Content::Whole;
    } else if (!blank(bytes) && out.content == Content::Empty) {
      out.content = Content::Damaged;
    }
  }
  return out;
}

void Manifest::write(const ManifestEntry& entry) {
  file_.write(offsetOf(entry.generation), encode(entry));
  file_.sync();
}

}  // namespace indigohill::store
