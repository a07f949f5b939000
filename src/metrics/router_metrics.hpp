#pragma once
#include <string>

#include "base/time.hpp"
#include "proxy/executor.hpp"
#include "router/router_core.hpp"
#include "routing/table.hpp"

namespace indigohill::metrics {

// What a router tells: its group, its requests and attempts, its runners. On the strand of the core.
std::string routerMetrics(const router::RouterCore& core, const routing::Table& table, const proxy::Executor& executor,
                          std::uint64_t droppedMessages, base::TimePoint now);

}  // namespace indigohill::metrics
