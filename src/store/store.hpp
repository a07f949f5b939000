#pragma once
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/result.hpp"
#include "control/replica.hpp"

namespace indigohill::store {

// What a controller keeps on disk, in LMDB. Writes are made by a thread of their own, so that a disk that hangs holds
// up nothing but what waits for it; all that is waiting goes into one transaction.
class Store {
 public:
  using Done = std::function<void(std::uint64_t token, bool ok)>;

  // Opens or makes the store. One that fails its checks is set aside and counts as a lost disk.
  static base::Result<std::unique_ptr<Store>> open(const std::string& folder, std::uint64_t mapBytes);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::optional<std::string> read(control::Slot slot) const;
  // `done` is called on the disk thread.
  void write(control::DiskWrite write, Done done);
  bool wasLost() const { return lost_; }

 private:
  struct Handles;
  struct Job {
    control::DiskWrite write;
    Done done;
  };
  explicit Store(std::unique_ptr<Handles> handles);
  void run();
  bool commit(const std::vector<Job>& jobs);

  std::unique_ptr<Handles> handles_;
  bool lost_ = false;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace indigohill::store
