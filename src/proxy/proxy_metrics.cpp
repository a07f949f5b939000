#include "proxy/proxy_metrics.hpp"

namespace indigohill::proxy {

const char* nameOf(RequestState state) {
  switch (state) {
    case RequestState::Reading:
      return "reading";
    case RequestState::Queued:
      return "queued";
    case RequestState::Connecting:
      return "connecting";
    case RequestState::Sending:
      return "sending";
    case RequestState::AwaitingHead:
      return "awaiting_head";
    case RequestState::Streaming:
      return "streaming";
    case RequestState::Replying:
      return "replying";
  }
  return "unknown";
}

const char* nameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::Answered:
      return "answered";
    case RequestOutcome::Rejected:
      return "rejected";
    case RequestOutcome::Failed:
      return "failed";
    case RequestOutcome::Cut:
      return "cut";
    case RequestOutcome::ClientGone:
      return "client_gone";
    case RequestOutcome::Unrouted:
      return "unrouted";
  }
  return "unknown";
}

const char* nameOf(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::First:
      return "first";
    case AttemptKind::Retry:
      return "retry";
    case AttemptKind::Resume:
      return "resume";
  }
  return "unknown";
}

const char* nameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::ClientGone:
      return "client_gone";
    case AttemptEnd::Rejected:
      return "rejected";
    case AttemptEnd::Unreachable:
      return "unreachable";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::Abandoned:
      return "abandoned";
  }
  return "unknown";
}

const char* nameOf(control::RouteType type) {
  switch (type) {
    case control::RouteType::Idempotent:
      return "idempotent";
    case control::RouteType::NonIdempotent:
      return "non_idempotent";
    case control::RouteType::Streaming:
      return "streaming";
  }
  return "unknown";
}

}  // namespace indigohill::proxy
