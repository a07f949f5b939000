#include "duties/agent.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace indigohill::duties {

using base::LogEvent;
using base::Millis;
using lease::Duty;
using lease::Subject;

namespace {

constexpr Millis kSettle{200};  // after a window's end, for the last counts to come
constexpr Millis kFirstBackoff{200}, kMaxBackoff{1000};
constexpr Millis kRateLimitBackoff{500};
constexpr Millis kLeastCallTime{150};         // a call that had less would be cut off before its answer
constexpr Millis kCountsAfterTakeover{1500};  // for the routers to send a new holder what they have counted
constexpr Millis kPlanInterval{500};
constexpr Millis kStoreSilence{900};             // another controller is asked after this long without a reply
constexpr std::uint64_t kMaxWindowsBehind = 12;  // older ones are given up
constexpr int kWaitShare = 45;  // of a hundred parts of the delay: how long incomplete counts are waited for

const Subject kUsage{Duty::Usage, {}};

std::string usageBody(const schema::UsageReport& report) {
  boost::json::object counts;
  for (const auto& entry : report.counts) counts[entry.tenant] = entry.requests;
  return boost::json::serialize(boost::json::object{{"windowId", report.windowId}, {"counts", std::move(counts)}});
}

std::string scalingBody(const std::string& service, const std::string& zone, std::uint32_t count) {
  return boost::json::serialize(
      boost::json::object{{"targetService", service}, {"zone", zone}, {"desiredCount", count}});
}

std::map<std::string, std::uint32_t> readyByZone(const std::vector<schema::RunnerEntry>& runners,
                                                 const std::string& service) {
  std::map<std::string, std::uint32_t> out;
  for (const auto& runner : runners)
    if (runner.service == service) out[runner.zone] += runner.draining ? 0 : 1;
  return out;
}

std::set<settings::Endpoint> routersOf(const schema::View* view) {
  std::set<settings::Endpoint> out;
  if (view == nullptr) return out;
  for (const auto& member : view->members)
    if (!membership::isController(member)) out.insert(membership::addressOf(member));
  return out;
}

}  // namespace

Agent::Agent(lease::DutyLoop::Self self, Options options, usage::WindowClock& clock, std::uint64_t seed)
    : self_(self), options_(options), clock_(clock), loop_(std::move(self), options.lease, seed) {}

std::optional<schema::LeaseSummary> Agent::usageHolder() const {
  const auto* summary = loop_.summary(kUsage);
  if (summary == nullptr || summary->remainingMs == 0) return std::nullopt;
  return *summary;
}

void Agent::tick(const Surroundings& around, base::TimePoint now, AgentEffects& effects) {
  if (!options_.isEnabled()) return;
  updateSubjects(around);
  loop_.setClaimDelay(around.claimDelay);
  abortUnleasedCall(now, effects);
  if (loop_.ownLease(kUsage)) {
    if (const auto fleetTime = ledger_.unixMs(now)) clock_.correct(now, *fleetTime);
    if (options_.reportsUsage) performUsage(around, now, effects);
  }
  if (options_.scales) {
    planScaling(around, now);
    performScaling(now, effects);
  }
  sendLeaseRequest(around, now, effects);
  noteEvents(now, effects);
  abortUnleasedCall(now, effects);  // what is about to be released
}

// Scaling has a subject for each zone in which a service that may be scaled runs. They are kept while the list of
// runners lacks the zone for a moment. The demand is known to the holder of the usage lease alone, which routers report
// to: only that daemon scales.
void Agent::updateSubjects(const Surroundings& around) {
  std::set<Subject> subjects{kUsage};
  if (options_.scales && around.configuration) {
    const bool measures = loop_.ownLease(kUsage).has_value();
    for (const auto& service : around.configuration->services) {
      if (!service.scaling) continue;
      auto& scaled = services_[service.name];
      if (around.runners != nullptr)
        for (const auto& [zone, count] : readyByZone(*around.runners, service.name)) scaled.wanted.try_emplace(zone, 0);
      if (!measures) continue;
      for (const auto& [zone, count] : scaled.wanted) subjects.insert(lease::scalingSubject(service.name, zone));
    }
    std::erase_if(services_, [&](const auto& entry) {
      const auto* service = around.configuration->service(entry.first);
      return service == nullptr || !service->scaling;
    });
  }
  loop_.setSubjects(std::move(subjects));
}

void Agent::noteEvents(base::TimePoint now, AgentEffects& effects) {
  for (const auto& event : loop_.takeEvents()) {
    const bool won = event.kind == lease::DutyLoop::Event::Kind::Won;
    effects.log.push_back(LogEvent(won ? "duty_won" : "duty_lost")
                              .with("duty", lease::nameOf(event.subject.duty))
                              .with("subject", event.subject.name)
                              .with("attempt", event.attempt));
    if (won && event.subject == kUsage) beginUsage(now);
    // Another holder may have ordered since.
    if (!won && event.subject.duty == Duty::Scaling)
      for (auto& [name, service] : services_) service.ordered.clear();
  }
}

