#include "control/controller.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/lists.hpp"
#include "runners/list.hpp"

namespace indigohill::control {

namespace {
constexpr std::uint64_t kFloorStep = 1u << 19;   // half of what each founding sets aside
constexpr schema::Stamp kNothing{~0ULL, ~0ULL};  // asks for nothing of this kind
}  // namespace

Identity identify(const std::function<std::optional<std::string>(Slot)>& read, bool bootstrap,
                  const std::vector<settings::Endpoint>& seeds, const settings::Endpoint& controlPlane,
                  std::uint64_t seed, std::vector<DiskWrite>& writes) {
  Identity out;
  if (auto id = read(Slot::Identity)) {
    out.voterId = *id;
    const auto load = [&](Slot slot, auto decode, auto& into) {
      if (auto bytes = read(slot))
        if (auto r = decode(*bytes); !base::fault(r)) into = std::get<0>(std::move(r));
    };
    load(Slot::Record, net::decodeRecord, out.loaded.record);
    load(Slot::Vote, net::decodeVote, out.loaded.vote);
    load(Slot::Frame, net::decodeFrame, out.loaded.frame);
    if (auto bytes = read(Slot::Floor)) std::from_chars(bytes->data(), bytes->data() + bytes->size(), out.floor);
    return out;
  }
  std::vector<std::string> voters;
  for (const auto& s : seeds) voters.push_back(settings::text(s));
  const auto own = settings::text(controlPlane);
  const bool first = bootstrap && base::contains(voters, own);
  out.voterId = first ? own : fmt::format("{}/{:016x}", own, seed);
  writes.push_back({0, Slot::Identity, out.voterId});
  if (first) {
    out.loaded.record = Replica::firstRecord(voters);
    writes.push_back({0, Slot::Record, net::encodeRecord(*out.loaded.record)});
  }
  return out;
}

Controller::Controller(Self self, Identity identity, std::vector<settings::Endpoint> seeds, Tuning tuning,
                       std::uint64_t seed)
    : self_(std::move(self)),
      tuning_(tuning),
      group_({self_.nodeName + "/controller", identity.voterId, self_.zone, membership::Role::Controller, self_.cohort},
             seeds, tuning.group, seed),
      replica_({identity.voterId, self_.cohort, tuning.losses}, identity.loaded, tuning.replica, seed + 1),
      source_(tuning.feed),
      frameSink_(tuning.feed, seed),
      runnerSink_(tuning.feed, ~seed) {
  group_.setSeeds(known(seeds));
  group_.setFloor(identity.floor);
  floorKept_ = identity.floor;
  if (identity.loaded.record) group_.setVoters(identity.loaded.record->epoch, identity.loaded.record->voters);
}

// Where the group may be found: besides the seeds, which may all have been lost together, at the voters that the disk
// tells of. A voter's name begins with its address, and the cohort's ports are alike everywhere.
std::vector<settings::Endpoint> Controller::known(std::vector<settings::Endpoint> seeds) const {
  if (!replica_.record()) return seeds;
  for (const auto& voter : replica_.record()->voters) {
    const auto address = settings::parseEndpoint(voter.substr(0, voter.find('/')));
    if (base::fault(address)) continue;
    const settings::Endpoint at{std::get<settings::Endpoint>(address).ip, self_.cohort.port};
    if (!base::contains(seeds, at)) seeds.push_back(at);
  }
  return seeds;
}

void Controller::setSeeds(std::vector<settings::Endpoint> seeds) { group_.setSeeds(known(std::move(seeds))); }

Around Controller::around(base::TimePoint now) const {
  Around out;
  out.lease = group_.leaseHeld(now);
  if (!group_.view()) return out;
  out.voters = group_.view()->voters;
  for (const auto& m : group_.view()->members)
    if (m.role == static_cast<std::uint8_t>(membership::Role::Controller)) out.controllers.push_back(m);
  return out;
}

void Controller::tick(base::TimePoint now, Effects& fx) {
  group_.tick(now, fx.out);
  replica_.tick(now, around(now), fx);
  source_.tick(now, fx.out);
  settle(now, fx);
}

void Controller::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                         Effects& fx) {
  if (const auto* ask = std::get_if<schema::Ask>(&message)) {
    source_.receive(*ask, from, now, fx.out);
    return;
  }
  if (const auto* news = std::get_if<schema::News>(&message)) {
    const bool ofFrame = frameSink_.receive(*news, from, now);
    const bool ofRunners = runnerSink_.receive(*news, from, now);
    const auto content = feed::contentOf(*news);
    for (const auto& frame : content.frames)
      if (!replica_.active() && source_.setFrame(frame)) group_.setHeld(frame.stamp);
    if (ofFrame && !replica_.active()) source_.compare(*news);
    source_.takeRunners(*news, content, ofRunners ? now - base::Millis(news->runnersAgeMs) : base::TimePoint{});
  } else {
    group_.receive(message, from, now, fx.out);
    replica_.receive(message, from, now, fx);
  }
  settle(now, fx);
}

