#include "launcher/inherited_signals.hpp"

#include <array>
#include <csignal>
#include <cstddef>

namespace indigohill::launcher {

namespace {

constexpr std::array kNumbers{
    SIGHUP,   // the settings have changed; a daemon that starts reads them anyway
    SIGPIPE,  // a connection was closed; the write fails as well
    SIGXFSZ,  // a file has reached the limit on file sizes; the write fails as well
};

std::array<struct sigaction, kNumbers.size()> inherited;

void replaceInheritedSignals() {
  for (std::size_t i = 0; i < kNumbers.size(); ++i) ::sigaction(kNumbers[i], nullptr, &inherited[i]);
  ignoreSignals();
}

// The loader calls these functions of an executable before the constructors of all libraries.
[[gnu::section(".preinit_array"), gnu::used]] void (*firstOfAll)() = replaceInheritedSignals;

}  // namespace

void ignoreSignals() {
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  for (const auto number : kNumbers) ::sigaction(number, &ignore, nullptr);
}

void restoreInheritedSignals() {
  for (std::size_t i = 0; i < kNumbers.size(); ++i) ::sigaction(kNumbers[i], &inherited[i], nullptr);
}

}  // namespace indigohill::launcher
