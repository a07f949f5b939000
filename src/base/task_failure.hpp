#pragma once
#include <exception>

namespace indigohill::base {

// Completion handler of a coroutine that nobody waits for: logs the exception that has left it, which would be dropped
// without a trace otherwise. Errors that are expected are values, so an exception is a fault of the program or want of
// memory.
class LogTaskFailure {
 public:
  // `task` says in the log what the coroutine did; a literal.
  explicit LogTaskFailure(const char* task) : task_(task) {}
  void operator()(const std::exception_ptr& thrown) const;

 private:
  const char* task_;
};

// The same for a coroutine without which its daemon stands still (ticks, accepting, receiving): the exception goes on
// to the event loop and ends the process, which is then started again.
class EndOnTaskFailure {
 public:
  explicit EndOnTaskFailure(const char* task) : log_(task) {}
  void operator()(const std::exception_ptr& thrown) const;

 private:
  LogTaskFailure log_;
};

}  // namespace indigohill::base
