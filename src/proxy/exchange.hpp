#pragma once
#include <optional>
#include <string>

#include "base/result.hpp"
#include "http/types.hpp"
#include "proxy/events.hpp"
#include "rollout/versions.hpp"
#include "routing/table.hpp"

// What the parts of the proxy share about one request under way.
namespace indigohill::proxy {

// One request under way and what the client has of its answer.
struct Exchange {
  http::beast::tcp_stream& client;
  const http::Request& request;
  const control::Route& route;
  std::string attemptId;
  std::string service;
  base::TimePoint deadline;
  bool stream = false;   // answered as events come
  bool started = false;  // the client has bytes of the answer
  bool keep = true;      // the client was told that its connection can be used further
  EventCutter events;
  std::string resumeFrom;                   // Last-Event-Id for the next runner
  base::TimePoint firstAt{};                // when the first event left
  base::TimePoint sentAt{};                 // when it went to the runner that has it now
  routing::Admission* admission = nullptr;  // the place at the runner that has it now
  std::optional<http::Response> failure;    // a runner's own 5xx, passed on if no other runner does better
  // Weights of the runner that the stream's events come from, as its answers tell; and what is expected of this try.
  std::optional<std::uint64_t> version, expected;
  bool versionChanged = false;  // within the stream, as the record allows
};

// How a call to a runner ended.
struct CallOutcome {
  enum class End {
    Answered,    // the client has its whole answer
    ClientGone,  // nobody to answer any more
    Refused,     // the runner said that it did not run it
    Unreached,   // no connection to it came about
    Fault        // the runner broke off; `verdict` says whether it may have run
  } end = End::Fault;
  base::Verdict verdict = base::Verdict::MayHaveRun;
  std::string what;
  std::optional<rollout::Told> otherVersion{};  // what the runner told instead of what it should have been
};

// Why a call fails whose runner loads other weights between two events of its stream.
inline constexpr const char* kWeightsChange = "the weights change within the stream";

}  // namespace indigohill::proxy
