#pragma once
#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.hpp"
#include "emulator/records.hpp"

// What requests and answers hold. All of it follows from the attempt's id, so that a client, a runner and a judge know
// alike what is right without telling each other.
namespace indigohill::emulator {

constexpr const char* kHostname = "soak.example";
constexpr const char* kPlainService = "plain";
constexpr const char* kStreamService = "engine";
constexpr const char* kModel = "m";

constexpr const char* kAttemptIdField = "Indigohill-Attempt-Id";
constexpr const char* kSealField = "Indigohill-Response-Seal";
constexpr const char* kNotExecutedField = "Indigohill-Not-Executed";
constexpr const char* kTargetField = "Indigohill-Target-Instance";
constexpr const char* kInstanceField = "Indigohill-Instance-Id";
constexpr const char* kTimeRemainingField = "Indigohill-Time-Remaining";
constexpr const char* kLastEventField = "Last-Event-Id";
constexpr const char* kBaseVersionField = "Indigohill-Base-Version";
// What a request may ask of the runner that works on it: a body of at least so many bytes, events of at least so many
// bytes each, and the time that the work takes.
constexpr const char* kAnswerBytesField = "Emulator-Answer-Bytes";
constexpr const char* kEventBytesField = "Emulator-Event-Bytes";
constexpr const char* kWorkMsField = "Emulator-Work-Ms";

inline std::string pathPrefix(RouteKind kind) {
  switch (kind) {
    case RouteKind::Idempotent:
      return "/check/";
    case RouteKind::NonIdempotent:
      return "/once/";
    case RouteKind::ResumableStream:
      return "/text/";
  }
  return "/";
}

inline const char* serviceOf(RouteKind kind) {
  return kind == RouteKind::ResumableStream ? kStreamService : kPlainService;
}

inline std::string requestTarget(RouteKind kind, const std::string& attemptId) { return pathPrefix(kind) + attemptId; }

inline std::string requestBody(const std::string& attemptId) {
  constexpr std::size_t kMostRepeats = 200;
  std::string out;
  for (std::size_t i = base::hash(attemptId) % kMostRepeats + 1; i > 0; --i) out += attemptId;
  return out;
}

inline std::string answerBody(const std::string& attemptId, const std::string& seal) {
  return fmt::format("{} answered under {}", attemptId, seal);
}

// How many events the stream of an attempt has.
inline std::size_t eventCount(const std::string& attemptId) { return 8 + base::hash(attemptId) % 25; }

inline std::string eventText(const std::string& attemptId, std::size_t number) {
  return fmt::format("id: {}\ndata: {} {}\n\n", number, attemptId, number);
}

// The events of an attempt's stream from `first` to its last.
inline std::string eventsFrom(const std::string& attemptId, std::size_t first) {
  std::string out;
  for (auto number = first; number <= eventCount(attemptId); ++number) out += eventText(attemptId, number);
  return out;
}

}  // namespace indigohill::emulator
