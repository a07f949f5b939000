#include "lease/duty_loop.hpp"

#include <algorithm>

#include "base/fingerprint.hpp"
#include "base/invariant.hpp"

namespace indigohill::lease {

using base::Millis;

namespace {

base::Invariant attemptsOnlyRise("lease_attempts_only_rise",
                                 "No later lease table shows an older attempt of a subject, or another holder of the "
                                 "same attempt.");

schema::LeaseOperation operation(OperationKind kind, const Subject& subject, std::uint64_t attempt,
                                 std::uint64_t token) {
  return {static_cast<std::uint8_t>(kind), static_cast<std::uint8_t>(subject.duty), subject.name, attempt, token};
}

}  // namespace

DutyLoop::DutyLoop(Self self, Times times, std::uint64_t seed)
    : self_(std::move(self)), times_(times), random_(seed), call_(seed << 16) {}

const schema::LeaseSummary* DutyLoop::summary(const Subject& subject) const {
  for (const auto& lease : table_.leases)
    if (subjectOf(lease) == subject) return &lease;
  return nullptr;
}

std::optional<DutyLoop::OwnLease> DutyLoop::ownLease(const Subject& subject) const {
  const auto found = ownLeases_.find(subject);
  if (found == ownLeases_.end() || found->second.releasing) return std::nullopt;
  return OwnLease{found->second.attempt, found->second.until};
}

bool DutyLoop::mayPerform(const Subject& subject, base::TimePoint now) const {
  const auto own = ownLease(subject);
  return own && now < own->until;
}

bool DutyLoop::onTable(const schema::LeaseTable& table, base::TimePoint) {
  if (std::pair(table.epoch, table.sequence) <= std::pair(table_.epoch, table_.sequence)) return false;
  checkAttempts(table);
  table_ = table;
  // Somebody else's attempt followed: the request that would have been refused need not be waited for.
  std::vector<Subject> lost;
  for (const auto& [subject, own] : ownLeases_)
    if (const auto* lease = summary(subject); lease != nullptr && lease->attempt > own.attempt) lost.push_back(subject);
  for (const auto& subject : lost) lose(subject);
  return true;
}

void DutyLoop::checkAttempts(const schema::LeaseTable& next) const {
  for (const auto& lease : next.leases) {
    const auto* before = summary(subjectOf(lease));
    if (before == nullptr) continue;
    const bool rises =
        lease.attempt > before->attempt || (lease.attempt == before->attempt && lease.holder == before->holder);
    attemptsOnlyRise.check(rises, [&](base::LogEvent event) {
      return std::move(event)
          .with("subject", lease.subject)
          .with("before", before->attempt)
          .with("holderBefore", before->holder)
          .with("attempt", lease.attempt)
          .with("holder", lease.holder);
    });
  }
}

// Whether the table shows that nobody has the lease. Without a table nothing is known.
bool DutyLoop::isFree(const Subject& subject) const {
  if (table_.epoch == 0) return false;
  const auto* lease = summary(subject);
  return lease == nullptr || lease->remainingMs == 0;
}

Millis DutyLoop::drawCheckDelay() {
  const auto heartbeat = times_.heartbeat.count();
  return Millis(heartbeat + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(heartbeat + 1)));
}

void DutyLoop::considerClaims(base::TimePoint now) {
  std::erase_if(notBefore_, [&](const auto& entry) { return now >= entry.second; });
  for (const auto& subject : wanted_) {
    if (ownLeases_.contains(subject) || claims_.contains(subject)) continue;
    if (stopping_ || notBefore_.contains(subject) || !isFree(subject)) {
      claimAt_.erase(subject);
      continue;
    }
    const auto [at, isNew] = claimAt_.try_emplace(subject, now);
    if (isNew) at->second = now + claimDelay_ + drawCheckDelay();
    if (now < at->second) continue;
    const auto* lease = summary(subject);
    // A daemon that claims one subject takes what else is free along: duties performed together cost one heartbeat.
    for (auto& [other, when] : claimAt_) when = std::min(when, now);
    claims_[subject] = {random_(), lease == nullptr ? 0 : lease->attempt, {}, false};
  }
  std::erase_if(claimAt_, [&](const auto& entry) { return claims_.contains(entry.first); });
}

// A holder whose time has run out must not perform its duty, but the lease is still its own until another claims it.
void DutyLoop::noteExpiries(base::TimePoint now) {
  for (auto& [subject, own] : ownLeases_) {
    if (now < own.until || own.lostReported || own.releasing) continue;
    own.lostReported = true;
    events_.push_back({Event::Kind::Lost, subject, own.attempt});
  }
  for (auto& [subject, own] : ownLeases_)
    if (stopping_ || !wanted_.contains(subject)) own.releasing = true;
}

std::optional<schema::LeaseRequest> DutyLoop::nextRequest(base::TimePoint now) {
  noteExpiries(now);
  considerClaims(now);
  considerClaims(now);  // what was taken along
  if (sent_ && now - sent_->at < times_.resend) return std::nullopt;
  const bool heartbeatDue = !ownLeases_.empty() && now - heartbeatAt_ >= times_.heartbeat;
  const bool releaseDue =
      std::any_of(ownLeases_.begin(), ownLeases_.end(), [](const auto& entry) { return entry.second.releasing; });
  const bool reportDue = report_ && mayPerform({Duty::Usage, {}}, now);
  if (!heartbeatDue && !releaseDue && !reportDue && claims_.empty()) return std::nullopt;
  auto request = build(now);
  sent_ = Sent{request, now};
  return request;
}

