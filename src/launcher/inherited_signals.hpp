#pragma once

// Signals that must not end a daemon, although their default action ends a process. They are ignored before any library
// of the process is initialised, in all threads, until `restoreInheritedSignals` or until somebody handles them.
namespace indigohill::launcher {

// Ignores them again, whatever a library made of them when it was initialised.
void ignoreSignals();

// They do what they did when the process was started: for a program that turns out to be no daemon.
void restoreInheritedSignals();

}  // namespace indigohill::launcher
