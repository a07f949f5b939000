#pragma once
#include <string_view>

#include "http/types.hpp"

// Which request a response on a runner's connection belongs to.
//
// A faulty runner may send bytes behind a complete response, cut a response off, or respond late. Such bytes may arrive
// after a connection was taken from the pool and before, or while, the next request is sent on it; they then stand
// where that request's response is expected. The echo of the attempt id tells them from it.
namespace indigohill::proxy {

enum class ResponseOwner {
  Interim,       // a 1xx response: the final one follows
  ThisRequest,   // echoes the id of the request, or stands first on a fresh connection and names none
  OtherRequest,  // echoes another id
  Unknown,       // names no id although the connection has carried other responses
  Malformed      // no head that a runner would write: no status of HTTP, repeated or contradictory fields, or two heads
                 // run together
};

// `mayHoldOthers`: the connection has carried another request, or another request's response.
ResponseOwner ownerOfResponse(const http::wire::response_header<>& head, std::string_view attemptId,
                              bool mayHoldOthers);

}  // namespace indigohill::proxy
