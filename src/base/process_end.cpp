#include "base/process_end.hpp"

#include <execinfo.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

#include "base/raw_log_line.hpp"

// Where the program (or the library that holds it) lies in memory; from the linker.
// NOLINTBEGIN(readability-identifier-naming, bugprone-reserved-identifier)
extern "C" [[gnu::visibility("hidden")]] const char __ehdr_start;
extern "C" [[gnu::visibility("hidden")]] const char _end;
// NOLINTEND(readability-identifier-naming, bugprone-reserved-identifier)

namespace indigohill::base {

namespace {

constexpr std::array kFatalSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr int kMostFrames = 32;

std::uintptr_t addressOf(const void* place) { return reinterpret_cast<std::uintptr_t>(place); }

// The calls that led here: within the program as offsets from its start, as addr2line takes them; others (libraries)
// as they are.
void logStackTrace() {
  std::array<void*, kMostFrames> frames{};
  const auto count = static_cast<std::size_t>(::backtrace(frames.data(), kMostFrames));
  std::array<std::uintptr_t, kMostFrames> places{};
  const auto start = addressOf(&__ehdr_start), end = addressOf(&_end);
  for (std::size_t i = 0; i < count; ++i) {
    const auto place = addressOf(frames.at(i));
    places.at(i) = place >= start && place < end ? place - start : place;
  }
  RawLogLine("stack_trace").withAddresses("frames", places.data(), count).write();
}

extern "C" void onFatalSignal(int number, siginfo_t* info, void*) {
  RawLogLine line("fatal_signal");
  line.with("signal", static_cast<std::uint64_t>(number));
  if (number != SIGABRT) line.with("address", addressOf(info->si_addr));
  line.write();
  logStackTrace();
  std::raise(number);  // its default action stands again
}

// Needs no memory: that may be what has run out.
[[noreturn]] void onTerminate() {
  RawLogLine line("process_terminated");
  if (std::current_exception()) {
    try {
      throw;
    } catch (const std::exception& error) {
      line.with("error", error.what());
    } catch (...) {
      line.with("error", "unknown exception");
    }
  } else {
    line.with("error", "no exception");
  }
  line.write();
  std::abort();
}

}  // namespace

void logAbnormalEnd(std::string_view node, std::string_view role) {
  RawLogLine::setSource(node, role);
  std::array<void*, 1> unused{};
  ::backtrace(unused.data(), 1);  // the first call may load a library, which a signal handler must not
  std::set_terminate(onTerminate);
  struct sigaction action {};
  action.sa_sigaction = onFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER | SA_SIGINFO);
  for (const auto number : kFatalSignals) ::sigaction(number, &action, nullptr);
}

}  // namespace indigohill::base
