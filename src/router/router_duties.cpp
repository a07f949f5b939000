// The part of RouterCore that concerns duties: what this router has counted goes to the holder of the usage lease, and
// its own agent takes part in the election.
#include <iterator>

#include "router/router_core.hpp"

namespace indigohill::router {

namespace {

// A router carries traffic on a small machine: it claims only what no controller does. In heartbeats of the lease.
constexpr int kRouterClaimDelay = 12;

}  // namespace

void RouterCore::addUsage(const std::vector<schema::UsageEntry>& counts, std::vector<schema::ServiceLoad> loads) {
  if (!dutyOptions_.isEnabled()) return;
  reporter_.add(counts);
  reporter_.setLoads(std::move(loads));
}

bool RouterCore::receiveDutyMessage(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                                    RouterEffects& effects) {
  if (const auto* ack = std::get_if<schema::UsageAck>(&message)) {
    if (reporter_.receive(*ack, now)) windowClock_.correct(now, ack->unixMs);
    return true;
  }
  duties::AgentEffects made;
  const bool taken = duties_.receive(message, from, now, made);
  duties::append(std::move(made), effects);
  return taken;
}

void RouterCore::tickDuties(base::TimePoint now, RouterEffects& effects) {
  if (!dutyOptions_.isEnabled()) return;
  const auto controllers = pollTargets();
  usage::Reporter::Present present;
  present.window = windowClock_.windowAt(now);
  present.unixMs = windowClock_.unixMs(now);
  present.relays = controllers;
  if (const auto holder = duties_.usageHolder())
    present.holder = {{holder->address.ip, holder->address.port}, holder->attempt};
  reporter_.tick(present, now, effects.out);

  duties::Agent::Surroundings around;
  around.stores = controllers;
  if (group_.view()) around.view = &*group_.view();
  around.configuration = configuration_;
  if (publisher_.runnerList().isKnown()) around.runners = &publisher_.runnerList().runners();
  around.claimDelay = kRouterClaimDelay * dutyOptions_.lease.heartbeat;
  duties::AgentEffects made;
  duties_.tick(around, now, made);
  duties::append(std::move(made), effects);
}

void RouterCore::onCallEnded(std::uint64_t id, duties::CallOutcome outcome, base::TimePoint now,
                             RouterEffects& effects) {
  duties::AgentEffects made;
  duties_.onCallEnded(id, outcome, now, made);
  duties::append(std::move(made), effects);
}

}  // namespace indigohill::router
