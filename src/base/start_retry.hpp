#pragma once
#include <functional>
#include <optional>
#include <string>

#include "base/log_event.hpp"

namespace indigohill::base {

// Repeats what a daemon needs for its start until it succeeds; blocks meanwhile. For what others on the machine may
// hold for a moment or longer (an address, a disk): the daemon waits for it rather than end.
//
// `attempt` gives the error of a try that failed, nothing at success; what it throws goes to the caller. `failure` is
// logged with that error, at the first failure and from time to time afterwards.
void retryAtStart(const LogEvent& failure, const std::function<std::optional<std::string>()>& attempt);

}  // namespace indigohill::base
