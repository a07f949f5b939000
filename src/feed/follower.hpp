#pragma once
#include <string>
#include <vector>

#include "feed/publisher.hpp"
#include "membership/group.hpp"
#include "routing/table.hpp"

// All of a router's knowledge but its sockets: its place in the group and the news it follows. What comes out are the
// events that the router's picture is folded from.
namespace indigohill::feed {

struct FollowerEffects {
  net::Outbox out;
  std::vector<routing::Event> events;
  std::vector<std::string> notes;
  std::vector<schema::LoadNotice> demands;  // told by other routers
  std::vector<schema::HealthReport> suspicions;
};

class Follower {
 public:
  struct Self {
    std::string nodeName, zone;
    settings::Endpoint cohort;
  };

  Follower(Self self, std::vector<settings::Endpoint> seeds, membership::Times group, Times times,
           base::Millis drainBound, std::uint64_t seed, base::TimePoint startedAt);

  void tick(base::TimePoint now, FollowerEffects& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
               FollowerEffects& effects);
  // Tells the other routers of the view.
  void tell(const schema::Message& message, net::Outbox& out) const;
  // Tells one of them, by its incarnation.
  void tell(std::uint64_t to, const schema::Message& message, net::Outbox& out) const;
  void leave(FollowerEffects& effects);
  void setSeeds(std::vector<settings::Endpoint> seeds) { group_.setSeeds(std::move(seeds)); }

  // Without news for so long that a draining runner might be missed, the platform is asked directly.
  bool readingDue(base::TimePoint now);
  void listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, FollowerEffects& effects);

  // A configuration that was confirmed as the newest within this life, and runners to send to.
  bool informed() const {
    return subscriber_.everConfirmed() && publisher_.state() && publisher_.state()->revision > 0 &&
           publisher_.hasRunners() && !publisher_.digestMismatch();
  }
  // How long no controller has vouched for the configuration held here; nothing while that is usual.
  std::optional<base::Millis> staleFor(base::TimePoint now) const;
  const membership::Group& group() const { return group_; }
  const Publisher& source() const { return publisher_; }

 private:
  void noteStaleness(base::TimePoint now, FollowerEffects& effects);
  void take(const schema::Update& news, bool asked, base::TimePoint now, FollowerEffects& effects);
  void askForNews(base::TimePoint now, net::Outbox& out);
  void settle(FollowerEffects& effects);
  schema::StateVersion stateVersion() const {
    return publisher_.state() ? publisher_.state()->version : schema::StateVersion{};
  }

  Self self_;
  base::Millis drainBound_;
  std::uint64_t seed_;
  membership::Group group_;
  Publisher publisher_;
  Subscriber subscriber_;
  routing::Routers proposed_;
  Times times_;
  bool staleNoted_ = false;
  base::TimePoint startedAt_, readAt_{};
};

}  // namespace indigohill::feed
