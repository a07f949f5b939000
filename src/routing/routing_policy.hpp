#pragma once
#include <string>

#include "routing/attempt_error.hpp"
#include "routing/table.hpp"

// What is done with one request from its arrival to its end, as far as that is decided and not carried out. The
// executor obeys it with sockets; the replay of recorded traffic with modelled runners.
namespace indigohill::routing {

// How a request ends that no runner has answered.
struct Ending {
  bool cut = false;  // the client has part of an answer: its connection ends without the rest
  int status = 503;
  double retryAfterS = 0;
  std::string why;
};

class RoutingPolicy {
 public:
  RoutingPolicy(Table& table, const control::Route& route, std::string_view attemptId, base::TimePoint arrivedAt,
                base::TimePoint deadline);

  RequestProfile& request() { return request_; }
  // Counts the request towards the budget of its service.
  void onArrival(base::TimePoint now) { table_.arrived(request_.service, now); }

  // Pass, wait, or end.
  std::variant<PassTo, Wait, Ending> next(base::TimePoint now);

  // An attempt at a runner has ended without a complete response: whether another may follow. `started`: the client has
  // bytes of the response; `resumable`: and a complete event after which another runner could go on.
  bool onFailure(const AttemptError& error, bool started, bool resumable, base::TimePoint now);
  // No connection to the runner came about: nothing was sent, so this was no attempt and draws on no budget. Whether
  // another runner may be taken; how often is bounded, as each one costs time.
  bool onUnreachable(const AttemptError& error, base::TimePoint now);
  Ending ending(base::TimePoint now) const;

 private:
  Table& table_;
  const control::Route& route_;
  RequestProfile request_;
  bool mayHaveRun_ = false, started_ = false;
  std::uint32_t unreachableRunners_ = 0;
  std::string lastError_ = "not tried";
};

}  // namespace indigohill::routing
