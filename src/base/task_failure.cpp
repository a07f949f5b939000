#include "base/task_failure.hpp"

#include "base/log.hpp"

namespace indigohill::base {

void LogTaskFailure::operator()(const std::exception_ptr& thrown) const {
  if (!thrown) return;
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    logError(LogEvent("task_failed").with("task", task_).with("error", error.what()));
  } catch (...) {
    logError(LogEvent("task_failed").with("task", task_).with("error", "unknown exception"));
  }
}

void EndOnTaskFailure::operator()(const std::exception_ptr& thrown) const {
  if (!thrown) return;
  log_(thrown);
  std::rethrow_exception(thrown);
}

}  // namespace indigohill::base
