#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/journal.hpp"
#include "control/controller.hpp"
#include "router/router_core.hpp"
#include "routing/table.hpp"

// One hollow daemon: the real core of a router or a controller, without sockets, disk or clock. All that this part
// knows of the cores' interfaces stands here; the rest sees ticks, messages and what comes out.
namespace indigohill::hollow {

// What a daemon does for the group. A controller that is no voter carries news as well as the voters that are not
// primary do. The reader of the platform's list is one of these besides, so it is told apart on its own.
#define INDIGOHILL_HOLLOW_ROLES(X) \
  X(Router, "router")              \
  X(Primary, "primary")            \
  X(Backup, "backup")              \
  X(Witness, "witness")            \
  X(Observer, "relay")             \
  X(DiscoveryLeader, "lister")

enum class Role {
#define INDIGOHILL_ROLE(name, text) name,
  INDIGOHILL_HOLLOW_ROLES(INDIGOHILL_ROLE)
#undef INDIGOHILL_ROLE
};
constexpr const char* kRoleNames[] = {
#define INDIGOHILL_ROLE(name, text) text,
    INDIGOHILL_HOLLOW_ROLES(INDIGOHILL_ROLE)
#undef INDIGOHILL_ROLE
};
constexpr std::size_t kRoles = std::size(kRoleNames);

// Names of messages by their index in schema::Message; the first is none.
constexpr const char* kKindNames[] = {"",
#define INDIGOHILL_KIND(number, name) #name,
                                      INDIGOHILL_MESSAGES(INDIGOHILL_KIND)
#undef INDIGOHILL_KIND
};
constexpr std::size_t kKinds = std::size(kKindNames);
static_assert(kKinds == std::variant_size_v<schema::Message>);

// Datagrams up to this many bytes; what is larger goes over a connection (net::Link).
constexpr std::size_t kDatagram = 8000;

struct Place {
  std::string name, zone;
  settings::Endpoint peerAddress, control;
  bool isController = false;
};

struct Output {
  net::Outbox out;
  std::vector<control::DiskWrite> writes;
  std::vector<control::Answer> answers;
};

class Daemon {
 public:
  using Disk = std::map<control::Slot, std::string>;

  // `first`: the very first start of the whole system. What is new on the disk is among the writes of `effects`.
  // `losses`: machines with a disk that may be lost at once.
  Daemon(const Place& place, const std::vector<Place>& seeds, const Disk& disk, bool first, std::size_t losses,
         std::uint64_t seed, base::TimePoint now, Output& effects);

  static base::Millis tickPeriod(bool isController);
  void tick(base::TimePoint now, Output& effects);
  void receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now, Output& effects);
  void onDiskWrite(std::uint64_t token, control::WriteOutcome outcome, base::TimePoint now, Output& effects);
  void replace(std::uint64_t call, std::uint64_t baseVersion, std::string document, base::TimePoint now,
               Output& effects);
  void update(std::uint64_t call, std::uint64_t baseVersion, std::string change, base::TimePoint now, Output& effects);
  bool isListReadDue(base::TimePoint now);
  void onListRead(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                  Output& effects);
  // Sends a notice of load to the other routers, as the executor does.
  void broadcast(const schema::LoadNotice& notice, Output& effects) const;

  Role role(base::TimePoint now) const;
  bool isDiscoveryLeader() const { return group().isDiscoveryLeader(); }
  bool isActivePrimary(base::TimePoint now) const { return controller_ && controller_->replica().active(now); }
  const membership::Group& group() const { return controller_ ? controller_->group() : router_->group(); }
  std::uint64_t revision() const;
  schema::StateVersion runnersVersion() const { return source().runnerList().version(); }

 private:
  const feed::Publisher& source() const { return controller_ ? controller_->publisher() : router_->publisher(); }
  void perform(control::Effects& output, Output& effects);
  void perform(router::RouterEffects& followed, base::TimePoint now, Output& effects);

  std::unique_ptr<control::Controller> controller_;
  std::unique_ptr<router::RouterCore> router_;
  std::unique_ptr<base::Journal<routing::Event, routing::RoutingSnapshot>> journal_;
  std::unique_ptr<routing::Table> table_;
};

}  // namespace indigohill::hollow
