// What a choice costs: a look-up in the index of kept prompt parts, a ranking and an admission, and the record of an
// answer, on one core, at several numbers of runners. A benchmark and no test: nothing rests on its times.
#include <fmt/format.h>

#include <ctime>
#include <random>

#include "routing/table.hpp"

using namespace indigohill;

namespace {

constexpr std::size_t kPrefixes = 52'000;
constexpr std::size_t kRequests = 200'000;

const char* const kDocument =
    R"({"revision":1,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/","routeType":"streaming",)"
    R"("timeoutMs":9000,"targetLatencyMs":600,"priority":0,"targetService":"engine","maxAttempts":2}],"services":[)"
    R"({"name":"engine","healthCheckPath":"/h","maxConnections":0,"warmupS":0.0,"warmupPerS":0.0,)"
    R"("engine":{"capacitySlots":24,"kvCacheTokens":437458}}],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,)"
    R"("headerTimeoutMs":400,"idleTimeoutMs":2000}})";

kvindex::PromptParts prompt(std::uint64_t prefix, std::uint64_t own) {
  return {{1 + prefix % 19, 400}, {1000 + prefix, 2000}, {1'000'000'000 + own, 3000}};
}

// Processor time, so that what else the machine does counts for little.
double cpuUs() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return 1e6 * static_cast<double>(t.tv_sec) + 1e-3 * static_cast<double>(t.tv_nsec);
}

void measure(std::uint32_t runners) {
  auto now = base::TimePoint(std::chrono::hours(1));
  routing::Table table("z0", {}, 1, now);
  routing::RoutingSnapshot snapshot;
  routing::fold(snapshot, routing::StateReceived{{1, 1},
                                                 std::make_shared<const control::Configuration>(
                                                     std::get<0>(control::parseConfiguration(kDocument))),
                                                 {}});
  std::vector<schema::RunnerEntry> list;
  for (std::uint32_t i = 0; i < runners; ++i)
    list.push_back(
        {fmt::format("i-{:08x}", i * 2654435761u), "engine", fmt::format("z{}", i % 3), i + 1, 80, 24, false, 0});
  routing::fold(snapshot, routing::RunnersReceived{{1, 1}, list, now});
  const auto shown = std::make_shared<const routing::RoutingSnapshot>(snapshot);
  table.setSnapshot(shown, now);
  for (std::uint64_t i = 0; i < kPrefixes; ++i) {
    const auto parts = prompt(i, 0);
    table.stored(table.home("engine", parts), 7, kvindex::PromptView(parts).first(2));
  }
  std::mt19937_64 random(3);
  double choosing = 0, recording = 0;
  std::size_t served = 0;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    now += std::chrono::microseconds(1000);
    routing::RequestProfile request;
    request.route = &shown->configuration->routes.front();
    request.service = "engine";
    request.model = 7;
    request.prompt = prompt(random() % kPrefixes, 1 + i);
    request.promptTokens = 5400;
    request.arrivedAt = now;
    request.deadline = now + std::chrono::seconds(9);
    const auto start = cpuUs();
    auto decision = table.decide(request, now);
    const auto chosen = cpuUs();
    if (auto* to = std::get_if<routing::PassTo>(&decision)) {
      to->admission.onFirstToken(base::Millis(60));
      ++served;
    }
    recording += cpuUs() - chosen;
    choosing += chosen - start;
  }
  const auto state = table.indexState();
  fmt::print("{:>4} runners: choice {:6.2f} us, record {:5.2f} us; {} blocks in {:.1f} MB, {} hits of {} served\n",
             runners, choosing / kRequests, recording / kRequests, state.blocks,
             static_cast<double>(state.bytes) / (1 << 20), state.counters.hits, served);
}

}  // namespace

int main() {
  for (const auto runners : {9u, 89u, 600u}) measure(runners);
}
