#include "router/runner_watch.hpp"

#include <algorithm>

namespace indigohill::router {

using base::LogEvent;
using base::Millis;

namespace {

LogEvent eventOf(const char* name, const std::string& instanceId, base::TimePoint listedAt, base::TimePoint now) {
  return LogEvent(name)
      .with("runner", instanceId)
      .with("listedForMs", std::chrono::duration_cast<Millis>(now - listedAt).count());
}

}  // namespace

std::vector<LogEvent> RunnerWatch::onList(const std::vector<schema::RunnerEntry>& runners, base::TimePoint now) {
  std::vector<LogEvent> events;
  for (auto& [id, state] : runners_) state.listed = false;
  for (const auto& entry : runners) {
    const auto [found, added] = runners_.try_emplace(entry.instanceId);
    auto& state = found->second;
    state.listed = true;
    if (added) {
      state.listedAt = now;
      events.push_back(LogEvent("runner_listed")
                           .with("runner", entry.instanceId)
                           .with("service", entry.service)
                           .with("zone", entry.zone)
                           .with("warmupLeftMs", entry.warmupLeftMs));
    }
    // As the routing table counts it: from when the list came.
    if (entry.warmupLeftMs > 0) {
      state.warming = true;
      state.warmAt = std::max(state.warmAt, now + Millis(entry.warmupLeftMs));
    }
    if (entry.draining && !state.draining)
      events.push_back(eventOf("runner_draining", entry.instanceId, state.listedAt, now));
    state.draining = entry.draining;
  }
  for (const auto& [id, state] : runners_)
    if (!state.listed) events.push_back(eventOf("runner_delisted", id, state.listedAt, now));
  std::erase_if(runners_, [](const auto& item) { return !item.second.listed; });
  return events;
}

std::vector<LogEvent> RunnerWatch::tick(base::TimePoint now) {
  std::vector<LogEvent> events;
  for (auto& [id, state] : runners_) {
    if (!state.warming || now < state.warmAt) continue;
    state.warming = false;
    events.push_back(eventOf("runner_warm", id, state.listedAt, now));
  }
  return events;
}

}  // namespace indigohill::router
