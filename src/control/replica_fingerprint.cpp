#include "base/fingerprint.hpp"
#include "control/replica.hpp"

// The fingerprint by which the model checker knows a replica's state again. Every member that a decision may rest on
// belongs here; times count by how long ago they are. Left out is the generator of random numbers: it draws ballots,
// tokens and patience alone, and those are put in where they are held.
namespace indigohill::control {

namespace {

constexpr base::Millis kHorizon{6000};  // longer than every time-out of the replica

void addOrder(base::Fingerprint& out, const QueuedOrder& queued, base::TimePoint now) {
  const auto& order = queued.order;
  out.add(order.call, order.kind, order.baseVersion, order.body, order.service, order.runners);
  out.age(queued.arrivedAt, now, kHorizon);
}

void addTimes(base::Fingerprint& out, const std::map<std::string, base::TimePoint>& times, base::TimePoint now) {
  out.add(times.size());
  for (const auto& [name, at] : times) {
    out.add(name);
    out.age(at, now, kHorizon);
  }
}

}  // namespace

void PendingAnswers::addTo(base::Fingerprint& out, base::TimePoint now) const {
  out.add(waiting_.size());
  for (const auto& waiting : waiting_) {
    addOrder(out, waiting.order, now);
    out.add(waiting.answer.status, waiting.answer.body, waiting.round);
  }
  out.add(confirmed_, round_);
  out.age(sentAt_, now, kHorizon);
}

std::uint64_t Replica::fingerprint(base::TimePoint now) const {
  base::Fingerprint out;
  const auto age = [&](base::TimePoint at) { out.age(at, now, kHorizon); };
  out.add(self_.voterId, record_, vote_, state_, published_, seenIn_);
  out.add(cluster_.controllers, cluster_.voters);
  age(cluster_.leaseUntil);
  for (const auto& [name, address] : lastAddress_) out.add(name, address.ip, address.port);
  addTimes(out, missingSince_, now);
  addTimes(out, firstSeen_, now);
  addTimes(out, silentAt_, now);
  addTimes(out, retiringAt_, now);
  out.add(phase_, candidacy_.has_value());
  if (candidacy_) {
    const auto& c = *candidacy_;
    out.add(c.target, c.value, c.ballot, c.bestBallot, c.installToken, c.sealToken, c.step, c.sealed);
    out.add(c.installed, c.promised, c.accepted, c.patience.count());
    age(c.startedAt);
    age(c.sentAt);
  }
  out.add(current_.has_value());
  if (current_) {
    out.add(current_->state, current_->token, current_->ownDone, current_->copied, current_->order.has_value());
    if (current_->order) addOrder(out, *current_->order, now);
    age(current_->startedAt);
    age(current_->sentAt);
  }
  out.add(orders_.size());
  for (const auto& queued : orders_) addOrder(out, queued, now);
  pendingAnswers_.addTo(out, now);
  out.add(replies_.size());
  for (const auto& [token, reply] : replies_) out.add(token, reply.to, reply.message);
  out.add(nextToken_, announcedVersion_);
  for (const auto at : {beatAt_, beatSentAt_, campaignAfter_, leaseSince_, primaryGoneAt_, activeSince_, spreadAt_,
                        announcedAt_, recordSentAt_, acceptedAt_})
    age(at);
  out.add(beatSeen_, transferRequested_, diskBad_, primaryGone_, retiringSelf_);
  return out.value();
}

}  // namespace indigohill::control
