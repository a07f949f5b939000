// The duties of the simulated world: its platform, and the requests that routers see and count.
#include <fmt/format.h>

#include "sim/world.hpp"

namespace indigohill::sim {

using base::Millis;

namespace {

constexpr Millis kConnectTime{1}, kWayToPlatform{1};
constexpr std::int64_t kEpochMs = 1'767'225'600'000;  // the simulated time of day at the start

}  // namespace

std::int64_t World::unixMs() const { return kEpochMs + base::toMs(now_) - 3'600'000; }

duties::Setup World::dutySetup(const Node& node) const {
  duties::Setup setup;
  setup.options.lease = lease::Times::within(kForbidden);
  setup.options.reportsUsage = setup.options.scales = shape_.duties;
  setup.options.usageDelay = kUsageDelay;
  setup.usageWindow = kUsageWindow;
  setup.startedAt = now_;
  setup.wallMs = unixMs() + node.clockStepMs;
  return setup;
}

// A call takes a moment to connect, in which its machine may stand still. Right before it is sent it is asked once more
// whether it may be.
void World::startCall(std::size_t i, const duties::PlatformCall& call) {
  auto& node = *nodes_[i];
  node.calls.insert(call.id);
  const auto incarnation = node.incarnation;
  after(kConnectTime, [this, i, incarnation, call] {
    onNode(i, incarnation, Input::Message, [this, i, incarnation, call] {
      if (!nodes_[i]->calls.contains(call.id)) return;
      const bool may =
          nodes_[i]->isController ? nodes_[i]->controller->mayCall(call, now_) : nodes_[i]->router->mayCall(call, now_);
      if (!may) {
        endCall(i, call.id, duties::CallOutcome::NoAnswer);
        return;
      }
      after(kWayToPlatform, [this, i, incarnation, call] { arriveAtPlatform(i, incarnation, call); });
      // Closed at the end of its time, whatever has become of it.
      after(std::chrono::duration_cast<Millis>(call.notAfter - now_), [this, i, incarnation, id = call.id] {
        onNode(i, incarnation, Input::Timer, [this, i, id] { endCall(i, id, duties::CallOutcome::NoAnswer); });
      });
    });
  });
}

void World::arriveAtPlatform(std::size_t i, std::uint64_t incarnation, const duties::PlatformCall& call) {
  if (nodes_[i]->offPlatform) return;
  const auto outcome = dutyPlatform.receive(call, now_);
  const bool answerLost = std::uniform_real_distribution<double>(0, 1)(random_) < shape_.platformAnswerLoss;
  if (!outcome || answerLost) return;
  after(kWayToPlatform, [this, i, incarnation, id = call.id, outcome = *outcome] {
    onNode(i, incarnation, Input::Message, [this, i, id, outcome] { endCall(i, id, outcome); });
  });
}

void World::endCall(std::size_t i, std::uint64_t id, duties::CallOutcome outcome) {
  auto& node = *nodes_[i];
  if (node.calls.erase(id) == 0) return;
  if (node.isController) {
    control::Effects effects;
    node.controller->onCallEnded(id, outcome, now_, effects);
    perform(i, effects);
  } else {
    router::RouterEffects effects;
    node.router->onCallEnded(id, outcome, now_, effects);
    perform(i, effects);
  }
}

void World::beginRequests(std::size_t router, const std::string& tenant, std::uint64_t requests) {
  auto& node = *nodes_[router];
  if (!node.alive || node.frozen) return;
  began[windowNow()][tenant] += requests;
  node.counted.push_back({node.router->windowClock().windowAt(now_), tenant, requests});
}

std::uint64_t World::windowNow() const { return static_cast<std::uint64_t>(unixMs() / kUsageWindow.count()); }

std::vector<std::size_t> World::dutyHolders(const lease::Subject& subject) const {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]->alive) continue;
    const auto& agent = nodes_[i]->isController ? nodes_[i]->controller->duties() : nodes_[i]->router->duties();
    if (agent.isHolder(subject, now_)) out.push_back(i);
  }
  return out;
}

// No two daemons may perform a duty at the same time, though one of them may be asleep.
void World::checkDuties() {
  if (!shape_.duties) return;
  std::map<lease::Subject, std::string> holders;
  for (const auto& node : nodes_) {
    if (!node->alive) continue;
    const auto& agent = node->isController ? node->controller->duties() : node->router->duties();
    for (const auto& lease : agent.table().leases) {
      const auto subject = lease::subjectOf(lease);
      if (!agent.isHolder(subject, now_)) continue;
      const auto [first, isFirst] = holders.emplace(subject, node->name);
      if (!isFirst && first->second != node->name)
        breakRule(fmt::format("{} and {} both hold {} {}", first->second, node->name, lease::nameOf(subject.duty),
                              subject.name));
    }
  }
}

}  // namespace indigohill::sim
