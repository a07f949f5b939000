#pragma once
#include "base/time.hpp"
#include "duties/agent.hpp"
#include "feed/publisher.hpp"
#include "membership/group.hpp"
#include "metrics/exposition.hpp"

// The figures that both roles have.
namespace indigohill::metrics {

// The view, its members, the lease.
void addGroup(Exposition& out, const membership::Group& group, base::TimePoint now);
// The configuration and the list of runners, their versions and how old they are.
void addUpdates(Exposition& out, const feed::Publisher& publisher, base::TimePoint now);
// Duties at the platform: what is held here, and how calls ended.
void addDuties(Exposition& out, const duties::Agent& agent, base::TimePoint now);
// The build, unreadable messages, and violations of invariants.
void addProcess(Exposition& out, std::uint64_t droppedMessages);

}  // namespace indigohill::metrics
