#include "cli/controller_status.hpp"

#include <boost/json.hpp>

#include "rollout/orders.hpp"

namespace indigohill::cli {

std::string controllerStatus(const control::Controller& core, std::uint64_t droppedMessages, base::TimePoint now) {
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
  out["rejectedMessages"] = group.rejected();
  out["timesToldDead"] = group.expulsions();
  out["droppedMessages"] = droppedMessages;
  return boost::json::serialize(out);
}

}  // namespace indigohill::cli
