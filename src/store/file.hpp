#pragma once
#include <cstdint>
#include <string>

#include "base/result.hpp"

// Files and folders on the controller's disk, as RAII handles. Every failed call is a `std::system_error`, so that
// want of space or memory and I/O errors are never taken for damaged contents.
namespace indigohill::store {

class File {
 public:
  // Opens the file for reading and writing, and makes an empty one if there is none.
  static File open(const std::string& path);
  ~File();
  File(File&& other) noexcept;
  File& operator=(File&&) = delete;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  std::uint64_t size() const;
  // What lies between `offset` and `offset + length`, or up to the end of the file if that comes first.
  std::string read(std::uint64_t offset, std::size_t length) const;
  void write(std::uint64_t offset, const std::string& bytes);
  // Cuts the file off behind its first `length` bytes.
  void truncate(std::uint64_t length = 0);
  // Returns once everything written so far is on the disk.
  void sync();
  // A digest of the first `length` bytes, by which damage is noticed. No defence against an adversary.
  std::uint64_t digest(std::uint64_t length) const;

 private:
  File(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path)) {}
  [[noreturn]] void fail(const char* what) const;

  int descriptor_;
  std::string path_;
};

// A digest of bytes in memory; the same as that of a file with these contents.
std::uint64_t digest(const std::string& bytes);

// Makes the folder if there is none, and has its own name and the names in it on the disk when it returns.
void openFolder(const std::string& path);
// Returns once the names of all files made in the folder are on the disk.
void syncFolder(const std::string& path);

}  // namespace indigohill::store
