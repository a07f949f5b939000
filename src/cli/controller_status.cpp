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
  if (const auto& r = replica.record()) {
    out["epoch"] = r->epoch;
    out["primary"] = r->primary;
    out["backups"] = boost::json::value_from(r->backups);
    out["voters"] = boost::json::value_from(r->voters);
  }
  if (const auto& f = source.state()) {
    out["revision"] = f->revision;
    out["evacuated"] = boost::json::value_from(f->evacuated);
    out["rollouts"] = boost::json::parse(rollout::status(f->rollouts, source.runners()));
  }
  out["runners"] = source.runners().size();
  out["lease"] = group.leaseHeld(now);
  if (const auto& v = group.view()) {
    out["view"] = v->number;
    out["lister"] = v->discoveryLeader;
    boost::json::array members;
    for (const auto& m : v->members)
      members.push_back({{"id", m.id}, {"zone", m.zone}, {"incarnation", m.incarnation}});
    out["members"] = std::move(members);
  }
  out["rejectedMessages"] = group.rejected();
  out["timesToldDead"] = group.expulsions();
  out["droppedMessages"] = droppedMessages;
  return boost::json::serialize(out);
}

}  // namespace indigohill::cli
