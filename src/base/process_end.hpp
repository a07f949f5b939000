#pragma once

// What a process leaves in its log when it ends by itself, so that the kinds of ends can be told apart afterwards. An
// end without any of these events, and without `process_failed`, came from outside (SIGKILL) or by a signal whose
// default action ends a process.
namespace indigohill::base {

// From now on an exception that nobody catches is logged as `process_terminated`, and a fault of the processor or an
// abort writes a line with event `fatal_signal` before it ends the process as it would have. REQUIRES: the log is open.
void logAbnormalEnd();

}  // namespace indigohill::base
