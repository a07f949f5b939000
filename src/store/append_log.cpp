#include "store/append_log.hpp"

#include <fmt/format.h>

#include <array>
#include <cstring>
#include <limits>
#include <optional>

#include "base/hash.hpp"

namespace indigohill::store {

namespace {

constexpr std::string_view kMagic = "IHLOG001";
constexpr std::size_t kHeaderBytes = 24;        // magic, generation, checksum
constexpr std::size_t kRecordHeaderBytes = 16;  // checksum, length, kind
constexpr std::uint32_t kMaxRecordBytes = 16u << 20;

enum class Kind : std::uint32_t {
  Data = 1,
  Complete = 2  // all that `replace` was to write stands before it
};

void put(std::string& out, std::uint64_t number, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>(number >> (8 * i)));
}

std::uint64_t get(std::string_view bytes, std::size_t at, std::size_t count) {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < count; ++i) out |= std::uint64_t{static_cast<unsigned char>(bytes[at + i])} << (8 * i);
  return out;
}

std::string header(std::uint64_t generation) {
  std::string out(kMagic);
  put(out, generation, 8);
  put(out, base::hash(out), 8);
  return out;
}

// The generation is part of each checksum: what a file held before it was written anew is never read as new.
std::uint64_t checksumOf(std::uint64_t generation, std::string_view lengthKindAndBytes) {
  return base::hash(lengthKindAndBytes, base::mix(generation));
}

void putRecord(std::string& out, std::uint64_t generation, Kind kind, std::string_view bytes) {
  std::string body;
  put(body, bytes.size(), 4);
  put(body, static_cast<std::uint32_t>(kind), 4);
  body += bytes;
  put(out, checksumOf(generation, body), 8);
  out += body;
}

struct Record {
  Kind kind = Kind::Data;
  std::string_view bytes;
  std::size_t size = 0;  // with its header
};

std::optional<Record> recordAt(std::string_view file, std::size_t at, std::uint64_t generation) {
  if (file.size() - at < kRecordHeaderBytes) return std::nullopt;
  const auto length = get(file, at + 8, 4);
  if (length > kMaxRecordBytes || file.size() - at - kRecordHeaderBytes < length) return std::nullopt;
  if (get(file, at, 8) != checksumOf(generation, file.substr(at + 8, 8 + length))) return std::nullopt;
  return Record{static_cast<Kind>(get(file, at + 12, 4)), file.substr(at + kRecordHeaderBytes, length),
                kRecordHeaderBytes + length};
}

}  // namespace

AppendLog::Contents AppendLog::read(const File& file) {
  Contents out;
  const auto bytes = file.read(0, file.size());
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagic.size()) != kMagic) return out;
  out.generation = get(bytes, kMagic.size(), 8);
  if (bytes.substr(0, kHeaderBytes) != header(out.generation)) return out;
  out.end = kHeaderBytes;
  while (const auto record = recordAt(bytes, out.end, out.generation)) {
    out.end += record->size;
    if (record->kind == Kind::Complete)
      out.complete = true;
    else
      out.records.emplace_back(record->bytes);
  }
  return out;
}

AppendLog::AppendLog(const std::string& folder, const std::string& name) : folder_(folder) {
  openFolder(folder);
  std::array<Contents, 2> found;
  for (std::size_t i = 0; i < found.size(); ++i) {
    files_.push_back(File::open(fmt::format("{}/{}-{}.log", folder, name, i)));
    found.at(i) = read(files_.back());
  }
  syncFolder(folder_);
  const bool first = found[0].complete && (!found[1].complete || found[0].generation > found[1].generation);
  current_ = first || !found[1].complete ? 0 : 1;
  auto& contents = found.at(current_);
  if (!contents.complete) {
    generation_ = std::max(found[0].generation, found[1].generation);
    replace({});
    return;
  }
  generation_ = contents.generation;
  end_ = contents.end;
  records_ = std::move(contents.records);
  // A later record must not come to stand behind bytes that are not whole.
  files_[current_].truncate(end_);
  files_[current_].sync();
}

void AppendLog::append(const std::vector<std::string>& records) {
  std::string bytes;
  for (const auto& record : records) putRecord(bytes, generation_, Kind::Data, record);
  files_[current_].write(end_, bytes);
  files_[current_].sync();
  end_ += bytes.size();
}

void AppendLog::replace(const std::vector<std::string>& records) {
  const auto other = 1 - current_;
  const auto generation = generation_ + 1;
  auto bytes = header(generation);
  for (const auto& record : records) putRecord(bytes, generation, Kind::Data, record);
  putRecord(bytes, generation, Kind::Complete, {});
  files_[other].truncate(0);
  files_[other].write(0, bytes);
  files_[other].sync();
  current_ = other;
  generation_ = generation;
  end_ = bytes.size();
}

}  // namespace indigohill::store
