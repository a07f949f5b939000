#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/log_event.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"

// Invariants that are checked while the program runs, each where the state that it speaks of changes. A violation is
// counted and logged with the values that show it. It never ends the process by itself: a daemon goes on serving. Tests
// install a handler that fails them (tests/support/fail_on_violation.cpp).
namespace indigohill::base {

class Invariant {
 public:
  // `name` in lower case with underscores, `text` a sentence; both outlive the object, as literals do. The object lives
  // as long as the program.
  Invariant(const char* name, const char* text) noexcept;
  Invariant(const Invariant&) = delete;
  Invariant& operator=(const Invariant&) = delete;

  // Notes a violation unless the condition holds; returns the condition. `describe` adds the values to the log event,
  // `LogEvent(LogEvent)`, and is called at a violation alone. Thread-safe.
  template <class Describe>
  bool check(bool holds, Describe&& describe) {
    if (!holds) [[unlikely]]
      onViolated(std::forward<Describe>(describe)(eventOfViolation()));
    return holds;
  }

  const char* name() const { return name_; }
  const char* text() const { return text_; }
  std::uint64_t violations() const { return violations_.value(); }

 private:
  LogEvent eventOfViolation() const;
  void onViolated(const LogEvent& event);

  const char* name_;
  const char* text_;
  Counter violations_;
};

// Every invariant of the program, whether it was checked yet or not.
std::vector<const Invariant*> allInvariants();

// What is done at a violation besides counting it. The default logs a warning, for the first violations of each
// invariant and then for each power of two of them.
using ViolationHandler = std::function<void(const Invariant&, const LogEvent&)>;
// Installs another handler; an empty one brings the default back. Returns the one before.
ViolationHandler setViolationHandler(ViolationHandler handler);

// By how much a machine that stalls may exceed the bounds of invariants that speak of time: none, but in tests.
Millis stallAllowance();
// Returns the one before.
Millis setStallAllowance(Millis allowance);

}  // namespace indigohill::base
