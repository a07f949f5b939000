#pragma once
#include <string>
#include <vector>

#include "control/identity.hpp"
#include "control/leadership_check.hpp"
#include "control/replica.hpp"
#include "feed/publisher.hpp"
#include "membership/group.hpp"

// All of a controller but its sockets and its disk: the group, the control state and the news, put together. The
// daemon drives it with real time and real messages, the simulator with its own.
namespace indigohill::control {

class Controller {
 public:
  struct Self {
    std::string nodeName, zone;
    settings::Endpoint cohort;
  };
  struct Tuning {
    membership::Times group;
    ReplicaTimes replica;
    feed::Times feed;
    std::size_t faultTolerance = 1;  // machines that may be lost at once with their disks
    base::Millis listPeriod{500}, grace{8000};
  };

  Controller(Self self, Identity identity, std::vector<settings::Endpoint> seeds, Tuning tuning, std::uint64_t seed);

  void tick(base::TimePoint now, Effects& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Effects& effects);
  void onDiskWrite(std::uint64_t token, bool ok, base::TimePoint now, Effects& effects);
  void submit(Order order, base::TimePoint now, Effects& effects);
  // The caller has gone: its order is dropped if it has not been begun.
  void cancel(std::uint64_t call) { replica_.cancel(call); }
  void setSeeds(std::vector<settings::Endpoint> seeds);

  // The duty of reading the platform's list: whether it is due here, and what came of it.
  bool readingDue(base::TimePoint now);
  void setListPeriod(base::Millis period) { tuning_.listPeriod = period; }
  void listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now, Effects& effects);

  // Leaves in order; `left` says when the process may end. A member that votes or holds a copy stays until others have
  // taken its place, for at most half of the grace period.
  void leave(base::TimePoint now, Effects& effects);
  bool left(base::TimePoint now) const;

  const membership::Group& group() const { return group_; }
  const Replica& replica() const { return replica_; }
  const feed::Publisher& source() const { return publisher_; }

 private:
  std::vector<settings::Endpoint> known(std::vector<settings::Endpoint> seeds) const;
  ClusterView around() const;
  void receiveUpdate(const schema::Update& update, base::TimePoint now);
  void checkLeadership(base::TimePoint now, net::Outbox& out);
  void askForNews(base::TimePoint now, net::Outbox& out);
  void considerLeaving(base::TimePoint now, Effects& effects);
  void settle(base::TimePoint now, Effects& effects);
  schema::StateVersion stateVersion() const {
    return publisher_.state() ? publisher_.state()->version : schema::StateVersion{};
  }

  Self self_;
  Tuning tuning_;
  membership::Group group_;
  Replica replica_;
  LeadershipCheck leadership_;
  feed::Publisher publisher_;
  feed::Subscriber stateSubscriber_, runnerSubscriber_;
  std::uint64_t watermarkKept_ = 0, notedEpoch_ = 0;
  bool leaving_ = false, leftGroup_ = false;
  base::TimePoint leavingSince_{}, leftAt_{}, readAt_{};
};

}  // namespace indigohill::control
