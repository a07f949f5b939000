#pragma once
#include <string>
#include <vector>

#include "control/identity.hpp"
#include "control/leadership_check.hpp"
#include "control/lease_desk.hpp"
#include "control/replica.hpp"
#include "duties/agent.hpp"
#include "duties/setup.hpp"
#include "feed/publisher.hpp"
#include "feed/subscriber.hpp"
#include "lease/table_feed.hpp"
#include "membership/group.hpp"

// All of a controller but its sockets and its disk: its membership of the group, its replica of the control state, and
// the publication of updates, put together. A pure state machine: the daemon drives it with real time and real
// messages, the simulator with its own.
namespace indigohill::control {

class Controller {
 public:
  struct Self {
    std::string nodeName, zone;
    settings::Endpoint address;  // for messages between daemons
  };
  struct Options {
    membership::Times group;
    ReplicaTimes replica;
    feed::Times feed;
    std::size_t faultTolerance = 1;      // machines that may be lost at once with their disks
    base::Millis listReadInterval{500};  // between two readings of the platform's list
    base::Millis gracePeriod{8000};      // from the request to shut down until the platform kills the process
    duties::Setup duties{};
  };

  Controller(Self self, Identity identity, std::vector<settings::Endpoint> seeds, Options options, std::uint64_t seed);

  void tick(base::TimePoint now, Effects& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& effects);
  void onDiskWrite(std::uint64_t token, WriteOutcome outcome, base::TimePoint now, Effects& effects);
  void submit(Order order, base::TimePoint now, Effects& effects);
  // The caller has gone: its order is dropped if it has not been begun.
  void cancel(std::uint64_t call) { replica_.cancel(call); }
  void setSeeds(std::vector<settings::Endpoint> seeds);

  // The singleton role of reading the platform's list: whether it is due here, and what came of it.
  bool isListReadDue(base::TimePoint now);
  void setListReadInterval(base::Millis interval) { options_.listReadInterval = interval; }
  void onListRead(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                  Effects& effects);

  // A call of a duty has ended.
  void onCallEnded(std::uint64_t id, duties::CallOutcome outcome, base::TimePoint now, Effects& effects);
  // Whether a call of a duty may be on its way at this moment.
  bool mayCall(const duties::PlatformCall& call, base::TimePoint now) const { return duties_.mayCall(call, now); }
  // The machine's time of day, which may step.
  void observeWallTime(base::TimePoint now, std::int64_t wallMs) { windowClock_.observe(now, wallMs); }

  // Begins the graceful shutdown; `isShutDown` says when the process may end. A member that votes or holds a replica
  // stays until others have taken its place, for at most half of the grace period.
  void shutDown(base::TimePoint now, Effects& effects);
  bool isShutDown(base::TimePoint now) const;
  // The last part of the shutdown: the process ends within moments.
  bool hasLeftGroup() const { return leftGroup_; }
  // Where controllers with a disk may be found: the seeds, and the voters of the newest record.
  std::vector<settings::Endpoint> contacts() const { return withVoters(seeds_); }

  const membership::Group& group() const { return group_; }
  const Replica& replica() const { return replica_; }
  const feed::Publisher& publisher() const { return publisher_; }
  const duties::Agent& duties() const { return duties_; }

 private:
  std::vector<settings::Endpoint> withVoters(std::vector<settings::Endpoint> seeds) const;
  ClusterView clusterView() const;
  void receiveUpdate(const schema::Update& update, base::TimePoint now);
  void checkLeadership(base::TimePoint now, net::Outbox& out);
  void poll(base::TimePoint now, net::Outbox& out);
  void considerLeavingGroup(base::TimePoint now, Effects& effects);
  void publishChanges(base::TimePoint now, Effects& effects);
  void publishState(Effects& effects);
  void passRecordToGroup(base::TimePoint now, Effects& effects);
  void handleMembershipEvents(Effects& effects);
  void keepWatermark(Effects& effects);
  bool receiveDutyMessage(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                          Effects& effects);
  void receiveLeaseRequest(const schema::LeaseRequest& request, const settings::Endpoint& from, base::TimePoint now,
                           Effects& effects);
  void tickDuties(base::TimePoint now, Effects& effects);
  void sendLeaseTable(base::TimePoint now, Effects& effects);
  void sendLeaseTableTo(const schema::Poll& poll, const settings::Endpoint& from, base::TimePoint now,
                        net::Outbox& out);
  duties::Agent::Surroundings dutySurroundings(base::TimePoint now);

  Self self_;
  std::vector<settings::Endpoint> seeds_;
  Options options_;
  membership::Group group_;
  Replica replica_;
  LeadershipCheck leadership_;
  feed::Publisher publisher_;
  feed::Subscriber stateSubscriber_, runnerSubscriber_;
  LeaseDesk leaseDesk_;
  usage::WindowClock windowClock_;
  duties::Agent duties_;
  lease::TableFeed controllerTables_, routerTables_;
  std::uint64_t tableSequence_ = 0;
  std::shared_ptr<const Configuration> configuration_;  // parsed, for duties alone
  schema::StateVersion configurationVersion_;
  std::uint64_t storedWatermark_ = 0, loggedEpoch_ = 0;
  bool shuttingDown_ = false, leftGroup_ = false;
  base::TimePoint shuttingDownSince_{}, leftGroupAt_{}, listReadAt_{};
};

}  // namespace indigohill::control
