#include "emulator/daemon_process.hpp"

#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using emulator::DaemonProcess;
namespace asio = http::asio;

namespace {

// A program that is run to its end.
struct Run {
  asio::io_context io;
  std::vector<std::string> lines;
  std::shared_ptr<DaemonProcess> process;

  explicit Run(std::vector<std::string> command, const emulator::ProcessLimits& limits = {})
      : process(std::make_shared<DaemonProcess>(io.get_executor(), std::move(command), limits, "/dev/null",
                                                [this](const std::string& line) { lines.push_back(line); })) {
    process->start();
  }
  // Reads to the end of its output, and takes its wait status.
  int wait() {
    io.run();
    for (;;)
      if (const auto status = process->takeExit()) return *status;
  }
};

}  // namespace

Test(daemon_process, its_lines_and_its_exit_status_are_told) {
  Run run({"/bin/sh", "-c", "echo one; echo two >&2; exit 3"});
  cr_assert(run.process->isRunning());
  const auto status = run.wait();
  cr_assert(WIFEXITED(status) && WEXITSTATUS(status) == 3);
  const std::vector<std::string> wanted{"one", "two"};
  cr_assert(run.lines == wanted);
  cr_assert(!run.process->isRunning());
}

Test(daemon_process, a_signal_ends_it) {
  Run run({"/bin/sleep", "600"});
  run.process->signal(SIGKILL);
  const auto status = run.wait();
  cr_assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
}

Test(daemon_process, it_inherits_none_of_the_emulators_descriptors) {
  asio::io_context io;
  // While the process held a copy, the peer would not see it closed.
  const http::tcp::socket open(io, http::tcp::v4());
  Run run({"/bin/ls", "/proc/self/fd"});
  run.wait();
  // Its three streams, and the folder that it lists.
  const std::vector<std::string> wanted{"0", "1", "2", "3"};
  cr_assert(run.lines == wanted);
}

Test(daemon_process, the_kernel_keeps_it_to_its_limits) {
  Run run({"/bin/sh", "-c", "ulimit -n; ulimit -v"}, {100, 64u << 20});
  run.wait();
  const std::vector<std::string> wanted{"100", "65536"};  // descriptors, kilobytes
  cr_assert(run.lines == wanted);
}

Test(daemon_process, it_ends_with_its_owner) {
  pid_t pid = 0;
  {
    Run run({"/bin/sleep", "600"});
    pid = run.process->pid();
    // The coroutine that reads its output holds it until the event loop is gone.
  }
  cr_assert(::kill(pid, 0) != 0);
}
