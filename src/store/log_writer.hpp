#pragma once
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "store/append_log.hpp"

namespace indigohill::store {

// Writes a log from a thread of its own, so that a disk that hangs holds up nothing but what waits for it.
class LogWriter {
 public:
  // `isOnDisk`; called on the writer's thread.
  using Done = std::function<void(bool isOnDisk)>;

  explicit LogWriter(AppendLog log);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // REQUIRES: the write before has called its `done`. After an append that failed, the next write replaces the log.
  void append(std::vector<std::string> records, Done done) { start({std::move(records), false, std::move(done)}); }
  void replace(std::vector<std::string> records, Done done) { start({std::move(records), true, std::move(done)}); }

 private:
  struct Job {
    std::vector<std::string> records;
    bool replaces = false;
    Done done;
  };
  void start(Job job);
  void run();
  bool carryOut(const Job& job);

  AppendLog log_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Job> job_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace indigohill::store
