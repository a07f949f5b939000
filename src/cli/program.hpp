#pragma once

// The entry of the library that holds the program; src/launcher loads it.
namespace indigohill::cli {

// Runs the subcommand that the arguments name, and gives the process's exit status. `restoreSignals` makes the signals
// that the caller has ignored do again what they did when the process was started.
using ProgramEntry = int(int argc, char** argv, void (*restoreSignals)());

// The entry's name in the library.
constexpr const char* kProgramEntry = "indigohillMain";

}  // namespace indigohill::cli
