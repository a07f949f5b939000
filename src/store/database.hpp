#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/effects.hpp"

// One snapshot of the slots in an LMDB file.
namespace indigohill::store {

using Slots = std::map<control::Slot, std::string>;

// An LMDB environment. It syncs only on `write`, and nothing may be read from its file after a crash unless the
// manifest names that file: LMDB puts no checksum over its meta pages, and maps what they point to unseen.
// Errors are `std::system_error` where the system refused, `DatabaseError` where LMDB did.
class Database {
 public:
  enum class Access { ReadOnly, ReadWrite };
  Database(const std::string& path, std::uint64_t mapBytes, Access access);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  Slots readAll() const;
  // Writes the slots in one transaction and syncs the file.
  void write(const Slots& slots);

 private:
  struct Environment;
  std::unique_ptr<Environment> environment_;
};

// What LMDB itself found wrong: with a file that it was to read, or with what it was to write.
struct DatabaseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace indigohill::store
