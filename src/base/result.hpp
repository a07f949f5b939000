#pragma once
#include <string>
#include <utility>
#include <variant>

// How calls report failure, throughout the tree: a `Result` where the caller is to handle it; an exception only where
// nobody near can (the store's files, which throw std::system_error, and what prevents a daemon's start).
namespace indigohill::base {

enum class ErrorCode {
  InvalidInput,  // what was given is not well-formed, or breaks a rule; given again it fails again
  Corrupt,       // bytes were changed or cut off, on the way or on the disk
  Unsupported,   // of another version or kind than this program reads
  Unavailable,   // the other side does not answer, or answers with a failure; it may later
  SystemError,   // the system refuses (space, memory, descriptors, I/O); it may work later
  Exhausted      // a bound of this program's own is reached
};

struct Error {
  ErrorCode code = ErrorCode::InvalidInput;
  std::string message;  // names the place (field, line, path) and what is wrong there
};

template <class Value>
using Result = std::variant<Value, Error>;

// The error of a result; null when it holds a value.
template <class Value>
const Error* errorIn(const Result<Value>& result) {
  return std::get_if<Error>(&result);
}

}  // namespace indigohill::base
