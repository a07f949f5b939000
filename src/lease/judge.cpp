#include "lease/judge.hpp"

#include <algorithm>

#include "base/lists.hpp"

namespace indigohill::lease {

namespace {

constexpr std::size_t kFormerHoldersKept = 4;
constexpr std::size_t kReportsKept = 64;  // fixed and not delivered: what a platform that is down may fall behind

OperationKind kindOf(const schema::LeaseOperation& operation) { return static_cast<OperationKind>(operation.kind); }

// One request that is being judged.
class Judge {
 public:
  Judge(const schema::LeaseRequest& request, const schema::DutyState& duties, StoreClock& clock, base::TimePoint now)
      : request_(request), duties_(duties), clock_(clock), now_(now) {}

  Judgement run() {
    Judgement out;
    out.reply.call = request_.call;
    out.reply.replyTo = request_.replyTo;
    out.reply.judged = true;
    for (const auto& operation : request_.operations) out.reply.results.push_back(judgeOne(operation));
    // A holder learns them when it claims and when it fixes one; heartbeats come far more often.
    if (!isRenewalOnly(request_)) out.reply.reports = duties_.usageReports;
    out.reply.usageDelivered = duties_.usageDelivered;
    if (changed_) {
      ++duties_.sequence;
      out.next = std::move(duties_);
    }
    return out;
  }

 private:
  schema::LeaseResult judgeOne(const schema::LeaseOperation& operation) {
    auto* record = find(subjectOf(operation));
    schema::LeaseResult result;
    result.duty = operation.duty;
    result.subject = operation.subject;
    result.outcome = static_cast<std::uint8_t>(apply(operation, record, result));
    record = find(subjectOf(operation));
    if (record != nullptr) result.attempt = record->attempt;
    return result;
  }

  Outcome apply(const schema::LeaseOperation& operation, schema::LeaseRecord* record, schema::LeaseResult& result) {
    switch (kindOf(operation)) {
      case OperationKind::Claim:
        return claim(operation, record, result);
      case OperationKind::Heartbeat:
        return renew(operation, record);
      case OperationKind::Release:
        return release(operation, record);
      case OperationKind::FixReport:
        return fixReport(operation, record);
    }
    return Outcome::Refused;
  }

  schema::LeaseRecord* find(const Subject& subject) {
    for (auto& record : duties_.leases)
      if (subjectOf(record) == subject) return &record;
    return nullptr;
  }

  static bool isRunning(const schema::LeaseRecord& record) {
    return static_cast<Status>(record.status) == Status::Running;
  }
  // Whether the operation bears the token of the running attempt. A released lease stays released.
  static bool hasToken(const schema::LeaseOperation& operation, const schema::LeaseRecord* record) {
    return record != nullptr && record->token == operation.token && isRunning(*record);
  }

  Outcome claim(const schema::LeaseOperation& operation, schema::LeaseRecord* record, schema::LeaseResult& result) {
    const auto subject = subjectOf(operation);
    // The same claim again: its answer was lost.
    if (hasToken(operation, record)) return Outcome::Won;
    const auto wait = record == nullptr ? base::Millis(0) : clock_.remaining(*record, now_);
    const auto barred = clock_.barredFor(subject, request_.holder, now_);
    const bool overtaken = record != nullptr && record->attempt != operation.attempt;
    if (overtaken || wait.count() > 0 || barred.count() > 0) {
      result.remainingMs = static_cast<std::uint32_t>(std::max(wait, barred).count());
      return Outcome::Running;
    }
    if (record == nullptr) {
      duties_.leases.push_back({operation.duty, operation.subject, 0, 0, {}, {}, 0, false, {}});
      record = &duties_.leases.back();
    }
    startAttempt(operation, *record);
    clock_.grant(subject, now_);
    changed_ = true;
    return Outcome::Won;
  }

  void startAttempt(const schema::LeaseOperation& operation, schema::LeaseRecord& record) {
    if (!record.holder.empty() && record.holder != request_.holder) {
      clock_.onLost(subjectOf(record), record.holder, now_);
      auto& former = record.formerHolders;
      std::erase(former, record.holder);
      former.insert(former.begin(), record.holder);
      if (former.size() > kFormerHoldersKept) former.resize(kFormerHoldersKept);
    }
    ++record.attempt;
    record.token = operation.token;
    record.holder = request_.holder;
    record.address = request_.holderAddress;
    record.status = static_cast<std::uint8_t>(Status::Running);
    record.handedOver = false;
  }

  // A lease that has run out and that nobody has claimed is still the holder's.
  Outcome renew(const schema::LeaseOperation& operation, const schema::LeaseRecord* record) {
    if (!hasToken(operation, record)) return Outcome::Refused;
    clock_.grant(subjectOf(operation), now_);
    return Outcome::Renewed;
  }

  Outcome release(const schema::LeaseOperation& operation, schema::LeaseRecord* record) {
    if (record == nullptr || record->token != operation.token) return Outcome::Refused;
    if (!isRunning(*record)) return Outcome::Released;
    record->status = static_cast<std::uint8_t>(Status::Interrupted);
    record->handedOver = true;
    changed_ = true;
    return Outcome::Released;
  }

  Outcome fixReport(const schema::LeaseOperation& operation, const schema::LeaseRecord* record) {
    if (!hasToken(operation, record) || request_.report.empty()) return Outcome::Refused;
    forgetDelivered();
    const auto& report = request_.report.front();
    const bool isFixed = std::any_of(duties_.usageReports.begin(), duties_.usageReports.end(),
                                     [&](const auto& fixed) { return fixed.windowId == report.windowId; });
    if (isFixed || report.windowId <= duties_.usageDelivered) return Outcome::Fixed;
    if (duties_.usageReports.size() >= kReportsKept) duties_.usageReports.erase(duties_.usageReports.begin());
    duties_.usageReports.push_back(report);
    changed_ = true;
    return Outcome::Fixed;
  }

  void forgetDelivered() {
    if (request_.usageDelivered <= duties_.usageDelivered) return;
    duties_.usageDelivered = request_.usageDelivered;
    std::erase_if(duties_.usageReports, [&](const auto& report) { return report.windowId <= duties_.usageDelivered; });
    changed_ = true;
  }

  const schema::LeaseRequest& request_;
  schema::DutyState duties_;
  StoreClock& clock_;
  base::TimePoint now_;
  bool changed_ = false;
};

}  // namespace

bool isRenewalOnly(const schema::LeaseRequest& request) {
  return std::all_of(request.operations.begin(), request.operations.end(),
                     [](const auto& operation) { return kindOf(operation) == OperationKind::Heartbeat; });
}

Judgement judge(const schema::LeaseRequest& request, const schema::DutyState& duties, StoreClock& clock,
                base::TimePoint now) {
  return Judge(request, duties, clock, now).run();
}

schema::LeaseTable tableOf(const schema::DutyState& duties, const StoreClock& clock, std::uint64_t epoch,
                           std::uint64_t sequence, base::TimePoint now) {
  schema::LeaseTable out{epoch, sequence, {}};
  for (const auto& record : duties.leases)
    out.leases.push_back({record.duty, record.subject, record.attempt, record.holder, record.address,
                          static_cast<std::uint32_t>(clock.remaining(record, now).count())});
  return out;
}

const schema::LeaseRecord* findRecord(const schema::DutyState& duties, const Subject& subject) {
  for (const auto& record : duties.leases)
    if (subjectOf(record) == subject) return &record;
  return nullptr;
}

}  // namespace indigohill::lease
