// Crowds of clients that do not behave, at each listener of real daemons: the process lives within its memory and
// descriptors, and one ordinary request is answered afterwards, while the crowd's connections are still open.
#include <thread>

#include "crowd.hpp"
#include "emulator/configuration_document.hpp"
#include "emulator/operator.hpp"
#include "emulator/payload.hpp"
#include "emulator/platform.hpp"
#include "emulator/timeline.hpp"
// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;
using namespace indigohill::tests;
using emulator::Role;
using http::wire::verb;

namespace {

constexpr std::size_t kMemoryMb = 48, kDescriptors = 256;
constexpr std::size_t kMebibyte = 1u << 20;
constexpr std::size_t kRouteBodyBytes = kMebibyte;  // the most that the emulator's configuration allows
constexpr std::size_t kBodies = 100;                // of that size: twice the memory
constexpr std::size_t kServerBodyBytes = 7 * kMebibyte, kServerBodies = 16;
constexpr std::size_t kTrailerBytes = 40 * kMebibyte, kTrailerClients = 4;
constexpr std::size_t kConnections = 400;
constexpr std::uint16_t kRouterMetricsPort = 61801, kControllerMetricsPort = 61802;
const std::string kRouteTarget = "/check/ordinary";

// A router and a controller as processes of their own, before a platform and a runner in this one.
class SmallFleet {
 public:
  SmallFleet()
      : router_(launch(Role::Router, kRouterMetricsPort)),
        controller_(launch(Role::Controller, kControllerMetricsPort)) {
    platform_->add(emulator::kPlainService, false);
    platform_->start();
    http::asio::co_spawn(io_, declare(), http::asio::detached);
    standIns_ = std::thread([this] { io_.run(); });
    cr_assert(router_->hasStarted() && controller_->hasStarted());
    const auto until = base::Clock::now() + kPatience;
    while (ordinaryStatus() != 200 && base::Clock::now() < until) std::this_thread::yield();
  }
  ~SmallFleet() {
    io_.stop();
    standIns_.join();
  }
  SmallFleet(const SmallFleet&) = delete;
  SmallFleet& operator=(const SmallFleet&) = delete;

  unsigned ordinaryStatus() const {
    return statusOf(network.frontend(0), verb::post, kRouteTarget, emulator::requestBody("ordinary"));
  }
  settings::Endpoint metrics(Role role) const {
    return {network.frontend(0).ip, role == Role::Router ? kRouterMetricsPort : kControllerMetricsPort};
  }
  // What holds of a process at all times.
  void assertSound(Role role) {
    auto& daemon = role == Role::Router ? *router_ : *controller_;
    cr_assert(daemon.runs(), "%s", daemon.output().c_str());
    cr_expect_leq(daemon.peakMemoryMb(), kMemoryMb, "%zu MB", daemon.peakMemoryMb());
    cr_expect_leq(daemon.descriptors(), kDescriptors, "%zu descriptors", daemon.descriptors());
  }

  const emulator::Network network = emulator::freeNetwork();

 private:
  std::unique_ptr<Daemon> launch(Role role, std::uint16_t metricsPort) {
    const auto path = folder_.file(emulator::nameOf(role));
    writeFile(path, settingsOf(role, network, folder_) +
                        fmt::format("limits.memoryMb={}\nlimits.maxOpenFiles={}\n", kMemoryMb, kDescriptors));
    return std::make_unique<Daemon>(std::vector<std::string>{INDIGOHILL_PROGRAM, emulator::nameOf(role), "--settings",
                                                             path, "--metrics-port", std::to_string(metricsPort)});
  }
  http::asio::awaitable<void> declare() { co_await operator_->declareFirst(kPatience); }