schema::LeaseRequest DutyLoop::build(base::TimePoint now) {
  schema::LeaseRequest request;
  request.call = ++call_;
  request.holder = self_.holder;
  request.holderAddress = {self_.address.ip, self_.address.port};
  request.usageDelivered = usageDelivered_;
  heartbeatAt_ = now;
  for (const auto& [subject, own] : ownLeases_)
    request.operations.push_back(
        operation(own.releasing ? OperationKind::Release : OperationKind::Heartbeat, subject, own.attempt, own.token));
  for (auto& [subject, claim] : claims_) {
    if (!claim.sent) claim.firstSentAt = now;
    claim.sent = true;
    request.operations.push_back(operation(OperationKind::Claim, subject, claim.attempt, claim.token));
  }
  const Subject usage{Duty::Usage, {}};
  if (report_ && mayPerform(usage, now)) {
    const auto& own = ownLeases_.at(usage);
    request.operations.push_back(operation(OperationKind::FixReport, usage, own.attempt, own.token));
    request.report = {*report_};
  }
  return request;
}

bool DutyLoop::onReply(const schema::LeaseReply& reply, base::TimePoint now) {
  if (!sent_ || reply.call != sent_->request.call) return false;
  const auto sent = *std::exchange(sent_, std::nullopt);
  if (!reply.judged || reply.results.size() != sent.request.operations.size()) return false;
  for (std::size_t i = 0; i < reply.results.size(); ++i)
    apply(sent.request.operations[i], reply.results[i], sent.at, now);
  if (!sent.request.report.empty() && report_ == sent.request.report.front()) report_.reset();
  return true;
}

void DutyLoop::apply(const schema::LeaseOperation& operation, const schema::LeaseResult& result, base::TimePoint sentAt,
                     base::TimePoint now) {
  const auto subject = subjectOf(operation);
  const auto outcome = static_cast<Outcome>(result.outcome);
  const auto own = ownLeases_.find(subject);
  const bool isOwn = own != ownLeases_.end() && own->second.token == operation.token;
  switch (static_cast<OperationKind>(operation.kind)) {
    case OperationKind::Claim: {
      const auto claim = claims_.find(subject);
      if (claim == claims_.end() || claim->second.token != operation.token) return;
      const auto until = claim->second.firstSentAt + times_.length - times_.margin;
      claims_.erase(claim);
      if (outcome != Outcome::Won) {
        // Found taken, or barred: looked at again no sooner than that ends.
        notBefore_[subject] = now + Millis(result.remainingMs);
        return;
      }
      ownLeases_[subject] = {result.attempt, operation.token, until, false, false};
      events_.push_back({Event::Kind::Won, subject, result.attempt});
      return;
    }
    case OperationKind::Heartbeat:
      if (!isOwn) return;
      if (outcome != Outcome::Renewed) {
        lose(subject);
        return;
      }
      own->second.until = std::max(own->second.until, sentAt + times_.length - times_.margin);
      if (own->second.lostReported && now < own->second.until) {
        own->second.lostReported = false;
        events_.push_back({Event::Kind::Won, subject, own->second.attempt});
      }
      return;
    case OperationKind::Release:
      if (isOwn) ownLeases_.erase(own);
      return;
    case OperationKind::FixReport:
      if (isOwn && outcome == Outcome::Refused) lose(subject);
      return;
  }
}

void DutyLoop::lose(const Subject& subject) {
  const auto found = ownLeases_.find(subject);
  if (found == ownLeases_.end()) return;
  if (!found->second.lostReported && !found->second.releasing)
    events_.push_back({Event::Kind::Lost, subject, found->second.attempt});
  ownLeases_.erase(found);
}

void DutyLoop::addTo(base::Fingerprint& out, base::TimePoint now, Millis horizon) const {
  out.add(wanted_.size(), table_, stopping_, report_, usageDelivered_, sent_.has_value());
  if (sent_) {
    out.add(sent_->request);
    out.age(sent_->at, now, horizon);
  }
  for (const auto& [subject, at] : claimAt_) {
    out.add(subject.duty, subject.name);
    out.age(at, now, horizon);
  }
  for (const auto& [subject, at] : notBefore_) {
    out.add(subject.duty, subject.name);
    out.age(at, now, horizon);
  }
  for (const auto& [subject, claim] : claims_) {
    out.add(subject.duty, subject.name, claim.token, claim.attempt, claim.sent);
    out.age(claim.firstSentAt, now, horizon);
  }
  for (const auto& [subject, own] : ownLeases_) {
    out.add(subject.duty, subject.name, own.attempt, own.token, own.releasing, own.lostReported);
    out.age(own.until, now, horizon);
  }
  out.age(heartbeatAt_, now, horizon);
}

}  // namespace indigohill::lease
