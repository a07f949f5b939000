#pragma once
#include <sys/types.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/types.hpp"

namespace indigohill::emulator {

// What the kernel enforces on a process; 0: as it is for the emulator.
struct ProcessLimits {
  std::size_t descriptors = 0;
  std::size_t addressSpaceBytes = 0;
};

// A process of the daemon, one life after the other. What it writes goes line by line to a file and to a listener.
// Only the process that was started here is ever signalled, by its id, and only while it has not been waited for.
class DaemonProcess : public std::enable_shared_from_this<DaemonProcess> {
 public:
  using LineListener = std::function<void(const std::string& line)>;

  DaemonProcess(const http::asio::any_io_executor& executor, std::vector<std::string> command,
                const ProcessLimits& limits, const std::string& logPath, LineListener onLine);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  // Returns once the kernel runs the program. Throws std::system_error if there can be no further process. REQUIRES:
  // not running.
  void start();
  void signal(int number) const;
  bool isRunning() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  // The wait status of a process that has ended; it is then not running any more. Nothing while it runs.
  std::optional<int> takeExit();

 private:
  http::asio::awaitable<void> readLines(http::asio::posix::stream_descriptor output);

  http::asio::any_io_executor executor_;
  std::vector<std::string> command_;
  ProcessLimits limits_;
  std::ofstream log_;
  LineListener onLine_;
  pid_t pid_ = 0;
};

}  // namespace indigohill::emulator
