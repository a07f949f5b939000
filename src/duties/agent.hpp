#pragma once
#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/log_event.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"
#include "control/configuration.hpp"
#include "duties/platform_call.hpp"
#include "lease/duty_loop.hpp"
#include "membership/view.hpp"
#include "net/codec.hpp"
#include "scaling/autoscaler.hpp"
#include "usage/ledger.hpp"
#include "usage/window_clock.hpp"

// One daemon's part in the duties at the platform: it takes part in the election of holders (lease::DutyLoop) and, for
// the subjects that it holds, reports usage and orders runners. A pure state machine like the daemon's core, which it
// is part of: messages, ticks and ended calls go in with the time, messages and calls come out.
namespace indigohill::duties {

struct AgentEffects {
  net::Outbox out;
  std::vector<PlatformCall> calls;     // to be made; one is under way at a time
  std::vector<std::uint64_t> aborted;  // calls whose connection must be closed at once
  std::vector<base::LogEvent> log;
};

// Hands what the agent wants done on to the effects of the daemon that it is part of.
template <class DaemonEffects>
void append(AgentEffects made, DaemonEffects& effects) {
  std::move(made.out.begin(), made.out.end(), std::back_inserter(effects.out));
  std::move(made.calls.begin(), made.calls.end(), std::back_inserter(effects.calls));
  std::move(made.aborted.begin(), made.aborted.end(), std::back_inserter(effects.abortedCalls));
  std::move(made.log.begin(), made.log.end(), std::back_inserter(effects.log));
}

// Where a daemon is reached that other daemons name.
inline settings::Endpoint endpointOf(const schema::Address& address) { return {address.ip, address.port}; }

class Agent {
 public:
  struct Options {
    lease::Times lease;
    bool reportsUsage = false, scales = false;
    base::Millis usageDelay{10000};  // a window is reported within this after its end (bounds.usageDelayS)
    scaling::Autoscaler::Options scaling{};
    bool isEnabled() const { return reportsUsage || scales; }
  };
  // What the daemon knows of the fleet at this moment.
  struct Surroundings {
    std::vector<settings::Endpoint> stores;  // controllers that take lease requests, the best first
    const schema::View* view = nullptr;      // its routers count usage; null: none
    std::shared_ptr<const control::Configuration> configuration;  // null: none
    const std::vector<schema::RunnerEntry>* runners = nullptr;    // null: not known
    base::Millis claimDelay{0};                                   // see DutyLoop::setClaimDelay
  };

  Agent(lease::DutyLoop::Self self, Options options, usage::WindowClock& clock, std::uint64_t seed);

  void tick(const Surroundings& around, base::TimePoint now, AgentEffects& effects);
  // True if the message was for the agent. `from`: where it came from.
  bool receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
               AgentEffects& effects);
  void onCallEnded(std::uint64_t id, CallOutcome outcome, base::TimePoint now, AgentEffects& effects);
  // Hands all duties over.
  void stop() { loop_.stop(); }
  bool hasStopped() const { return loop_.hasStopped(); }
  // Whether a call may be on its way; checked again right before its bytes are sent.
  bool mayCall(const PlatformCall& call, base::TimePoint now) const;

  const schema::LeaseTable& table() const { return loop_.table(); }
  // When the table came; nothing before the first.
  std::optional<base::TimePoint> tableAt() const { return tableAt_; }
  bool isEnabled() const { return options_.isEnabled(); }
  // Calls that ended so.
  const base::PerValue<CallOutcome, CallOutcome::NoAnswer>& callCounts() const { return callCounts_; }
  bool isHolder(const lease::Subject& subject, base::TimePoint now) const { return loop_.mayPerform(subject, now); }
  // The holder of the usage lease, to which routers send their counts; nothing while there is none.
  std::optional<schema::LeaseSummary> usageHolder() const;
  // The call that was made last, for the status page; nothing before the first.
  struct LastCall {
    PlatformCall call;
    std::optional<CallOutcome> outcome;  // nothing: it is under way
    base::TimePoint at{};
  };
  const std::optional<LastCall>& lastCall() const { return lastCall_; }
  std::uint64_t usageDelivered() const { return delivered_; }

 private:
  struct ScaledService {
    std::unique_ptr<scaling::Autoscaler> autoscaler;
    std::map<std::string, std::uint32_t> wanted;   // by zone
    std::map<std::string, std::uint32_t> ordered;  // by zone: the last count that the platform has taken
  };

  void updateSubjects(const Surroundings& around);
  void noteEvents(base::TimePoint now, AgentEffects& effects);
  void sendLeaseRequest(const Surroundings& around, base::TimePoint now, AgentEffects& effects);
  void abortUnleasedCall(base::TimePoint now, AgentEffects& effects);
  void receiveReply(const schema::LeaseReply& reply, base::TimePoint now);
  void receiveCounts(const schema::UsageCounts& counts, const settings::Endpoint& from, base::TimePoint now,
                     AgentEffects& effects);
  void performUsage(const Surroundings& around, base::TimePoint now, AgentEffects& effects);
  void beginUsage(base::TimePoint now);
  bool isReportDue(std::uint64_t window, const schema::View* view, base::TimePoint now) const;
  void planScaling(const Surroundings& around, base::TimePoint now);
  void performScaling(base::TimePoint now, AgentEffects& effects);
  void backOff(base::TimePoint now);
  bool mayStartCall(const lease::Subject& subject, base::TimePoint now) const;
  void startCall(const lease::Subject& subject, std::string path, std::string body, base::TimePoint now,
                 AgentEffects& effects);

  lease::DutyLoop::Self self_;
  Options options_;
  usage::WindowClock& clock_;
  lease::DutyLoop loop_;
  usage::Ledger ledger_;

  std::map<std::uint64_t, schema::UsageReport> fixed_;  // by window: agreed on, not delivered
  std::uint64_t delivered_ = 0;
  base::TimePoint usageSince_{};  // when this daemon began to hold the usage lease

  std::map<std::string, ScaledService> services_;
  base::TimePoint plannedAt_{};

  std::optional<base::TimePoint> tableAt_;
  base::PerValue<CallOutcome, CallOutcome::NoAnswer> callCounts_;
  std::optional<PlatformCall> call_;  // under way
  std::optional<LastCall> lastCall_;
  std::uint64_t calls_ = 0;
  base::TimePoint callNotBefore_{};
  base::Millis backoff_{0};
  std::size_t store_ = 0;                           // index of the controller that requests go to
  std::optional<base::TimePoint> unansweredSince_;  // requests have got no reply from it since
};

}  // namespace indigohill::duties