  const TestFolder folder_;
  emulator::Experiment experiment_ = [] {
    emulator::Experiment out;
    out.controllers = 1;
    return out;
  }();
  emulator::Records records_;
  emulator::Timeline timeline_{folder_.file("timeline")};
  http::asio::io_context io_;
  std::shared_ptr<emulator::Platform> platform_ =
      std::make_shared<emulator::Platform>(io_.get_executor(), experiment_, network, records_);
  std::shared_ptr<emulator::Operator> operator_ =
      std::make_shared<emulator::Operator>(io_.get_executor(), experiment_, network, records_, timeline_, 1);
  std::unique_ptr<Daemon> router_, controller_;
  std::thread standIns_;
};

void crowdAtRoutes(std::size_t connections, const CrowdRequest& request) {
  SmallFleet fleet;
  const Crowd crowd(fleet.network.frontend(0), connections, request);
  fleet.assertSound(Role::Router);
  cr_expect_eq(fleet.ordinaryStatus(), 200u);
  fleet.assertSound(Role::Router);
}

// A listener beside traffic, and an ordinary call there.
struct Listener {
  Role role;
  settings::Endpoint at;
  verb method;
  std::string target;
  unsigned status;
};

std::vector<Listener> listenersOf(const SmallFleet& fleet) {
  const auto& network = fleet.network;
  return {{Role::Router, network.readiness(0), verb::get, "/v1/readiness", 200},
          {Role::Router, fleet.metrics(Role::Router), verb::get, "/metrics", 200},
          {Role::Router, network.peer(Role::Router, 0), verb::post, "/cohort", 204},
          {Role::Controller, network.controlPlane(0), verb::get, "/v1/Configuration.Describe", 200},
          {Role::Controller, fleet.metrics(Role::Controller), verb::get, "/metrics", 200},
          {Role::Controller, network.peer(Role::Controller, 0), verb::post, "/cohort", 204}};
}

void crowdAtListeners(std::size_t connections, const std::function<CrowdRequest(const std::string& target)>& request) {
  SmallFleet fleet;
  for (const auto& listener : listenersOf(fleet)) {
    const Crowd crowd(listener.at, connections, request(listener.target));
    fleet.assertSound(listener.role);
    const auto status = statusOf(listener.at, listener.method, listener.target);
    cr_expect_eq(status, listener.status, "%u at %s", status, listener.target.c_str());
  }
  cr_expect_eq(fleet.ordinaryStatus(), 200u);
}

}  // namespace

Test(client_crowds, trailers_without_end_stay_within_a_routers_memory) {
  crowdAtRoutes(kTrailerClients, trailerRequest(kRouteTarget, kTrailerBytes));
}

Test(client_crowds, whole_bodies_that_stop_short_stay_within_a_routers_memory) {
  crowdAtRoutes(kBodies, lengthRequest(kRouteTarget, kRouteBodyBytes, kRouteBodyBytes - kLastBytes));
}

Test(client_crowds, bodies_in_pieces_that_stop_short_stay_within_a_routers_memory) {
  crowdAtRoutes(kBodies, lengthRequest(kRouteTarget, kRouteBodyBytes, 8192));
}

Test(client_crowds, large_chunks_that_stop_short_stay_within_a_routers_memory) {
  crowdAtRoutes(kBodies, chunkedRequest(kRouteTarget, kRouteBodyBytes, 65536, 1));
}

Test(client_crowds, small_chunks_that_stop_short_stay_within_a_routers_memory) {
  crowdAtRoutes(kBodies, chunkedRequest(kRouteTarget, kRouteBodyBytes, 16, 512));
}

Test(client_crowds, heads_that_have_begun_leave_a_router_its_descriptors) {
  crowdAtRoutes(kConnections, headRequest(kRouteTarget));
}

Test(client_crowds, trailers_without_end_stay_within_memory_at_each_listener) {
  crowdAtListeners(kTrailerClients, [](const std::string& target) { return trailerRequest(target, kTrailerBytes); });
}

Test(client_crowds, bodies_that_stop_short_stay_within_memory_at_each_listener) {
  crowdAtListeners(kServerBodies,
                   [](const std::string& target) { return lengthRequest(target, kServerBodyBytes, 65536); });
}

Test(client_crowds, chunks_that_stop_short_stay_within_memory_at_each_listener) {
  crowdAtListeners(kServerBodies,
                   [](const std::string& target) { return chunkedRequest(target, kServerBodyBytes, 16, 512); });
}

Test(client_crowds, heads_that_have_begun_leave_descriptors_at_each_listener) {
  crowdAtListeners(kConnections, headRequest);
}
