#include "http/resource_limiter.hpp"

#include <boost/asio/io_context.hpp>
#include <list>
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using http::ResourceLimiter;
using Room = ResourceLimiter::Room;
using base::Millis;

namespace {

constexpr std::uint64_t kSmall = 1u << 10, kLarge = 1u << 20;
constexpr ResourceLimiter::Limits kFourLarge{2, 4 * kLarge};

// A listener's clients; each is waited for from the start.
struct Clients {
  boost::asio::io_context io;
  ResourceLimiter limiter{kFourLarge};
  std::list<http::beast::tcp_stream> streams;
  std::list<ResourceLimiter::Connection> connections;
  base::TimePoint now{};

  ResourceLimiter::Connection& connect() {
    auto& connection = connections.emplace_back(limiter, streams.emplace_back(io));
    connection.beginWait(now);
    return connection;
  }
  // The bytes have come, and the rest is waited for.
  Room receive(ResourceLimiter::Connection& connection, std::uint64_t bytes) {
    cr_assert(!connection.endWait(false));
    const auto room = connection.holdBody(bytes, now);
    connection.beginWait(now);
    return room;
  }
};

}  // namespace

Test(resource_limiter, a_single_body_has_room_whatever_its_size) {
  Clients clients;
  cr_assert(clients.receive(clients.connect(), 100 * kLarge) == Room::Held);
  cr_assert_eq(clients.limiter.counts().bodyBytes, 100 * kLarge);
}

Test(resource_limiter, large_bodies_leave_room_for_small_ones) {
  Clients clients;
  cr_assert(clients.receive(clients.connect(), 3 * kLarge) == Room::Held);
  cr_assert(clients.receive(clients.connect(), kLarge) == Room::None);
  cr_assert(clients.receive(clients.connect(), kSmall) == Room::Held);
}

Test(resource_limiter, what_is_released_is_free_again) {
  Clients clients;
  clients.connect();
  cr_assert(clients.receive(clients.connections.back(), 3 * kLarge) == Room::Held);
  clients.connections.back().releaseBody();
  cr_assert(clients.receive(clients.connect(), 3 * kLarge) == Room::Held);
  clients.connections.clear();
  cr_assert_eq(clients.limiter.counts().bodyBytes, 0u);
}

Test(resource_limiter, a_body_that_has_stalled_gives_way_and_one_that_flows_does_not) {
  Clients clients;
  auto& stalls = clients.connect();
  auto& flows = clients.connect();
  auto& newcomer = clients.connect();
  cr_assert(clients.receive(stalls, kLarge) == Room::Held);
  cr_assert(clients.receive(flows, kLarge) == Room::Held);
  cr_assert(clients.receive(newcomer, 2 * kLarge) == Room::None);
  clients.now += Millis(600);
  cr_assert(clients.receive(flows, kLarge + kSmall) == Room::Held);
  cr_assert(clients.receive(newcomer, 2 * kLarge - kSmall) == Room::Later);
  cr_assert(stalls.endWait(true));
  cr_assert(!flows.endWait(true));
  stalls.releaseBody();
  cr_assert(clients.receive(newcomer, 2 * kLarge - kSmall) == Room::Held);
}

Test(resource_limiter, a_body_that_drips_gives_way) {
  Clients clients;
  auto& drips = clients.connect();
  cr_assert(clients.receive(drips, 2 * kLarge) == Room::Held);
  clients.now += Millis(60000);
  cr_assert(clients.receive(drips, 2 * kLarge + 1) == Room::Held);
  cr_assert(clients.receive(clients.connect(), 2 * kLarge) == Room::Later);
  cr_assert(drips.endWait(true));
}

Test(resource_limiter, one_more_connection_takes_the_place_of_the_one_that_keeps_waiting_longest) {
  Clients clients;
  cr_assert(clients.limiter.admit() && clients.limiter.admit());
  auto& first = clients.connect();
  clients.now += Millis(10);
  auto& second = clients.connect();
  cr_assert(clients.limiter.admit());
  cr_assert(first.endWait(true) && !second.endWait(true));
}

Test(resource_limiter, requests_in_progress_are_not_given_up_for_a_new_connection) {
  Clients clients;
  cr_assert(clients.limiter.admit() && clients.limiter.admit());
  for (int i = 0; i < 2; ++i) cr_assert(!clients.connect().endWait(false));
  cr_assert(!clients.limiter.admit());
  cr_assert_eq(clients.limiter.counts().refusedConnections, 1u);
}

Test(resource_limiter, an_eviction_that_comes_too_late_is_called_off) {
  Clients clients;
  cr_assert(clients.limiter.admit() && clients.limiter.admit());
  auto& first = clients.connect();
  clients.connect();
  cr_assert(clients.limiter.admit());
  cr_assert(!first.endWait(false));
  clients.io.run();
  cr_assert(!first.endWait(true));
}
