// The simulated world: its nodes, its clock, and what nodes do when they are started, called or ticked.
#include "sim/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace indigohill::sim {

using base::Millis;

namespace {

constexpr Millis kControllerTick{100}, kRouterTick{200}, kObserverTick{250};

}  // namespace

World::World(Shape shape) : shape_(shape), random_(shape.seed) {
  const auto zones = shape.zones == 0 ? shape.controllers : shape.zones;
  for (std::size_t i = 0; i < shape.controllers + shape.routers + shape.observers; ++i) {
    auto node = std::make_unique<Node>();
    node->isObserver = i >= shape.controllers + shape.routers;
    node->isController = i < shape.controllers || node->isObserver;
    node->name = fmt::format("node-{}", i);
    node->zone = fmt::format("zone-{}", i % zones);
    node->peerAddress = {0x0a000001u + static_cast<std::uint32_t>(i),
                         static_cast<std::uint16_t>(node->isController ? 7001 : 7000)};
    node->control = {node->peerAddress.ip, 8000};
    nodes_.push_back(std::move(node));
  }
  dutyPlatform.onBroken = [this](const std::string& what) { breakRule(what); };
  for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
  after(Millis(3000), [this] { bootstrap_ = false; });
}

void World::after(Millis delay, std::function<void()> what) { events_.push({now_ + delay, ++order_, std::move(what)}); }

void World::run(Millis span) {
  runUntil(span, [] { return false; });
}

bool World::runUntil(Millis span, const std::function<bool()>& done) {
  const auto end = now_ + span;
  while (!broken_) {
    if (done()) return true;
    if (events_.empty() || events_.top().at > end) break;
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.what();
    ++steps_;
    check();
  }
  now_ = std::max(now_, end);
  return done();
}

std::optional<std::size_t> World::at(const settings::Endpoint& peerAddress) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i]->peerAddress == peerAddress) return i;
  return std::nullopt;
}

std::optional<std::size_t> World::active() const {
  for (std::size_t i = 0; i < shape_.controllers; ++i)
    if (nodes_[i]->alive && !nodes_[i]->frozen && nodes_[i]->controller->replica().active(now_)) return i;
  return std::nullopt;
}

// What happens at a node happens only in the incarnation it was meant for, and waits while the machine is frozen.
void World::onNode(std::size_t i, std::uint64_t incarnation, Input input, std::function<void()> what) {
  auto& node = *nodes_[i];
  if (!node.alive || node.incarnation != incarnation) return;
  if (node.frozen)
    node.deferredInputs.push_back(
        {input, [this, i, incarnation, input, what] { onNode(i, incarnation, input, what); }});
  else
    what();
}

void World::start(std::size_t i) {
  auto& node = *nodes_[i];
  node.alive = node.powered = true;
  node.frozen = false;
  ++node.incarnation;
  node.isolatedSince.reset();
  noteIsolation();
  node.lastView = 0;
  node.lastRevision = 0;
  node.lastVersion = {};
  readSeeds(node);
  if (node.isController)
    startController(i);
  else
    startRouter(node);
  if (node.alive)
    after(Millis(random_() % 100), [this, i, incarnation = node.incarnation] { tickLoop(i, incarnation); });
}

// The seeds in the settings file, as it is at this start.
void World::readSeeds(Node& node) {
  if (!shape_.seedTurnover || node.incarnation == 1) {
    node.seeds.clear();
    for (std::size_t c = 0; c < std::min(shape_.controllers, kSeeds); ++c) node.seeds.push_back(nodes_[c]->peerAddress);
  }
  if (seedNodes.empty()) return;
  node.seeds.clear();
  for (const auto seed : seedNodes) node.seeds.push_back(nodes_[seed]->peerAddress);
}

