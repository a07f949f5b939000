#pragma once
#include <string_view>

// What a process leaves in its log when it ends by itself, so that the kinds of ends can be told apart afterwards. An
// end without any of these events, and without `process_failed`, came from outside (SIGKILL) or by a signal whose
// default action ends a process.
namespace indigohill::base {

// From now on an exception that nobody catches is logged as `process_terminated`. A fault of the processor or an abort
// writes `fatal_signal` and `stack_trace` before it ends the process as it would have. Neither needs memory or locks.
// `node` and `role` name the process in these lines.
void logAbnormalEnd(std::string_view node, std::string_view role);

}  // namespace indigohill::base
