#include "store/store.hpp"

#include <exception>
#include <future>
#include <utility>

#include "base/log.hpp"

namespace indigohill::store {

Store::Store(const std::string& folder, std::uint64_t mapBytes)
    : snapshots_(folder, mapBytes), thread_([this] { run(); }) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

base::Result<std::unique_ptr<Store>> Store::open(const std::string& folder, std::uint64_t mapBytes) {
  try {
    auto store = std::unique_ptr<Store>(new Store(folder, mapBytes));
    if (store->wasLost()) base::logError(base::LogEvent("store_damaged").with("folder", folder));
    return store;
  } catch (const std::exception& error) {
    return base::Error{base::ErrorCode::SystemError, error.what()};
  }
}

std::optional<std::string> Store::read(control::Slot slot) const {
  const auto found = snapshots_.slots().find(slot);
  if (found == snapshots_.slots().end()) return std::nullopt;
  return found->second;
}

void Store::enqueue(Job job) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  wake_.notify_one();
}

void Store::write(control::DiskWrite write, Done done) {
  const auto token = write.token;
  Job job;
  job.writes.push_back(std::move(write));
  if (done) job.done = [token, done = std::move(done)](control::WriteOutcome outcome) { done(token, outcome); };
  enqueue(std::move(job));
}

bool Store::writeAndWait(std::vector<control::DiskWrite> writes) {
  std::promise<control::WriteOutcome> result;
  enqueue({std::move(writes), [&result](control::WriteOutcome outcome) { result.set_value(outcome); }});
  return result.get_future().get() == control::WriteOutcome::Synced;
}

void Store::run() {
  for (;;) {
    std::deque<Job> jobs;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      jobs.swap(jobs_);
    }
    Slots changes;
    for (auto& job : jobs)
      for (auto& write : job.writes) changes[write.slot] = std::move(write.bytes);
    const auto outcome = snapshots_.commit(changes) ? control::WriteOutcome::Synced : control::WriteOutcome::Failed;
    for (const auto& job : jobs)
      if (job.done) job.done(outcome);
  }
}

}  // namespace indigohill::store