// Lease requests.

void Agent::sendLeaseRequest(const Surroundings& around, base::TimePoint now, AgentEffects& effects) {
  if (around.stores.empty()) return;
  auto request = loop_.nextRequest(now);
  if (!request) return;
  if (!unansweredSince_) unansweredSince_ = now;
  if (now - *unansweredSince_ >= kStoreSilence) {
    ++store_;
    unansweredSince_ = now;
  }
  effects.out.push_back({around.stores[store_ % around.stores.size()], *std::move(request)});
}

void Agent::receiveReply(const schema::LeaseReply& reply, base::TimePoint now) {
  const bool answered = loop_.onReply(reply, now);
  if (!reply.judged) return;
  unansweredSince_.reset();
  if (!answered) return;
  delivered_ = std::max(delivered_, reply.usageDelivered);
  for (const auto& report : reply.reports)
    if (report.windowId > delivered_) fixed_[report.windowId] = report;
  fixed_.erase(fixed_.begin(), fixed_.upper_bound(delivered_));
  loop_.setUsageDelivered(delivered_);
}

bool Agent::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                    AgentEffects& effects) {
  if (!options_.isEnabled()) return false;
  if (const auto* table = std::get_if<schema::LeaseTable>(&message)) {
    if (loop_.onTable(*table, now)) tableAt_ = now;
  } else if (const auto* reply = std::get_if<schema::LeaseReply>(&message)) {
    receiveReply(*reply, now);
  } else if (const auto* counts = std::get_if<schema::UsageCounts>(&message)) {
    receiveCounts(*counts, from, now, effects);
  } else {
    return false;
  }
  noteEvents(now, effects);
  abortUnleasedCall(now, effects);
  return true;
}

// Usage.

// The first report of a new deployment is of the window that lasts when it has its first holder.
void Agent::beginUsage(base::TimePoint now) {
  usageSince_ = now;
  const auto present = clock_.windowAt(now);
  if (delivered_ == 0 && fixed_.empty()) delivered_ = present - 1;
  if (delivered_ + kMaxWindowsBehind < present) delivered_ = present - kMaxWindowsBehind;
  ledger_.forget(delivered_);
}

void Agent::receiveCounts(const schema::UsageCounts& counts, const settings::Endpoint& from, base::TimePoint now,
                          AgentEffects& effects) {
  const auto own = loop_.ownLease(kUsage);
  if (!own) {
    // The sender does not reach the holder itself.
    const auto holder = usageHolder();
    if (counts.forwarded || !holder || endpointOf(holder->address) == self_.address) return;
    auto passedOn = counts;
    passedOn.forwarded = true;
    effects.out.push_back({endpointOf(holder->address), std::move(passedOn)});
    return;
  }
  ledger_.merge(counts, now);
  if (counts.attempt != own->attempt) return;
  const schema::UsageAck ack{counts.daemon, counts.sequence, counts.attempt,
                             counts.origin, delivered_,      clock_.unixMs(now)};
  effects.out.push_back({from, ack});
}

bool Agent::isReportDue(std::uint64_t window, const schema::View* view, base::TimePoint now) const {
  const auto end = clock_.endOf(window);
  if (now < end + kSettle) return false;
  if (ledger_.isComplete(window, routersOf(view), end - clock_.window())) return true;
  return now >= std::max(end + options_.usageDelay * kWaitShare / 100, usageSince_ + kCountsAfterTakeover);
}

void Agent::performUsage(const Surroundings& around, base::TimePoint now, AgentEffects& effects) {
  const auto window = delivered_ + 1;
  if (const auto found = fixed_.find(window); found != fixed_.end()) {
    if (mayStartCall(kUsage, now)) startCall(kUsage, "/usage", usageBody(found->second), now, effects);
    return;
  }
  if (!isReportDue(window, around.view, now)) return;
  std::vector<std::string> tenants;
  if (around.configuration && around.configuration->tenants)
    for (const auto& tenant : *around.configuration->tenants) tenants.push_back(tenant.name);
  loop_.setReport(ledger_.report(window, tenants));
}

// Scaling.

