#pragma once
#include <cstdint>
#include <string>
#include <tuple>

#include "schema/messages.hpp"

// The words of duty leases, after "Leases (anarchon internals)". docs/leases.md says what was kept of that design and
// what was changed. A duty lease is not the lease of the group's view (membership::Lease): that one says whether a
// daemon may act on its view, this one which daemon performs a duty.
namespace indigohill::lease {

// What only one daemon at a time may do. The numbers are part of the format on disk and between daemons.
enum class Duty : std::uint8_t { Usage = 1, Scaling = 2 };
constexpr const char* nameOf(Duty duty) { return duty == Duty::Usage ? "usage" : "scaling"; }

// Of an attempt. An attempt is expired when it is Running and its lease end has passed, which is not stored. Success
// and Failed end an attempt for good; the duties of today never finish, so nothing writes them.
enum class Status : std::uint8_t { Running = 1, Success = 2, Failed = 3, Interrupted = 4 };

enum class OperationKind : std::uint8_t {
  Claim = 1,      // a new attempt, if the present one has expired or was released
  Heartbeat = 2,  // the lease end moves forward, if the token is the present one
  Release = 3,    // the lease ends now, if the token is the present one
  FixReport = 4   // the usage report of the request is fixed, if the token is that of the usage lease
};

enum class Outcome : std::uint8_t {
  Won = 1,       // a claim: the claimer has the attempt
  Running = 2,   // a claim: another attempt is running, or the claimer has to wait
  Renewed = 3,   // a heartbeat
  Released = 4,  // a release
  Fixed = 5,     // a report: it, or another of the same window, is fixed
  Refused = 6    // the token is not the present one
};

// What a lease is for.
struct Subject {
  Duty duty = Duty::Usage;
  std::string name{};  // empty for usage; service and zone with a '/' between for scaling
  auto operator<=>(const Subject&) const = default;
};

// The subject of a record, an operation, a result or a summary.
template <class Part>
Subject subjectOf(const Part& part) {
  return {static_cast<Duty>(part.duty), part.subject};
}

inline Subject scalingSubject(const std::string& service, const std::string& zone) {
  return {Duty::Scaling, service + "/" + zone};
}

}  // namespace indigohill::lease
