#include "store/log_writer.hpp"

#include <exception>
#include <utility>

#include "base/log.hpp"

namespace indigohill::store {

LogWriter::LogWriter(AppendLog log) : log_(std::move(log)), thread_([this] { run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void LogWriter::start(Job job) {
  {
    const std::lock_guard lock(mutex_);
    job_ = std::move(job);
  }
  wake_.notify_one();
}

void LogWriter::run() {
  for (;;) {
    std::optional<Job> job;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || job_; });
      if (!job_) return;
      job = std::exchange(job_, std::nullopt);
    }
    job->done(carryOut(*job));
  }
}

bool LogWriter::carryOut(const Job& job) {
  try {
    job.replaces ? log_.replace(job.records) : log_.append(job.records);
    return true;
  } catch (const std::exception& error) {
    base::logWarning(base::LogEvent("log_write_failed").with("error", error.what()));
    return false;
  }
}

}  // namespace indigohill::store
