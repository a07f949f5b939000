#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/log_event.hpp"
#include "base/time.hpp"
#include "duties/agent.hpp"
#include "duties/setup.hpp"
#include "feed/publisher.hpp"
#include "feed/subscriber.hpp"
#include "membership/group.hpp"
#include "routing/snapshot.hpp"
#include "usage/reporter.hpp"

// All of a router's control side but its sockets: its membership of the group, and the configuration and the list of
// runners that it subscribes to. A pure state machine like control::Controller; what comes out are, besides messages,
// the events that the routing snapshot is folded from.
namespace indigohill::router {

struct RouterEffects {
  net::Outbox out;
  std::vector<routing::Event> events;
  std::vector<base::LogEvent> log;
  std::vector<schema::LoadNotice> loadNotices;      // from other routers
  std::vector<schema::HealthReport> healthReports;  // from other routers
  std::vector<duties::PlatformCall> calls;          // of duties that are performed here
  std::vector<std::uint64_t> abortedCalls;          // calls that must not be on their way any more
};

class RouterCore {
 public:
  struct Self {
    std::string nodeName, zone;
    settings::Endpoint address;  // for messages between daemons
  };

  // `drainTimeout`: how long a draining runner serves on (bounds.drainTimeoutMs).
  RouterCore(Self self, std::vector<settings::Endpoint> seeds, membership::Times groupTimes, feed::Times feedTimes,
             base::Millis drainTimeout, std::uint64_t seed, base::TimePoint startedAt, duties::Setup duties = {});

  void tick(base::TimePoint now, RouterEffects& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
               RouterEffects& effects);
  // Sends to all other routers of the view.
  void broadcast(const schema::Message& message, net::Outbox& out) const;
  // Sends to one of them, by its incarnation.
  void sendTo(std::uint64_t incarnation, const schema::Message& message, net::Outbox& out) const;
  void leave(RouterEffects& effects);
  void setSeeds(std::vector<settings::Endpoint> seeds) { group_.setSeeds(std::move(seeds)); }

  // What this router has counted since the last call, and its requests of each service now.
  void addUsage(const std::vector<schema::UsageEntry>& counts, std::vector<schema::ServiceLoad> loads);
  // The clock by which requests are counted. Lives as long as the core; reads are thread-safe.
  const usage::WindowClock& windowClock() const { return windowClock_; }
  void observeWallTime(base::TimePoint now, std::int64_t wallMs) { windowClock_.observe(now, wallMs); }
  // A call of a duty has ended.
  void onCallEnded(std::uint64_t id, duties::CallOutcome outcome, base::TimePoint now, RouterEffects& effects);
  bool mayCall(const duties::PlatformCall& call, base::TimePoint now) const { return duties_.mayCall(call, now); }
  const duties::Agent& duties() const { return duties_; }

  // Whether the platform's list is to be read directly: no update has come for so long that a draining runner might
  // be missed.
  bool isListReadDue(base::TimePoint now);
  // `askedAt`: when the platform was asked for it.
  void onListRead(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                  RouterEffects& effects);

  // Whether requests can be served: a configuration that was confirmed as the newest within this life, and runners.
  bool isInformed() const {
    return everConfirmed_ && publisher_.state() && publisher_.state()->revision > 0 &&
           publisher_.runnerList().isKnown() && !publisher_.hasDigestMismatch();
  }
  // How long no controller has confirmed the configuration held here; nothing while that is usual.
  std::optional<base::Millis> unconfirmedFor(base::TimePoint now) const;
  const membership::Group& group() const { return group_; }
  const feed::Publisher& publisher() const { return publisher_; }

 private:
  void logConfirmationChange(base::TimePoint now, RouterEffects& effects);
  // `answeredAt`: if the update answers a poll of this router, what its ages are counted from.
  void apply(const schema::Update& update, std::optional<base::TimePoint> answeredAt, base::TimePoint now,
             RouterEffects& effects);
  void applyState(const schema::ControlState& state, RouterEffects& effects);
  void applyRunners(const schema::Update& update, const schema::UpdateContent& content,
                    std::optional<base::TimePoint> answeredAt, base::TimePoint now, RouterEffects& effects);
  void confirm(const schema::Update& update, base::TimePoint answeredAt, base::TimePoint now);
  std::vector<settings::Endpoint> pollTargets() const;
  void sendPoll(base::TimePoint now, net::Outbox& out);
  void publishMembership(RouterEffects& effects);
  bool receiveDutyMessage(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                          RouterEffects& effects);
  void tickDuties(base::TimePoint now, RouterEffects& effects);

  Self self_;
  feed::Times times_;
  base::Millis drainTimeout_;
  std::uint64_t seed_;
  membership::Group group_;
  feed::Publisher publisher_;
  feed::Subscriber subscriber_;
  duties::Agent::Options dutyOptions_;
  usage::WindowClock windowClock_;
  usage::Reporter reporter_;
  duties::Agent duties_;
  std::shared_ptr<const control::Configuration> configuration_;
  routing::Routers proposedRouters_;
  bool unconfirmedLogged_ = false, everConfirmed_ = false;
  base::TimePoint startedAt_, listReadAt_{};
  // When the platform was asked for the list that routing has, if it is one that this router has read for itself.
  std::optional<base::TimePoint> readDirectlyAt_;
};

}  // namespace indigohill::router
