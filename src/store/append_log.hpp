#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "store/file.hpp"

namespace indigohill::store {

// A log of records on a controller's disk, as of a write-ahead log: what is appended is on the disk when the call
// returns. Two files take turns: replacing the whole log writes the other file, which is in force once its last mark is
// on the disk, so that a loss of power at any moment leaves the log as it was or as it is to be.
//
// A file is a header (magic, generation), then records, each a checksum, a length, a kind and bytes. Reading ends at
// the first record that is not whole: bytes behind it were never acknowledged. Files are made and never renamed or
// removed. A log of which neither file is in force is empty: a lost disk cannot be told from a new one here. Every
// failed call is a `std::system_error`. After a failed `append`, what the file holds is not known, and only `replace`
// is allowed. Not thread-safe.
class AppendLog {
 public:
  // Opens or makes `<folder>/<name>-0.log` and `-1.log`.
  AppendLog(const std::string& folder, const std::string& name);

  // What the log held when it was opened; to be taken once.
  std::vector<std::string> takeRecords() { return std::move(records_); }

  void append(const std::vector<std::string>& records);
  void replace(const std::vector<std::string>& records);

 private:
  struct Contents {
    bool complete = false;  // it was written to the end once, and is in force if no other is newer
    std::uint64_t generation = 0;
    std::uint64_t end = 0;  // of the last whole record
    std::vector<std::string> records;
  };

  static Contents read(const File& file);
  std::string folder_;
  std::vector<File> files_;
  std::size_t current_ = 0;
  std::uint64_t generation_ = 0;
  std::uint64_t end_ = 0;
  std::vector<std::string> records_;
};

}  // namespace indigohill::store
