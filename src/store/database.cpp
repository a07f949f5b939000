#include "store/database.hpp"

#include <lmdb.h>

#include <stdexcept>
#include <system_error>
#include <utility>

namespace indigohill::store {

namespace {

// LMDB gives back its own (negative) codes and those of the system.
void check(int code, const char* what) {
  if (code == MDB_SUCCESS) return;
  if (code > 0) throw std::system_error(code, std::generic_category(), what);
  throw DatabaseError(std::string(what) + ": " + mdb_strerror(code));
}

// A transaction that is undone unless it was committed.
class Transaction {
 public:
  Transaction(MDB_env* environment, unsigned flags) {
    check(mdb_txn_begin(environment, nullptr, flags, &transaction_), "begin");
  }
  ~Transaction() {
    if (transaction_ != nullptr) mdb_txn_abort(transaction_);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;

  MDB_txn* get() const { return transaction_; }
  void commit() { check(mdb_txn_commit(std::exchange(transaction_, nullptr)), "commit"); }

 private:
  MDB_txn* transaction_ = nullptr;
};

class Cursor {
 public:
  Cursor(MDB_txn* transaction, MDB_dbi table) { check(mdb_cursor_open(transaction, table, &cursor_), "cursor"); }
  ~Cursor() { mdb_cursor_close(cursor_); }
  Cursor(const Cursor&) = delete;
  Cursor& operator=(const Cursor&) = delete;
  MDB_cursor* get() const { return cursor_; }

 private:
  MDB_cursor* cursor_ = nullptr;
};

}  // namespace

struct Database::Environment {
  MDB_env* handle = nullptr;
  MDB_dbi table = 0;

  Environment() { check(mdb_env_create(&handle), "create"); }
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;
  ~Environment() { mdb_env_close(handle); }
};

Database::Database(const std::string& path, std::uint64_t mapBytes, Access access)
    : environment_(std::make_unique<Environment>()) {
  auto* const handle = environment_->handle;
  const bool readOnly = access == Access::ReadOnly;
  check(mdb_env_set_mapsize(handle, mapBytes), "map size");
  // No lock file, as one process owns the folder; no sync but by `write`, as the manifest orders what is synced.
  const unsigned flags = MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS | MDB_NOSYNC | (readOnly ? MDB_RDONLY : 0);
  check(mdb_env_open(handle, path.c_str(), flags, 0644), path.c_str());
  Transaction transaction(handle, readOnly ? MDB_RDONLY : 0);
  check(mdb_dbi_open(transaction.get(), nullptr, 0, &environment_->table), "table");
  transaction.commit();
}

Database::~Database() = default;

Slots Database::readAll() const {
  Slots out;
  Transaction transaction(environment_->handle, MDB_RDONLY);
  const Cursor cursor(transaction.get(), environment_->table);
  MDB_val key{}, value{};
  int code = mdb_cursor_get(cursor.get(), &key, &value, MDB_FIRST);
  for (; code == MDB_SUCCESS; code = mdb_cursor_get(cursor.get(), &key, &value, MDB_NEXT)) {
    if (key.mv_size != sizeof(control::Slot)) throw DatabaseError("a key of another size");
    const auto slot = *static_cast<const control::Slot*>(key.mv_data);
    out[slot].assign(static_cast<const char*>(value.mv_data), value.mv_size);
  }
  if (code != MDB_NOTFOUND) check(code, "read");
  return out;
}

void Database::write(const Slots& slots) {
  Transaction transaction(environment_->handle, 0);
  for (const auto& [slot, bytes] : slots) {
    auto keyByte = slot;
    MDB_val key{sizeof keyByte, &keyByte};
    MDB_val value{bytes.size(), const_cast<char*>(bytes.data())};
    check(mdb_put(transaction.get(), environment_->table, &key, &value, 0), "put");
  }
  transaction.commit();
  check(mdb_env_sync(environment_->handle, 1), "sync");
}

}  // namespace indigohill::store
