#include "model/leases.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "base/fingerprint.hpp"

namespace indigohill::model {

using base::Millis;
using Kind = LeaseAction::Kind;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kTick{250};
constexpr Millis kCallInterval{500};  // a holder calls this often
constexpr Millis kForbidden{3000};    // no holder may act before and after another within this
constexpr Millis kHorizon{10000};     // longer than every time-out of a lease
const lease::Subject kSubject{lease::Duty::Usage, {}};

const char* nameOf(Kind kind) {
  constexpr std::array kNames{"time passes",
                              "delivers",
                              "delays",
                              "loses",
                              "delivers to the former primary",
                              "is to call",
                              "calls",
                              "freezes",
                              "wakes",
                              "is killed",
                              "starts again",
                              "is to stop",
                              "the primary changes"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace

LeaseModel::LeaseModel(LeaseSettings settings) : settings_(settings) {
  times_.reclaimDelay = kForbidden + Millis(1000);
  if (settings_.mutation == LeaseMutation::ReclaimsAtOnce) times_.reclaimDelay = Millis(0);
  initial_.now = kStart;
  initial_.primary = {lease::StoreClock(times_), {}};
  initial_.primary.clock.activate(1, {}, kStart);
  for (std::uint8_t i = 0; i < settings_.daemons; ++i) {
    Daemon daemon;
    daemon.loop = newLoop(i, 0);
    initial_.daemons.push_back(std::move(daemon));
  }
}

lease::DutyLoop LeaseModel::newLoop(std::uint8_t daemon, std::uint8_t restarts) const {
  lease::DutyLoop loop({std::string(1, static_cast<char>('a' + daemon)), {daemon + 1U, 1}}, times_,
                       base::mix(1 + daemon + 16U * restarts));
  loop.setSubjects({kSubject});
  loop.setClaimDelay(daemon * kTick);
  return loop;
}

bool LeaseModel::mayPerform(const State& state, std::uint8_t index) const {
  const auto& daemon = state.daemons[index];
  return daemon.loop && daemon.loop->mayPerform(kSubject, state.now);
}

const LeaseModel::InFlight* LeaseModel::firstOf(const State& state, std::uint8_t daemon) const {
  for (const auto& message : state.network)
    if (message.daemon == daemon) return &message;
  return nullptr;
}

// When nothing goes wrong: messages arrive, holders call now and then, and time passes.
LeaseModel::Action LeaseModel::usual(const State& state) const {
  for (std::uint8_t i = 0; i < state.daemons.size(); ++i) {
    const auto& daemon = state.daemons[i];
    if (!daemon.loop || daemon.frozen) continue;
    if (firstOf(state, i) != nullptr) return {Kind::Deliver, i, 0};
    if (daemon.calling) return {Kind::SendCall, i, 0};
    if (mayPerform(state, i) && state.now - daemon.calledAt >= kCallInterval) return {Kind::BeginCall, i, 0};
  }
  return {Kind::Tick, 0, 0};
}

std::vector<LeaseModel::Action> LeaseModel::actions(const State& state) const {
  std::vector<Action> out{usual(state)};
  const auto add = [&](Kind kind, std::uint8_t daemon) {
    // To whom a request goes is free where that is the fault looked for.
    const bool isFree = kind == Kind::DeliverToOld && settings_.mutation == LeaseMutation::UnconfirmedHeartbeats;
    const Action action{kind, daemon, isFree ? 0U : 1U};
    if (kind != out.front().kind && possible(state, action)) out.push_back(action);
  };
  for (std::uint8_t i = 0; i < state.daemons.size(); ++i)
    for (const auto kind : {Kind::Delay, Kind::Lose, Kind::DeliverToOld, Kind::Freeze, Kind::Kill, Kind::Stop})
      add(kind, i);
  add(Kind::ChangePrimary, 0);
  add(Kind::Tick, 0);
  // The ends of troubles cost nothing: they come at any time.
  for (std::uint8_t i = 0; i < state.daemons.size(); ++i)
    for (const auto kind : {Kind::Thaw, Kind::Restart})
      if (const Action action{kind, i, 0}; possible(state, action)) out.push_back(action);
  return out;
}

bool LeaseModel::possible(const State& state, const Action& action) const {
  const auto& daemon = state.daemons[action.daemon];
  const auto* first = firstOf(state, action.daemon);
  const bool awake = daemon.loop && !daemon.frozen;
  const auto& quotas = settings_.quotas;
  switch (action.kind) {
    case Kind::Tick:
      return true;
    case Kind::Deliver:
      return first != nullptr && (first->request || awake);
    case Kind::Delay:
      return first != nullptr && state.used.delays < quotas.delays;
    case Kind::Lose:
      return first != nullptr && state.used.losses < quotas.losses;
    case Kind::DeliverToOld:
      return first != nullptr && first->request && state.old && lease::isRenewalOnly(*first->request);
    case Kind::BeginCall:
      return awake && !daemon.calling && mayPerform(state, action.daemon);
    case Kind::SendCall:
      return awake && daemon.calling.has_value();
    case Kind::Freeze:
      return awake && state.used.freezes < quotas.freezes;
    case Kind::Thaw:
      return daemon.frozen;
    case Kind::Kill:
      return daemon.loop && state.used.kills < quotas.kills;
    case Kind::Restart:
      return !daemon.loop;
    case Kind::Stop:
      return awake && !daemon.stopping && state.used.stops < quotas.stops;
    case Kind::ChangePrimary:
      return state.used.primaries < quotas.primaries;
  }
  return false;
}

LeaseModel::State LeaseModel::apply(const State& before, const Action& action) const {
  State state = before;
  auto& daemon = state.daemons[action.daemon];
  const auto first = std::find_if(state.network.begin(), state.network.end(),
                                  [&](const auto& message) { return message.daemon == action.daemon; });
  switch (action.kind) {
    case Kind::Tick:
      tick(state);
      break;
    case Kind::Deliver:
      deliver(state, action.daemon, false);
      break;
    case Kind::DeliverToOld:
      deliver(state, action.daemon, true);
      break;
    case Kind::Delay:
      ++state.used.delays;
      std::rotate(first, first + 1, state.network.end());
      tick(state);
      break;
    case Kind::Lose:
      ++state.used.losses;
      state.network.erase(first);
      break;
    case Kind::BeginCall:
      daemon.calling = daemon.loop->ownLease(kSubject)->attempt;
      break;
    case Kind::SendCall:
      send(state, action.daemon);
      break;
    case Kind::Freeze:
      ++state.used.freezes;
      daemon.frozen = true;
      break;
    case Kind::Thaw:
      daemon.frozen = false;
      break;
    case Kind::Kill:
      ++state.used.kills;
      daemon = {.loop = std::nullopt, .restarts = daemon.restarts};
      break;
    case Kind::Restart:
      daemon.loop = newLoop(action.daemon, ++daemon.restarts);
      break;
    case Kind::Stop:
      ++state.used.stops;
      daemon.stopping = true;
      daemon.calling.reset();  // aborted before the lease is released
      daemon.loop->stop();
      break;
    case Kind::ChangePrimary:
      changePrimary(state);
      break;
  }
  judgeHolders(state);
  return state;
}

void LeaseModel::tick(State& state) const {
  state.now += kTick;
  while (!state.acted.empty() && state.now - state.acted.front().at > kForbidden) state.acted.pop_front();
  const auto table = lease::tableOf(state.primary.duties, state.primary.clock, state.epoch, ++state.tables, state.now);
  for (std::uint8_t i = 0; i < state.daemons.size(); ++i) {
    auto& daemon = state.daemons[i];
    if (!daemon.loop || daemon.frozen) continue;
    daemon.loop->onTable(table, state.now);
    if (auto request = daemon.loop->nextRequest(state.now)) state.network.push_back({i, std::move(request), {}});
    daemon.loop->takeEvents();
  }
}

// A request is judged and its reply is on its way; a reply is taken. A primary that was superseded finds no voter that
// confirms its epoch, so its replies are never sent.
void LeaseModel::deliver(State& state, std::uint8_t index, bool toOld) const {
  const auto first = std::find_if(state.network.begin(), state.network.end(),
                                  [&](const auto& message) { return message.daemon == index; });
  const auto message = *first;
  state.network.erase(first);
  if (message.request) {
    auto& primary = toOld ? *state.old : state.primary;
    auto judged = lease::judge(*message.request, primary.duties, primary.clock, state.now);
    if (judged.next) primary.duties = *std::move(judged.next);
    if (!toOld || settings_.mutation == LeaseMutation::UnconfirmedHeartbeats)
      state.network.push_back({index, std::nullopt, std::move(judged.reply)});
    return;
  }
  auto& daemon = state.daemons[index];
  if (!daemon.loop) return;
  daemon.loop->onReply(message.reply, state.now);
  daemon.loop->takeEvents();
}

void LeaseModel::send(State& state, std::uint8_t index) const {
  auto& daemon = state.daemons[index];
  const auto fence = *std::exchange(daemon.calling, std::nullopt);
  const auto own = daemon.loop->ownLease(kSubject);
  const bool isLeased = own && own->attempt == fence && state.now < own->until;
  if (!isLeased && settings_.mutation != LeaseMutation::SendsUnchecked) return;
  daemon.calledAt = state.now;
  if (fence < state.newestFence)
    state.violation = fmt::format("fence {} reaches the platform after fence {}", fence, state.newestFence);
  state.newestFence = std::max(state.newestFence, fence);
  bool otherSince = false;
  for (auto it = state.acted.rbegin(); it != state.acted.rend(); ++it) {
    if (it->daemon == index && otherSince) state.violation = "a holder acts before and after another";
    otherSince = otherSince || it->daemon != index;
  }
  state.acted.push_back({state.now, index});
}

// The state is the same, the clock is another's.
void LeaseModel::changePrimary(State& state) const {
  ++state.used.primaries;
  state.old = state.primary;
  state.epoch += 2;
  state.primary.clock = lease::StoreClock(times_);
  if (settings_.mutation != LeaseMutation::NoFreshLeases)
    state.primary.clock.activate(state.epoch, state.primary.duties, state.now);
}

// However long a holder may still sleep, two may never hold together.
void LeaseModel::judgeHolders(State& state) const {
  std::size_t holders = 0;
  for (std::uint8_t i = 0; i < state.daemons.size(); ++i) {
    if (!state.daemons[i].loop) continue;
    holders += mayPerform(state, i);
  }
  if (holders > 1) state.violation = "two daemons hold the duty";
}

std::uint64_t LeaseModel::fingerprint(const State& state) const {
  base::Fingerprint out;
  for (const auto& daemon : state.daemons) {
    out.add(daemon.loop.has_value(), daemon.frozen, daemon.stopping, daemon.calling, daemon.restarts);
    out.age(daemon.calledAt, state.now, kHorizon);
    if (daemon.loop) daemon.loop->addTo(out, state.now, kHorizon);
  }
  for (const auto& message : state.network) out.add(message.daemon, message.request, message.reply);
  out.add(state.primary.duties, state.old.has_value(), state.epoch, state.newestFence);
  state.primary.clock.addTo(out, state.now, kHorizon);
  if (state.old) {
    out.add(state.old->duties);
    state.old->clock.addTo(out, state.now, kHorizon);
  }
  for (const auto& acted : state.acted) {
    out.add(acted.daemon);
    out.age(acted.at, state.now, kHorizon);
  }
  const auto& used = state.used;
  out.add(used.losses, used.freezes, used.kills, used.primaries, used.stops, used.delays);
  return out.value();
}

std::string LeaseModel::text(const State& state, const Action& action) const {
  const auto at = std::chrono::duration_cast<Millis>(state.now - kStart).count();
  return fmt::format("{} ms: {} {}", at, static_cast<char>('a' + action.daemon), nameOf(action.kind));
}

}  // namespace indigohill::model
