#pragma once
#include <string>
#include <utility>
#include <variant>

namespace indigohill::base {

// Whether a request may have run at a runner. Only NotRun lets what is not repeatable be tried again, and only
// NotRun lets it be answered with 408, 421, 429 or 503.
enum class Verdict { NotRun, MayHaveRun, Ran };

struct Error {
  Verdict verdict = Verdict::NotRun;
  std::string what;
};

template <class T>
using Result = std::variant<T, Error>;

template <class T>
const Error* errorIn(const Result<T>& result) {
  return std::get_if<Error>(&result);
}

}  // namespace indigohill::base
