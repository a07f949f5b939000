#include "cli/controller_status.hpp"

#include <boost/json.hpp>

#include "rollout/orders.hpp"

namespace indigohill::cli {

namespace {

// Who performs duties at the platform, as this controller knows it.
boost::json::object dutyStatus(const duties::Agent& agent, base::TimePoint now) {
  boost::json::object out;
  out["tableAgeMs"] = agent.tableAt() ? base::toMs(now - *agent.tableAt()) : -1;
  boost::json::array leases;
  for (const auto& lease : agent.table().leases)
    leases.push_back({{"duty", lease::nameOf(static_cast<lease::Duty>(lease.duty))},
                      {"subject", lease.subject},
                      {"holder", lease.holder},
                      {"attempt", lease.attempt},
                      {"remainingMs", lease.remainingMs},
                      {"here", agent.isHolder(lease::subjectOf(lease), now)}});
  out["leases"] = std::move(leases);
  out["usageDelivered"] = agent.usageDelivered();
  if (const auto& last = agent.lastCall())
    out["lastCall"] = {{"path", last->call.path},
                       {"fence", last->call.fence},
                       {"outcome", last->outcome ? duties::nameOf(*last->outcome) : "under way"},
                       {"agoMs", base::toMs(now - last->at)}};
  return out;
}

boost::json::object tallyStatus(const tally::Replica& tallies, base::TimePoint now) {
  return {{"replica", tallies.name()},
          {"caughtUp", tallies.hasCaughtUp()},
          {"apart", tallies.isApart()},
          {"apartMs", base::toMs(tallies.apartFor(now))},
          {"reachable", tallies.reachablePeers()},
          {"down", tallies.downPeers()},
          {"unmerged", tallies.unmerged()},
          {"tallies", tallies.ledger().tallies()},
          {"remembered", tallies.ledger().remembered()}};
}

}  // namespace

std::string controllerStatus(const control::Controller& core, const tally::Replica* tallies,
                             std::uint64_t droppedMessages, base::TimePoint now) {
  const auto& replica = core.replica();
  const auto& source = core.publisher();
  const auto& group = core.group();
  boost::json::object out;
  out["voter"] = replica.voterId();
  out["active"] = replica.active(now);
  if (const auto& record = replica.record()) {
    out["epoch"] = record->epoch;
    out["primary"] = record->primary;
    out["backups"] = boost::json::value_from(record->backups);
    out["voters"] = boost::json::value_from(record->voters);
  }
  if (const auto& state = source.state()) {
    out["revision"] = state->revision;
    out["evacuated"] = boost::json::value_from(state->evacuated);
    out["rollouts"] = boost::json::parse(rollout::status(state->rollouts, source.runners()));
  }
  out["runners"] = source.runners().size();
  out["lease"] = group.leaseHeld(now);
  if (const auto& view = group.view()) {
    out["view"] = view->number;
    out["lister"] = view->discoveryLeader;
    boost::json::array members;
    for (const auto& member : view->members)
      members.push_back({{"id", member.id}, {"zone", member.zone}, {"incarnation", member.incarnation}});
    out["members"] = std::move(members);
  }
  if (core.duties().isEnabled()) out["duties"] = dutyStatus(core.duties(), now);
  if (tallies != nullptr) out["tallies"] = tallyStatus(*tallies, now);
  out["rejectedMessages"] = group.rejected();
  out["timesToldDead"] = group.expulsions();
  out["droppedMessages"] = droppedMessages;
  return boost::json::serialize(out);
}

}  // namespace indigohill::cli
