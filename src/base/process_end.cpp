#include "base/process_end.hpp"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

#include "base/log.hpp"

namespace indigohill::base {

namespace {

constexpr std::array kFatalSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

// In a signal handler: nothing but calls that are async-signal-safe.
void writeText(std::string_view text) {
  [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, text.data(), text.size());
}

extern "C" void onFatalSignal(int number) {
  const std::array digits{static_cast<char>('0' + number / 10), static_cast<char>('0' + number % 10)};
  writeText(R"({"level":"critical","event":"fatal_signal","signal":)");
  writeText(number < 10 ? std::string_view(&digits[1], 1) : std::string_view(digits.data(), digits.size()));
  writeText("}\n");
  std::raise(number);  // its default action stands again
}

[[noreturn]] void onTerminate() {
  std::string reason = "no exception";
  if (const auto thrown = std::current_exception()) {
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
      reason = error.what();
    } catch (...) {
      reason = "unknown exception";
    }
  }
  logError(LogEvent("process_terminated").with("error", reason));
  std::abort();
}

}  // namespace

void logAbnormalEnd() {
  std::set_terminate(onTerminate);
  struct sigaction action {};
  action.sa_handler = onFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  for (const auto number : kFatalSignals) ::sigaction(number, &action, nullptr);
}

}  // namespace indigohill::base
