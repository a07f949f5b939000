#include "metrics/controller_metrics.hpp"

#include "metrics/common_metrics.hpp"

namespace indigohill::metrics {

namespace {

void addTallies(Exposition& out, const tally::Replica& tallies, base::TimePoint now) {
  const auto& ledger = tallies.ledger();
  const auto& counts = tallies.counts();
  out.add(Family::gauge("tallies", "Tallies that are known here.").with(static_cast<double>(ledger.tallies())));
  out.add(Family::gauge("tally_ids_remembered", "Adds whose ids are remembered here.")
              .with(static_cast<double>(ledger.remembered())));
  out.add(Family::gauge("tally_peers_reachable", "Other replicas of the tallies that are in reach.")
              .with(static_cast<double>(tallies.reachablePeers())));
  out.add(Family::gauge("tally_peers_down", "Other replicas that are silent although their zone is in touch.")
              .with(static_cast<double>(tallies.downPeers())));
  out.add(Family::gauge("tally_adds_unmerged", "Adds on this disk that some replica is not known to have.")
              .with(static_cast<double>(tallies.unmerged())));
  out.add(Family::gauge("tally_apart_seconds",
                        "For how long fewer disks have been in reach than an add is to be kept on; 0: they are.")
              .with(base::seconds(tallies.apartFor(now))));
  out.add(Family::gauge("tally_caught_up", "1 if this replica answers reads.").with(tallies.hasCaughtUp() ? 1 : 0));
  auto adds = Family::counter("tally_adds_total", "Calls that add, by what they were answered.");
  adds.add(static_cast<double>(counts.counted), {{"result", "counted"}});
  adds.add(static_cast<double>(counts.notDone), {{"result", "not_done"}});
  adds.add(static_cast<double>(counts.mayBeCounted), {{"result", "may_be_counted"}});
  out.add(std::move(adds));
  out.add(Family::counter("tally_adds_sent_total", "Adds that were sent to other replicas.")
              .with(static_cast<double>(counts.addsSent)));
}

}  // namespace

std::string controllerMetrics(const control::Controller& core, const tally::Replica* tallies,
                              std::uint64_t droppedMessages, base::TimePoint now) {
  Exposition out;
  addProcess(out, droppedMessages);
  addGroup(out, core.group(), now);
  addUpdates(out, core.publisher(), now);
  const auto& replica = core.replica();
  out.add(Family::gauge("epoch", "Newest epoch that is known here to be decided; 0: none.")
              .with(replica.record() ? static_cast<double>(replica.record()->epoch) : 0));
  out.add(Family::gauge("primary", "1 if this controller is primary and may acknowledge orders.")
              .with(replica.active(now) ? 1 : 0));
  out.add(
      Family::gauge("voter", "1 if this controller votes on epoch records.").with(replica.voterId().empty() ? 0 : 1));
  out.add(Family::gauge("discovery_leader", "1 if this controller reads the platform's list of runners.")
              .with(core.group().isDiscoveryLeader() ? 1 : 0));
  if (core.duties().isEnabled()) addDuties(out, core.duties(), now);
  if (tallies != nullptr) addTallies(out, *tallies, now);
  return out.text();
}

}  // namespace indigohill::metrics