void Controller::synced(std::uint64_t token, bool ok, base::TimePoint now, Effects& fx) {
  if (!ok) fx.notes.push_back("the disk refuses to write");
  replica_.synced(token, ok, now, fx);
  settle(now, fx);
}

void Controller::order(Order order, base::TimePoint now, Effects& fx) {
  // Whether a rollout would leave a service without runners is judged by the list that this controller has.
  if (order.kind == OrderKind::DeclareRollout || order.kind == OrderKind::AdvanceRollout)
    order.runners = source_.runners();
  replica_.order(std::move(order), now, fx);
  settle(now, fx);
}

// Frames come from the primary, runners from the holder of that duty.
void Controller::askForNews(base::TimePoint now, net::Outbox& out) {
  if (const auto primary = replica_.primaryAddress(); primary && !replica_.active())
    frameSink_.tick(now, {*primary}, frameStamp(), kNothing, out);
  if (group_.view() && !group_.isLister())
    for (const auto& m : group_.view()->members)
      if (m.incarnation == group_.view()->lister)
        runnerSink_.tick(now, {{m.ip, m.port}}, kNothing, source_.askRunners(), out);
}

// After anything that may have moved the group or the control state: what is in force goes to those that ask.
void Controller::settle(base::TimePoint now, Effects& fx) {
  if (replica_.published() && source_.setFrame(*replica_.published())) {
    const auto& frame = *replica_.published();
    fx.notes.push_back(fmt::format("configuration {} in force (epoch {}, serial {})", frame.revision, frame.stamp.epoch,
                                   frame.stamp.serial));
    group_.setHeld(frame.stamp);
  }
  if (const auto& record = replica_.record()) {
    if (record->epoch != notedEpoch_) {
      notedEpoch_ = record->epoch;
      fx.notes.push_back(fmt::format("epoch {}: primary {}, backups {}; {} voters", record->epoch, record->primary,
                                     fmt::join(record->backups, " "), record->voters.size()));
    }
    group_.setVoters(record->epoch, record->voters);
  }
  for (const auto& delivered : group_.takeDelivered()) {
    if (!delivered.view) {
      fx.notes.push_back("left the group, told dead; joining again");
      continue;
    }
    fx.notes.push_back(fmt::format("view {}: {} members, incarnation {}{}", delivered.view->number,
                                   delivered.view->members.size(), group_.incarnation(),
                                   group_.isLister() ? ", reads the list of runners" : ""));
    if (!replica_.voterId().empty() && (group_.floor() > floorKept_ + kFloorStep || floorKept_ == 0)) {
      floorKept_ = group_.floor();
      fx.writes.push_back({0, Slot::Floor, std::to_string(floorKept_)});
    }
  }
  if (const auto holder = group_.flushFrom()) fx.out.push_back({*holder, schema::Ask{0, frameStamp(), kNothing}});
  // A relay vouches for what it has only while it is in touch with the primary and has all that is in force there.
  const bool fresh =
      replica_.active() || (replica_.primaryFresh(now) && source_.frame() && frameStamp() >= replica_.primaryStamp());
  source_.setConfirmed(fresh && !source_.doubted() && group_.leaseHeld(now));
  source_.publish(now, fx.out);
  askForNews(now, fx.out);
}

bool Controller::readingDue(base::TimePoint now) {
  if (!group_.isLister() || !group_.leaseHeld(now) || leaving_ || now - readAt_ < tuning_.listPeriod) return false;
  readAt_ = now;
  return true;
}

void Controller::listed(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                        Effects& fx) {
  if (!group_.view() || !group_.isLister()) return;
  auto stamp = source_.runnersStamp();
  std::sort(runners.begin(), runners.end(), [](const auto& a, const auto& b) { return a.instanceId < b.instanceId; });
  const auto between = std::chrono::duration_cast<base::Millis>(askedAt - source_.listedAt());
  // Versions rise with the view that made this daemon the reader, so a later reader's always count as newer.
  if (!source_.hasRunners() || !runners::sameRunners(source_.runners(), runners, between))
    stamp = {group_.view()->number, stamp.epoch == group_.view()->number ? stamp.serial + 1 : 1};
  if (source_.setRunners(stamp, std::move(runners), askedAt))
    fx.notes.push_back(fmt::format("list of runners: {} of them (version {}.{})", source_.runners().size(), stamp.epoch,
                                   stamp.serial));
  settle(now, fx);
}

void Controller::leave(base::TimePoint now, Effects& fx) {
  if (leaving_) return;
  leaving_ = true;
  leftAt_ = now;
  replica_.handOver(fx.out);
  group_.leave(fx.out);
  fx.notes.push_back("leaving in order");
}

// Gone once somebody else leads, or after a while in any case.
bool Controller::left(base::TimePoint now) const {
  if (!leaving_) return false;
  const bool leads = replica_.record() && replica_.record()->primary == replica_.voterId();
  return now - leftAt_ >= base::Millis(300) && (!leads || now - leftAt_ >= tuning_.grace / 4);
}

}  // namespace indigohill::control
