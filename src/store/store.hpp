#pragma once
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/result.hpp"
#include "control/effects.hpp"
#include "store/snapshots.hpp"

// A controller's disk, written by a thread of its own.
namespace indigohill::store {

// Writes are made in the order in which they were requested, so that a disk that hangs holds up nothing but what waits
// for it; all that is waiting goes into one commit.
class Store {
 public:
  using Done = std::function<void(std::uint64_t token, control::WriteOutcome)>;

  // Opens or makes the store; what is damaged counts as a lost disk. The error is that of a system that refuses (no
  // space or memory, I/O): nothing was changed, and the store may open later.
  static base::Result<std::unique_ptr<Store>> open(const std::string& folder, std::uint64_t mapBytes);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // What the disk held at the start. Only to be called before the first write.
  std::optional<std::string> read(control::Slot slot) const;
  bool wasLost() const { return snapshots_.wasLost(); }

  // `done` is called on the disk thread.
  void write(control::DiskWrite write, Done done);
  // Makes all the writes in one commit and waits for it; whether they are on the disk.
  bool writeAndWait(std::vector<control::DiskWrite> writes);

 private:
  struct Job {
    std::vector<control::DiskWrite> writes;
    std::function<void(control::WriteOutcome)> done;
  };
  Store(const std::string& folder, std::uint64_t mapBytes);
  void enqueue(Job job);
  void run();

  Snapshots snapshots_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace indigohill::store
