#include "base/invariant.hpp"

#include <atomic>
#include <bit>
#include <mutex>

#include "base/log.hpp"

namespace indigohill::base {

namespace {

constexpr std::uint64_t kAlwaysLogged = 16;  // violations of one invariant that are each logged

struct Registry {
  std::mutex mutex;
  std::vector<const Invariant*> invariants;
  ViolationHandler handler;
};

// Made at its first use: invariants register while the program's static objects are made, in no order.
Registry& registry() {
  static Registry instance;
  return instance;
}

std::atomic<Millis> stallAllowanceInForce{Millis(0)};

}  // namespace

Millis stallAllowance() { return stallAllowanceInForce.load(); }

Millis setStallAllowance(Millis allowance) { return stallAllowanceInForce.exchange(allowance); }

Invariant::Invariant(const char* name, const char* text) noexcept : name_(name), text_(text) {
  const std::lock_guard lock(registry().mutex);
  registry().invariants.push_back(this);
}

LogEvent Invariant::eventOfViolation() const {
  return LogEvent("invariant_violated").with("invariant", name_).with("text", text_);
}

void Invariant::onViolated(const LogEvent& event) {
  violations_.add();
  ViolationHandler handler;
  {
    const std::lock_guard lock(registry().mutex);
    handler = registry().handler;
  }
  const auto count = violations_.value();
  if (handler)
    handler(*this, event);
  else if (count <= kAlwaysLogged || std::has_single_bit(count))
    logWarning(event);
}

std::vector<const Invariant*> allInvariants() {
  const std::lock_guard lock(registry().mutex);
  return registry().invariants;
}

ViolationHandler setViolationHandler(ViolationHandler handler) {
  const std::lock_guard lock(registry().mutex);
  return std::exchange(registry().handler, std::move(handler));
}

}  // namespace indigohill::base
