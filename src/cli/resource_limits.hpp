#pragma once
#include <memory>

#include "http/server.hpp"
#include "proxy/proxy_state.hpp"
#include "settings/settings.hpp"

// How a daemon divides the memory and the descriptors that its settings give it (`limits`) among its listeners. The
// defaults and what a client gets at each bound: docs/operations.md, "Limits".
namespace indigohill::cli {

// The memory that the peers of all listeners may hold together.
std::shared_ptr<http::MemoryBudget> peerMemory(const settings::Settings& settings);
// What a router's traffic may take.
proxy::ProxyLimits proxyLimits(const settings::Settings& settings);
// Of the listeners beside traffic: operators' calls, the platform's questions, messages between daemons.
http::Server::Limits controlLimits(const settings::Settings& settings);
http::Server::Limits readinessLimits(const settings::Settings& settings);
std::size_t peerConnections(const settings::Settings& settings);

}  // namespace indigohill::cli
