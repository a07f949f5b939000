#include "base/fingerprint.hpp"
#include "control/replica.hpp"

// The fingerprint by which the model checker knows a replica's state again. Every member that a decision may rest on
// belongs here; times count by how long ago they are. Left out is the generator of random numbers: it draws ballots,
// tokens and patience alone, and those are put in where they are held.
namespace indigohill::control {

namespace {

constexpr base::Millis kHorizon{6000};  // longer than every time-out of the replica

void addOrder(base::Fingerprint& out, const Order& order) {
  out& order.call& order.kind& order.baseVersion& order.body& order.service& order.runners;
}

}  // namespace

std::uint64_t Replica::fingerprint(base::TimePoint now) const {
  base::Fingerprint out;
  const auto age = [&](base::TimePoint at) { out.age(at, now, kHorizon); };
  const auto ages = [&](const std::map<std::string, base::TimePoint>& times) {
    out& times.size();
    for (const auto& [name, at] : times) {
      out& name;
      age(at);
    }
  };
  out& self_.voterId& record_& vote_& state_& published_& seenIn_;
  out& cluster_.controllers& cluster_.voters& cluster_.lease;
  for (const auto& [name, address] : lastAddress_) out& name& address.ip& address.port;
  ages(missingSince_);
  ages(silentAt_);
  out& phase_& candidacy_.has_value();
  if (candidacy_) {
    const auto& c = *candidacy_;
    out& c.target& c.value& c.ballot& c.bestBallot& c.installToken& c.sealToken& c.step& c.sealed;
    out& c.installed& c.promised& c.accepted& c.patience.count();
    age(c.startedAt);
    age(c.sentAt);
  }
  out& current_.has_value();
  if (current_) {
    const auto& w = *current_;
    out& w.state& w.token& w.ownDone& w.copied& w.order.has_value();
    if (w.order) addOrder(out, *w.order);
    age(w.startedAt);
    age(w.sentAt);
  }
  out& orders_.size();
  for (const auto& [order, at] : orders_) {
    addOrder(out, order);
    age(at);
  }
  out& readings_.size();
  for (const auto& reading : readings_) {
    addOrder(out, reading.order);
    out& reading.token& reading.confirmed;
    age(reading.startedAt);
    age(reading.sentAt);
  }
  out& replies_.size();
  for (const auto& [token, reply] : replies_) out& token& reply.to& reply.message;
  out& nextToken_& announcedVersion_;
  for (const auto at : {beatAt_, beatSentAt_, campaignAfter_, leaseSince_, primaryGoneAt_, activeSince_, spreadAt_})
    age(at);
  out& beatSeen_& transferRequested_& diskBad_& primaryGone_;
  return out.value();
}

}  // namespace indigohill::control