// It is alive afterwards, unless its disk does not take its identity at present.
void World::startController(std::size_t i) {
  auto& node = *nodes_[i];
  std::vector<settings::Endpoint> controls;
  for (std::size_t c = 0; c < std::min(shape_.controllers, kSeeds); ++c) controls.push_back(nodes_[c]->control);
  std::vector<control::DiskWrite> writes;
  control::Identity identity;
  const auto read = [&](control::Slot slot) -> std::optional<std::string> {
    const auto found = node.disk.find(slot);
    return found == node.disk.end() ? std::nullopt : std::optional(found->second);
  };
  if (!node.isObserver)
    identity = control::identify(read, bootstrap_ && node.incarnation == 1, controls, node.control, random_(), writes);
  if (!writes.empty() && (node.diskFull || node.diskStalled)) {
    startLater(i);
    return;
  }
  control::Controller::Options options;
  options.faultTolerance = shape_.faultTolerance;
  options.duties = dutySetup(node);
  options.replica.lease = options.duties.options.lease;
  node.controller =
      std::make_unique<control::Controller>(control::Controller::Self{node.name, node.zone, node.peerAddress},
                                            std::move(identity), node.seeds, options, random_());
  // The daemon has its identity on disk before it says anything.
  for (auto& write : writes) node.disk[write.slot] = std::move(write.bytes);
}

void World::startRouter(Node& node) {
  node.router = std::make_unique<router::RouterCore>(router::RouterCore::Self{node.name, node.zone, node.peerAddress},
                                                     node.seeds, membership::Times{}, feed::Times{}, Millis(3000),
                                                     random_(), now_, dutySetup(node));
  node.journal = std::make_unique<base::Journal<routing::Event, routing::RoutingSnapshot>>(routing::fold);
  routing::Bounds bounds;
  bounds.warmupOvershoot = shape_.warmupOvershoot;
  bounds.warmupSlack = shape_.warmupSlack;
  bounds.lease = membership::Times{}.lease + membership::Times{}.handover;
  node.table = std::make_unique<routing::Table>(node.zone, bounds, random_(), now_);
}

// The process waits for a disk that takes its identity; it neither listens nor speaks before that.
void World::startLater(std::size_t i) {
  constexpr Millis kRetry{100};
  auto& node = *nodes_[i];
  node.alive = false;
  after(kRetry, [this, i, incarnation = node.incarnation] {
    if (!nodes_[i]->alive && nodes_[i]->incarnation == incarnation) start(i);
  });
}

void World::tickLoop(std::size_t i, std::uint64_t incarnation) {
  onNode(i, incarnation, Input::Timer, [this, i, incarnation] {
    auto& node = *nodes_[i];
    if (node.isController) {
      control::Effects effects;
      node.controller->observeWallTime(now_, unixMs() + node.clockStepMs);
      node.controller->tick(now_, effects);
      perform(i, effects);
      if (node.controller->isListReadDue(now_)) {
        const auto askedAt = now_;
        after(Millis(2), [this, i, incarnation, askedAt] {
          onNode(i, incarnation, Input::Message, [this, i, askedAt] {
            control::Effects fx2;
            nodes_[i]->controller->onListRead(platform, askedAt, now_, fx2);
            perform(i, fx2);
          });
        });
      }
      if (node.controller->isShutDown(now_)) {
        kill(i);
        return;
      }
    } else {
      router::RouterEffects effects;
      node.router->observeWallTime(now_, unixMs() + node.clockStepMs);
      node.router->addUsage(std::exchange(node.counted, {}), {});
      node.router->tick(now_, effects);
      perform(i, effects);
    }
    after(node.isObserver     ? kObserverTick
          : node.isController ? kControllerTick
                              : kRouterTick,
          [this, i, incarnation] { tickLoop(i, incarnation); });
  });
}

