#pragma once
#include <array>
#include <csignal>

namespace indigohill::base {

// Signals that must not end a daemon, although their default action ends a process. They are ignored from the making of
// this object on, in all threads, until `restore` or until somebody handles them.
class IgnoredSignals {
 public:
  IgnoredSignals();
  // They do what they did before: for a program that turns out to be no daemon.
  void restore() const;

 private:
  static constexpr std::array kNumbers{
      SIGHUP,   // the settings have changed; a daemon that starts reads them anyway
      SIGPIPE,  // a connection was closed; the write fails as well
      SIGXFSZ,  // a file has reached the limit on file sizes; the write fails as well
  };
  std::array<struct sigaction, kNumbers.size()> former_{};
};

}  // namespace indigohill::base
