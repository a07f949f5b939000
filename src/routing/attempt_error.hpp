#pragma once
#include <string>

namespace indigohill::routing {

// Whether a request has run at a runner. Only NotRun lets what is not repeatable be sent again, and only NotRun lets it
// be answered with 408, 421, 429 or 503.
enum class ExecutionStatus { NotRun, MayHaveRun, Ran };

// How an attempt at a runner failed.
struct AttemptError {
  ExecutionStatus execution = ExecutionStatus::MayHaveRun;
  std::string message;
};

}  // namespace indigohill::routing
