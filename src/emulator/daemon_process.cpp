#include "emulator/daemon_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <cerrno>
#include <csignal>
#include <system_error>

namespace indigohill::emulator {

namespace asio = http::asio;

namespace {

constexpr int kExecFailed = 127;
constexpr std::size_t kMaxLineBytes = 1u << 20;

[[noreturn]] void throwSystemError(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

std::array<int, 2> openPipe() {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) throwSystemError("pipe");
  return ends;
}

void limitTo(__rlimit_resource resource, std::size_t most) {
  if (most == 0) return;
  const rlimit limit{most, most};
  ::setrlimit(resource, &limit);
}

// In the child: nothing but calls that are safe after a fork. The process ends with its parent. It gets none of the
// emulator's sockets: while it held one, closing that here would not reach the peer.
[[noreturn]] void becomeDaemon(int output, const ProcessLimits& limits, char* const* arguments) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  // As a supervisor starts a daemon: what the emulator's own parents ignore is not ignored there.
  for (int number = 1; number < NSIG; ++number) ::signal(number, SIG_DFL);
  limitTo(RLIMIT_NOFILE, limits.descriptors);
  limitTo(RLIMIT_AS, limits.addressSpaceBytes);
  ::execv(arguments[0], arguments);
  ::_exit(kExecFailed);
}

// Waits until the child has its program: the kernel then closes its copy of the pipe.
void awaitExec(const std::array<int, 2>& pipe) {
  ::close(pipe[1]);
  char unused = 0;
  while (::read(pipe[0], &unused, 1) < 0 && errno == EINTR) {
  }
  ::close(pipe[0]);
}

}  // namespace

DaemonProcess::DaemonProcess(const asio::any_io_executor& executor, std::vector<std::string> command,
                             const ProcessLimits& limits, const std::string& logPath, LineListener onLine)
    : executor_(executor),
      command_(std::move(command)),
      limits_(limits),
      log_(logPath, std::ios::app),
      onLine_(std::move(onLine)) {}

DaemonProcess::~DaemonProcess() {
  if (!isRunning()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void DaemonProcess::start() {
  const auto [readEnd, writeEnd] = openPipe();
  const auto untilExec = openPipe();
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (auto& word : command_) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const auto child = ::fork();
  if (child == 0) becomeDaemon(writeEnd, limits_, arguments.data());
  ::close(writeEnd);
  awaitExec(untilExec);
  if (child < 0) {
    ::close(readEnd);
    throwSystemError("fork");
  }
  pid_ = child;
  asio::co_spawn(
      executor_,
      [self = shared_from_this(), output = asio::posix::stream_descriptor(executor_, readEnd)]() mutable {
        return self->readLines(std::move(output));
      },
      asio::detached);
}

void DaemonProcess::signal(int number) const {
  if (isRunning()) ::kill(pid_, number);
}

std::optional<int> DaemonProcess::takeExit() {
  int status = 0;
  if (!isRunning() || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  return status;
}

asio::awaitable<void> DaemonProcess::readLines(asio::posix::stream_descriptor output) {
  const auto self = shared_from_this();
  std::string buffer;
  for (;;) {
    auto [error, length] =
        co_await asio::async_read_until(output, asio::dynamic_buffer(buffer, kMaxLineBytes), '\n', http::kTuple);
    if (error) co_return;
    const auto line = buffer.substr(0, length - 1);
    buffer.erase(0, length);
    log_ << line << '\n';
    log_.flush();
    onLine_(line);
  }
}

}  // namespace indigohill::emulator
