#pragma once
#include <functional>

#include "http/resource_limiter.hpp"

// Waiting, for a moment, while stalled connections are given up for memory that somebody wants.
namespace indigohill::http {

// Whether the memory is held. `first`: what was said when it was asked for first; `ask` asks again.
asio::awaitable<bool> awaitRoom(Room first, std::function<Room()> ask);

// Whether the connection holds so many bytes for this now; see ResourceLimiter::Connection::hold.
asio::awaitable<bool> awaitRoom(ResourceLimiter::Connection& connection, MemoryKind kind, std::uint64_t bytes);

}  // namespace indigohill::http
