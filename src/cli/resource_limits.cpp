#include "cli/resource_limits.hpp"

#include <algorithm>

namespace indigohill::cli {

namespace {

constexpr std::uint64_t kMebibyte = 1u << 20;
constexpr std::uint64_t kBytesPerConnection = 32u << 10;  // small buffers, coroutines and what the kernel keeps
constexpr std::size_t kLeastConnections = 16;
constexpr std::uint64_t kMaxQuestionBytes = 1024;  // of a body where none is wanted

// Descriptors that are not for connections of others: files, listeners, own calls to other daemons.
constexpr std::size_t kReservedDescriptors = 200;
constexpr std::size_t kLeastReservedPart = 4;

// Shares of the memory.
constexpr std::uint64_t kBodyMemoryPart = 4, kControlBodyMemoryPart = 8;
constexpr std::uint64_t kPeerMemoryPercent = 30;

// The share of a listener's connections.
struct ConnectionShare {
  std::size_t descriptorParts = 0, descriptorsOf = 16;  // of the descriptors
  std::uint64_t memoryPart = 1;                         // of the memory one part in so many
};
// A router's requests take a descriptor for the client and one for the runner.
constexpr ConnectionShare kClients{6, 16, 4}, kRunners{6, 16, 1};
constexpr ConnectionShare kControl{4, 16, 8}, kPeers{2, 16, 8}, kReadiness{1, 16, 16};

std::size_t connectionsOf(const settings::Settings& settings, const ConnectionShare& share) {
  const auto reserved = std::min(kReservedDescriptors, settings.maxOpenFiles / kLeastReservedPart);
  const auto byDescriptors = (settings.maxOpenFiles - reserved) * share.descriptorParts / share.descriptorsOf;
  const auto byMemory = settings.memoryMb * kMebibyte / share.memoryPart / kBytesPerConnection;
  return std::max<std::size_t>(kLeastConnections, std::min<std::size_t>(byDescriptors, byMemory));
}

}  // namespace

std::shared_ptr<http::MemoryBudget> peerMemory(const settings::Settings& settings) {
  const auto megabytes = settings.peerMemoryMb;
  return std::make_shared<http::MemoryBudget>(
      megabytes != 0 ? megabytes * kMebibyte : settings.memoryMb * kMebibyte * kPeerMemoryPercent / 100);
}

proxy::ProxyLimits proxyLimits(const settings::Settings& settings) {
  proxy::ProxyLimits out;
  out.clients.connections =
      settings.clientConnections != 0 ? settings.clientConnections : connectionsOf(settings, kClients);
  out.clients.bodyBytes =
      settings.bodyMemoryMb != 0 ? settings.bodyMemoryMb * kMebibyte : settings.memoryMb * kMebibyte / kBodyMemoryPart;
  out.runnerConnections = std::max(out.clients.connections, connectionsOf(settings, kRunners));
  return out;
}

http::Server::Limits controlLimits(const settings::Settings& settings) {
  http::Server::Limits out;
  out.clients.connections = connectionsOf(settings, kControl);
  out.clients.bodyBytes = std::max(out.bodyBytes, settings.memoryMb * kMebibyte / kControlBodyMemoryPart);
  return out;
}

http::Server::Limits readinessLimits(const settings::Settings& settings) {
  http::Server::Limits out;
  out.bodyBytes = kMaxQuestionBytes;
  out.clients.connections = connectionsOf(settings, kReadiness);
  out.clients.bodyBytes = out.clients.connections * kMaxQuestionBytes;
  return out;
}

std::size_t peerConnections(const settings::Settings& settings) { return connectionsOf(settings, kPeers); }

}  // namespace indigohill::cli
