// The part of Controller that concerns duties: requests for leases come in, the lease table goes out, and its own agent
// takes part in the election.
#include <iterator>

#include "base/lists.hpp"
#include "control/controller.hpp"

namespace indigohill::control {

namespace {

// A controller that keeps state on disk and does not lead is wanted most as a holder: it carries no traffic, and its
// loss costs no primary besides. In heartbeats of the lease.
constexpr int kObserverDelay = 3, kPrimaryDelay = 6;

}  // namespace

bool Controller::receiveDutyMessage(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                                    Effects& effects) {
  if (const auto* request = std::get_if<schema::LeaseRequest>(&message)) {
    receiveLeaseRequest(*request, from, now, effects);
    return true;
  }
  if (const auto* reply = std::get_if<schema::LeaseReply>(&message); reply != nullptr && reply->replyTo.port != 0) {
    auto passedBack = *reply;
    passedBack.replyTo = {};
    effects.out.push_back({duties::endpointOf(reply->replyTo), std::move(passedBack)});
    return true;
  }
  if (const auto* ack = std::get_if<schema::UsageAck>(&message)) {
    effects.out.push_back({duties::endpointOf(ack->origin), *ack});
    return true;
  }
  duties::AgentEffects made;
  const bool taken = duties_.receive(message, from, now, made);
  duties::append(std::move(made), effects);
  return taken;
}

// A request that came to a controller that does not lead goes on to the primary, once.
void Controller::receiveLeaseRequest(const schema::LeaseRequest& request, const settings::Endpoint& from,
                                     base::TimePoint now, Effects& effects) {
  const auto primary = replica_.primaryAddress();
  if (primary && *primary != self_.address && request.replyTo.port == 0) {
    auto passedOn = request;
    passedOn.replyTo = {from.ip, from.port};
    effects.out.push_back({*primary, std::move(passedOn)});
    return;
  }
  replica_.submit(leaseDesk_.take(request, from, now), now, effects);
}

void Controller::tickDuties(base::TimePoint now, Effects& effects) {
  if (!options_.duties.options.isEnabled()) return;
  leaseDesk_.expire(now);
  sendLeaseTable(now, effects);
  duties::AgentEffects made;
  duties_.tick(dutySurroundings(now), now, made);
  duties::append(std::move(made), effects);
}

// The primary tells all controllers, itself among them. Before the first lease there is an empty table.
void Controller::sendLeaseTable(base::TimePoint now, Effects& effects) {
  if (!replica_.active(now) || !group_.view()) return;
  auto table = replica_.leaseTable(now).value_or(schema::LeaseTable{replica_.record()->epoch, 0, {}});
  table.sequence = ++tableSequence_;
  duties::AgentEffects made;
  duties_.receive(table, self_.address, now, made);
  duties::append(std::move(made), effects);
  for (const auto& member : group_.view()->members) {
    const auto address = membership::addressOf(member);
    if (!membership::isController(member) || address == self_.address) continue;
    if (controllerTables_.take(address, table, now)) effects.out.push_back({address, table});
  }
  routerTables_.forgetSilent(now);
}

// Routers learn of holders with the answers to their polls.
void Controller::sendLeaseTableTo(const schema::Poll& poll, const settings::Endpoint& from, base::TimePoint now,
                                  net::Outbox& out) {
  const bool fromRouter = poll.state != feed::kNothingWanted && poll.runners != feed::kNothingWanted;
  const auto& table = duties_.table();
  if (!fromRouter || table.epoch == 0) return;
  if (routerTables_.take(from, table, now)) out.push_back({from, table});
}

duties::Agent::Surroundings Controller::dutySurroundings(base::TimePoint now) {
  duties::Agent::Surroundings out;
  if (const auto primary = replica_.primaryAddress()) out.stores.push_back(*primary);
  if (group_.view()) {
    out.view = &*group_.view();
    for (const auto& member : group_.view()->members) {
      const auto address = membership::addressOf(member);
      if (membership::isController(member) && !base::contains(out.stores, address)) out.stores.push_back(address);
    }
  }
  if (const auto& state = publisher_.state(); state && configurationVersion_ != state->version) {
    configurationVersion_ = state->version;
    auto parsed = parseStoredConfiguration(state->document);
    configuration_.reset();
    if (base::errorIn(parsed) == nullptr)
      configuration_ = std::make_shared<const Configuration>(std::get<0>(std::move(parsed)));
  }
  out.configuration = configuration_;
  if (publisher_.runnerList().isKnown()) out.runners = &publisher_.runners();
  const int heartbeats = replica_.active(now) ? kPrimaryDelay : replica_.voterId().empty() ? kObserverDelay : 0;
  out.claimDelay = heartbeats * options_.duties.options.lease.heartbeat;
  return out;
}

void Controller::onCallEnded(std::uint64_t id, duties::CallOutcome outcome, base::TimePoint now, Effects& effects) {
  duties::AgentEffects made;
  duties_.onCallEnded(id, outcome, now, made);
  duties::append(std::move(made), effects);
}

}  // namespace indigohill::control