void Agent::planScaling(const Surroundings& around, base::TimePoint now) {
  const bool measures = loop_.mayPerform(kUsage, now) && now - usageSince_ >= kCountsAfterTakeover;
  if (!measures || !around.configuration || around.runners == nullptr || now - plannedAt_ < kPlanInterval) return;
  plannedAt_ = now;
  const auto loads = ledger_.loads(now);
  const auto rejections = ledger_.takeRejections();
  for (auto& [name, scaled] : services_) {
    const auto* service = around.configuration->service(name);
    if (service == nullptr || !service->scaling) continue;
    if (!scaled.autoscaler) scaled.autoscaler = std::make_unique<scaling::Autoscaler>(options_.scaling);
    scaling::ServiceState state;
    state.slots = std::max<std::uint32_t>(1, service->capacitySlots);
    state.minInstances = service->scaling->minInstances;
    state.maxInstances = service->scaling->maxInstances;
    state.leadTime = service->scaling->bootTime + service->warmup;
    state.runners = readyByZone(*around.runners, name);
    const auto load = loads.find(name);
    const auto rejected = rejections.find(name);
    if (load != loads.end()) state.requests = load->second.inProgress + load->second.queued;
    state.overloaded =
        (load != loads.end() && load->second.queued > 0) || (rejected != rejections.end() && rejected->second > 0);
    for (const auto& [zone, count] : scaled.autoscaler->plan(state, now)) {
      scaled.wanted[zone] = count;
      scaled.ordered.try_emplace(zone, state.runners[zone]);
    }
  }
}

void Agent::performScaling(base::TimePoint now, AgentEffects& effects) {
  for (const auto& [name, service] : services_)
    for (const auto& [zone, count] : service.wanted) {
      const auto ordered = service.ordered.find(zone);
      if (count == 0 || ordered == service.ordered.end() || ordered->second == count) continue;
      const auto subject = lease::scalingSubject(name, zone);
      if (!mayStartCall(subject, now)) continue;
      startCall(subject, "/scaling", scalingBody(name, zone, count), now, effects);
      return;
    }
}

// Calls.

bool Agent::mayStartCall(const Subject& subject, base::TimePoint now) const {
  const auto own = loop_.ownLease(subject);
  return !call_ && now >= callNotBefore_ && own && now + kLeastCallTime < own->until;
}

bool Agent::mayCall(const PlatformCall& call, base::TimePoint now) const {
  const auto own = loop_.ownLease(call.subject);
  return own && own->attempt == call.fence && now < std::min(call.notAfter, own->until);
}

void Agent::startCall(const Subject& subject, std::string path, std::string body, base::TimePoint now,
                      AgentEffects& effects) {
  const auto own = *loop_.ownLease(subject);
  call_ = PlatformCall{++calls_, subject, std::move(path), std::move(body), self_.holder, own.attempt, own.until};
  lastCall_ = LastCall{*call_, std::nullopt, now};
  effects.calls.push_back(*call_);
}

// A call whose lease was lost, or is about to be released.
void Agent::abortUnleasedCall(base::TimePoint now, AgentEffects& effects) {
  if (!call_ || mayCall(*call_, now)) return;
  effects.aborted.push_back(call_->id);
  effects.log.push_back(LogEvent("duty_call_aborted").with("path", call_->path).with("fence", call_->fence));
  lastCall_->outcome = CallOutcome::NoAnswer;
  callCounts_[CallOutcome::NoAnswer].add();
  call_.reset();
  backOff(now);
}

// The next call waits, twice as long after each failure.
void Agent::backOff(base::TimePoint now) {
  backoff_ = std::clamp(2 * backoff_, kFirstBackoff, kMaxBackoff);
  callNotBefore_ = now + backoff_;
}

void Agent::onCallEnded(std::uint64_t id, CallOutcome outcome, base::TimePoint now, AgentEffects& effects) {
  if (!call_ || call_->id != id) return;
  const auto call = *std::exchange(call_, std::nullopt);
  lastCall_->outcome = outcome;
  callCounts_[outcome].add();
  if (outcome != CallOutcome::Accepted)
    effects.log.push_back(LogEvent("duty_call_failed").with("path", call.path).with("outcome", nameOf(outcome)));
  switch (outcome) {
    case CallOutcome::Accepted:
      backoff_ = Millis(0);
      break;
    case CallOutcome::RateLimited:
      backoff_ = kRateLimitBackoff;
      break;
    case CallOutcome::Rejected:
    case CallOutcome::NoAnswer:
      backOff(now);
      break;
  }
  callNotBefore_ = now + backoff_;
  const bool isOver = outcome == CallOutcome::Accepted || outcome == CallOutcome::Rejected;
  if (!isOver) return;
  if (call.subject == kUsage) {
    // A report that the platform rejects is given up: no other may be sent for its window.
    delivered_ = fixed_.empty() ? delivered_ : std::max(delivered_, fixed_.begin()->first);
    fixed_.erase(fixed_.begin(), fixed_.upper_bound(delivered_));
    ledger_.forget(delivered_);
    loop_.setUsageDelivered(delivered_);
    return;
  }
  for (auto& [name, service] : services_)
    for (auto& [zone, count] : service.ordered)
      if (lease::scalingSubject(name, zone) == call.subject) count = service.wanted[zone];
}

}  // namespace indigohill::duties
