#include "store/store.hpp"

#include <lmdb.h>

#include <filesystem>

#include "base/log.hpp"

namespace indigohill::store {

struct Store::Handles {
  MDB_env* env = nullptr;
  MDB_dbi dbi = 0;
  Handles() = default;
  Handles(const Handles&) = delete;
  Handles& operator=(const Handles&) = delete;
  ~Handles() {
    if (env != nullptr) mdb_env_close(env);
  }
};

namespace {

// A transaction that is undone unless it was committed.
class Txn {
 public:
  Txn(MDB_env* env, unsigned flags) { rc_ = mdb_txn_begin(env, nullptr, flags, &txn_); }
  ~Txn() {
    if (txn_ != nullptr) mdb_txn_abort(txn_);
  }
  Txn(const Txn&) = delete;
  Txn& operator=(const Txn&) = delete;
  int rc() const { return rc_; }
  MDB_txn* get() const { return txn_; }
  int commit() { return mdb_txn_commit(std::exchange(txn_, nullptr)); }

 private:
  MDB_txn* txn_ = nullptr;
  int rc_ = 0;
};

}  // namespace

Store::Store(std::unique_ptr<Handles> handles) : handles_(std::move(handles)) {
  thread_ = std::thread([this] { run(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

base::Result<std::unique_ptr<Store>> Store::open(const std::string& folder, std::uint64_t mapBytes) {
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  const auto file = folder + "/state.mdb";
  std::string last;
  for (const bool again : {false, true}) {
    auto handles = std::make_unique<Handles>();
    const auto attempt = [&]() -> int {
      if (int rc = mdb_env_create(&handles->env)) return rc;
      if (int rc = mdb_env_set_mapsize(handles->env, mapBytes)) return rc;
      // No lock file: one process owns the folder.
      if (int rc = mdb_env_open(handles->env, file.c_str(), MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS, 0644)) return rc;
      Txn txn(handles->env, 0);
      if (txn.rc() != 0) return txn.rc();
      if (int rc = mdb_dbi_open(txn.get(), nullptr, MDB_CREATE, &handles->dbi)) return rc;
      return txn.commit();
    };
    const int rc = attempt();
    if (rc == 0) {
      auto store = std::unique_ptr<Store>(new Store(std::move(handles)));
      store->lost_ = again;
      return store;
    }
    last = mdb_strerror(rc);
    if (again) break;
    spdlog::error("store {} does not open ({}); it is set aside and counts as a lost disk", file, last);
    handles.reset();
    std::filesystem::remove(file + ".bad", ignored);
    std::filesystem::rename(file, file + ".bad", ignored);
  }
  return base::Error{base::Verdict::NotRun, file + ": " + last};
}

std::optional<std::string> Store::read(control::Slot slot) const {
  Txn txn(handles_->env, MDB_RDONLY);
  if (txn.rc() != 0) return std::nullopt;
  auto key = static_cast<std::uint8_t>(slot);
  MDB_val k{sizeof key, &key}, v{};
  if (mdb_get(txn.get(), handles_->dbi, &k, &v) != 0) return std::nullopt;
  return std::string(static_cast<const char*>(v.mv_data), v.mv_size);
}

void Store::write(control::DiskWrite write, Done done) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back({std::move(write), std::move(done)});
  }
  wake_.notify_one();
}

bool Store::commit(const std::vector<Job>& jobs) {
  Txn txn(handles_->env, 0);
  if (txn.rc() != 0) return false;
  for (const auto& job : jobs) {
    auto key = static_cast<std::uint8_t>(job.write.slot);
    MDB_val k{sizeof key, &key};
    MDB_val v{job.write.bytes.size(), const_cast<char*>(job.write.bytes.data())};
    if (const int rc = mdb_put(txn.get(), handles_->dbi, &k, &v, 0); rc != 0) {
      spdlog::error("store: {}", mdb_strerror(rc));
      return false;
    }
  }
  if (const int rc = txn.commit(); rc != 0) {
    spdlog::error("store: {}", mdb_strerror(rc));
    return false;
  }
  return true;
}

void Store::run() {
  for (;;) {
    std::vector<Job> jobs;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      jobs.assign(std::make_move_iterator(jobs_.begin()), std::make_move_iterator(jobs_.end()));
      jobs_.clear();
    }
    const bool ok = commit(jobs);
    for (const auto& job : jobs)
      if (job.done) job.done(job.write.token, ok);
  }
}

}  // namespace indigohill::store
