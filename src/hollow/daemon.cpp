#include "hollow/daemon.hpp"

#include "base/lists.hpp"

namespace indigohill::hollow {

namespace {

// Far fewer events than a daemon keeps, so that hundreds of daemons fit in a process; what a full journal takes is
// measured on one (measureRouter).
constexpr std::size_t kJournalKept = 8;

}  // namespace

Daemon::Daemon(const Place& place, const std::vector<Place>& seeds, const Disk& disk, bool first, std::size_t losses,
               std::uint64_t seed, base::TimePoint now, Output& effects) {
  std::vector<settings::Endpoint> peerAddresses, controls;
  for (const auto& s : seeds) {
    peerAddresses.push_back(s.peerAddress);
    controls.push_back(s.control);
  }
  if (place.isController) {
    auto identity = control::identify(
        [&](control::Slot slot) -> std::optional<std::string> {
          const auto found = disk.find(slot);
          return found == disk.end() ? std::nullopt : std::optional(found->second);
        },
        first, controls, place.control, seed, effects.writes);
    control::Controller::Options options;
    options.faultTolerance = losses;
    controller_ =
        std::make_unique<control::Controller>(control::Controller::Self{place.name, place.zone, place.peerAddress},
                                              std::move(identity), peerAddresses, options, seed + 1);
  } else {
    router_ = std::make_unique<router::RouterCore>(router::RouterCore::Self{place.name, place.zone, place.peerAddress},
                                                   peerAddresses, membership::Times{}, feed::Times{},
                                                   base::Millis(3000), seed, now);
    journal_ = std::make_unique<base::Journal<routing::Event, routing::RoutingSnapshot>>(routing::fold, kJournalKept);
    table_ = std::make_unique<routing::Table>(place.zone, routing::Bounds{}, seed + 1, now);
  }
}

// As the daemons have them (src/cli).
base::Millis Daemon::tickPeriod(bool isController) { return base::Millis(isController ? 100 : 200); }

void Daemon::tick(base::TimePoint now, Output& effects) {
  if (controller_) {
    control::Effects output;
    controller_->tick(now, output);
    perform(output, effects);
  } else {
    router::RouterEffects followed;
    router_->tick(now, followed);
    perform(followed, now, effects);
  }
}

void Daemon::receive(const schema::Message& message, const settings::Endpoint& from, base::TimePoint now,
                     Output& effects) {
  if (controller_) {
    control::Effects output;
    controller_->receive(message, from, now, output);
    perform(output, effects);
  } else {
    router::RouterEffects followed;
    router_->receive(message, from, now, followed);
    perform(followed, now, effects);
  }
}

void Daemon::onDiskWrite(std::uint64_t token, control::WriteOutcome outcome, base::TimePoint now, Output& effects) {
  control::Effects output;
  controller_->onDiskWrite(token, outcome, now, output);
  perform(output, effects);
}

void Daemon::replace(std::uint64_t call, std::uint64_t baseVersion, std::string document, base::TimePoint now,
                     Output& effects) {
  control::Effects output;
  controller_->submit({call, control::OrderKind::Replace, baseVersion, std::move(document)}, now, output);
  perform(output, effects);
}

void Daemon::update(std::uint64_t call, std::uint64_t baseVersion, std::string change, base::TimePoint now,
                    Output& effects) {
  control::Effects output;
  controller_->submit({call, control::OrderKind::Update, baseVersion, std::move(change)}, now, output);
  perform(output, effects);
}

bool Daemon::isListReadDue(base::TimePoint now) {
  return controller_ ? controller_->isListReadDue(now) : router_->isListReadDue(now);
}

void Daemon::onListRead(std::vector<schema::RunnerEntry> runners, base::TimePoint askedAt, base::TimePoint now,
                        Output& effects) {
  if (controller_) {
    control::Effects output;
    controller_->onListRead(std::move(runners), askedAt, now, output);
    perform(output, effects);
  } else {
    router::RouterEffects followed;
    router_->onListRead(std::move(runners), askedAt, now, followed);
    perform(followed, now, effects);
  }
}

void Daemon::broadcast(const schema::LoadNotice& notice, Output& effects) const {
  if (router_) router_->broadcast(notice, effects.out);
}

Role Daemon::role(base::TimePoint now) const {
  if (!controller_) return Role::Router;
  if (controller_->replica().active(now)) return Role::Primary;
  const auto& record = controller_->replica().record();
  const auto& self = controller_->replica().voterId();
  if (!record || !base::contains(record->voters, self)) return Role::Observer;
  return base::contains(record->backups, self) ? Role::Backup : Role::Witness;
}

std::uint64_t Daemon::revision() const { return source().state() ? source().state()->revision : 0; }

void Daemon::perform(control::Effects& output, Output& effects) {
  std::move(output.out.begin(), output.out.end(), std::back_inserter(effects.out));
  std::move(output.writes.begin(), output.writes.end(), std::back_inserter(effects.writes));
  std::move(output.answers.begin(), output.answers.end(), std::back_inserter(effects.answers));
}

void Daemon::perform(router::RouterEffects& followed, base::TimePoint now, Output& effects) {
  for (const auto& notice : followed.loadNotices) table_->receive(notice, now);
  for (auto& event : followed.events) table_->setSnapshot(journal_->append(std::move(event)), now);
  table_->setLease(router_->group().leaseUntil());
  std::move(followed.out.begin(), followed.out.end(), std::back_inserter(effects.out));
}

}  // namespace indigohill::hollow
