#include "base/worker_threads.hpp"

#include <system_error>

#include "base/log.hpp"

namespace indigohill::base {

WorkerThreads::WorkerThreads(std::size_t count, const std::function<void()>& run) {
  threads_.reserve(count);
  try {
    while (threads_.size() < count) threads_.emplace_back(run);
  } catch (const std::system_error& error) {
    logError(
        LogEvent("workers_missing").with("wanted", count).with("started", threads_.size()).with("error", error.what()));
  }
}

WorkerThreads::~WorkerThreads() {
  for (auto& thread : threads_) thread.join();
}

}  // namespace indigohill::base