void World::perform(std::size_t i, control::Effects& effects) {
  auto& node = *nodes_[i];
  if (node.isObserver && !effects.writes.empty()) breakRule(node.name + " has no disk and wants to write");
  for (auto& write : effects.writes) node.unsynced.push_back(std::move(write));
  startCommit(i);
  for (const auto& answer : effects.answers) takeAnswer(i, answer);
  trace(i, effects.log);
  checkConfirmations(i, effects.out);
  checkIsolated(i, effects.out);
  for (const auto id : effects.abortedCalls) node.calls.erase(id);
  for (const auto& call : effects.calls) startCall(i, call);
  deliver(i, std::move(effects.out));
}

void World::perform(std::size_t i, router::RouterEffects& effects) {
  auto& node = *nodes_[i];
  trace(i, effects.log);
  for (auto& event : effects.events) node.table->setSnapshot(node.journal->append(std::move(event)), now_);
  node.table->setLease(node.router->group().leaseUntil());
  for (const auto id : effects.abortedCalls) node.calls.erase(id);
  for (const auto& call : effects.calls) startCall(i, call);
  deliver(i, std::move(effects.out));
}

void World::trace(std::size_t i, const std::vector<base::LogEvent>& events) const {
  static const bool wanted = std::getenv("INDIGOHILL_TRACE") != nullptr;
  if (!wanted) return;
  const auto at = std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count() - 3'600'000;
  for (const auto& event : events) fmt::print("{:>7} {}: {}\n", at, nodes_[i]->name, event.json());
}

std::vector<std::size_t> World::controlNodes() const {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i]->isController) out.push_back(i);
  return out;
}

void World::deliver(std::size_t from, net::Outbox out) {
  for (auto& item : out) {
    const auto to = at(item.to);
    if (!to || cuts_.contains({from, *to})) continue;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < shape_.loss) continue;
    // Through the real encoding, as on the wire.
    auto bytes = net::encode(item.message);
    const auto delay = Millis(1 + random_() % 3 + (random_() % 200 == 0 ? 40 : 0));
    const auto sender = nodes_[from]->peerAddress;
    after(delay, [this, to = *to, incarnation = nodes_[*to]->incarnation, sender, bytes = std::move(bytes)] {
      onNode(to, incarnation, Input::Message, [this, to, sender, bytes] {
        auto message = net::decode(bytes);
        if (const auto* bad = base::errorIn(message)) {
          breakRule("a message of the project's own cannot be read: " + bad->message);
          return;
        }
        if (nodes_[to]->isController) {
          control::Effects effects;
          nodes_[to]->controller->receive(std::get<0>(message), sender, now_, effects);
          perform(to, effects);
        } else {
          router::RouterEffects effects;
          nodes_[to]->router->receive(std::get<0>(message), sender, now_, effects);
          perform(to, effects);
        }
      });
    });
  }
}

std::optional<std::size_t> World::nodeAt(const settings::Endpoint& peerAddress) const { return at(peerAddress); }

std::string World::describe() const {
  std::string out;
  for (const auto& node : nodes_) {
    if (!node->alive) continue;
    out += fmt::format("\n{}{}: {}", node->name, node->frozen ? " (frozen)" : "",
                       (node->isController ? node->controller->group() : node->router->group()).describe(now_));
    if (!node->isController) continue;
    const auto& replica = node->controller->replica();
    if (const auto& record = replica.record())
      out += fmt::format("; voter {}{}, record {}: primary {}, backups {}, voters {}", replica.voterId(),
                         replica.active(now_) ? " acts" : "", record->epoch, record->primary,
                         fmt::join(record->backups, " "), fmt::join(record->voters, " "));
  }
  return out;
}

std::vector<std::size_t> World::copies() const {
  std::vector<std::size_t> out;
  const auto first = active();
  if (!first) return out;
  const auto& record = *nodes_[*first]->controller->replica().record();
  out.push_back(*first);
  for (const auto& backup : record.backups)
    for (std::size_t i = 0; i < shape_.controllers; ++i)
      if (nodes_[i]->alive && nodes_[i]->controller->replica().voterId() == backup) out.push_back(i);
  return out;
}

}  // namespace indigohill::sim
