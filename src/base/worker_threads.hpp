#pragma once
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace indigohill::base {

// Threads that all run one function, beside the thread that makes them.
class WorkerThreads {
 public:
  // Starts `count` threads, or as many as the system has room for; `workers_missing` is logged then. `run` may be
  // called at once, by several threads at a time.
  WorkerThreads(std::size_t count, const std::function<void()>& run);
  // Waits until `run` has returned in each of them.
  ~WorkerThreads();
  WorkerThreads(const WorkerThreads&) = delete;
  WorkerThreads& operator=(const WorkerThreads&) = delete;

  std::size_t size() const { return threads_.size(); }

 private:
  std::vector<std::thread> threads_;
};

}  // namespace indigohill::base
