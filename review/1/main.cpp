// Two of a zone's three routers get SIGTERM, 1.3 s apart. Streams that they take up later than 3 s after their SIGTERM
// are to end whole, or to be refused before they run.
#include "../standins/fleet.hpp"

namespace review {

namespace {

constexpr std::int64_t kTimeoutMs = 3000, kGraceMs = 8000, kTakenLateMs = 3000, kDeadlineMarginMs = 50;
constexpr int kRounds = 3, kEvents = 15;
constexpr Ms kEventGap{195}, kCalm{4000};  // calm: longer than contactMs
constexpr const char* kZone = "aarhus-a";

struct Run {
  std::string runner;
  bool whole = false, brokenByCaller = false;
};

struct Try {
  std::string id, machine, error;
  std::int64_t sentAt = 0, endedAt = 0;
  int status = 0;
  bool complete = false;
};

class Case {
 public:
  Case(asio::io_context& io, Record& record, Fleet& fleet) : io_(io), record_(record), fleet_(fleet) {}

  asio::awaitable<int> run() {
    fleet_.addMachine("edge-aarhus-a-1", kZone, true, true);
    fleet_.addMachine("edge-aarhus-a-2", kZone, false, true);
    fleet_.addMachine("edge-aarhus-a-3", kZone, false, false);
    fleet_.addMachine("edge-aarhus-b-1", "aarhus-b", true, true);
    fleet_.addMachine("edge-vejle-1", "vejle", true, true);
    for (std::size_t i = 0; i < kRunners; ++i) addRunner(i);
    fleet_.startPlatform();
    fleet_.startAll();
    const auto configured = co_await fleet_.order(http::verb::post, "/v1/Configuration.Replace", configuration(), "0",
                                                  std::chrono::seconds(20));
    const bool ready = co_await waitFor([this] { return fleet_.allIn(); }, std::chrono::seconds(20));
    if (configured.status != 200 || !ready) co_return kCannotRun;
    asio::co_spawn(io_, traffic(), asio::detached);
    asio::co_spawn(io_, restartEnded(), asio::detached);
    for (int round = 0; round < kRounds; ++round) {
      co_await pause(kCalm);
      if (isTroubleWanted()) terminate("edge-aarhus-a-2");
      co_await pause(Ms(1300));
      if (isTroubleWanted()) terminate("edge-aarhus-a-3");
      co_await pause(Ms(kGraceMs + 1000));
      if (!co_await waitFor([this] { return fleet_.allIn(); }, std::chrono::seconds(10))) co_return kCannotRun;
    }
    stopped_ = true;
    co_await pause(Ms(kTimeoutMs + 1000));
    co_return judge();
  }

 private:
  static constexpr std::size_t kRunners = 4;

  static std::string configuration() {
    return R"({"revision":5,"routes":[{"name":"r-klausul","hostname":"ordbro.example","pathPrefix":"/klausul/",)"
           R"("routeType":"streaming","timeoutMs":3000,"targetLatencyMs":800,"priority":1,"targetService":"oversaet",)"
           R"("maxAttempts":1,"sessionAffinity":true,"resumable":false,"tokenGapMs":400}],"services":[{"name":"oversaet",)"
           R"("healthCheckPath":"/health","maxConnections":650,"protocol":"h1","tlsEnabled":false,"warmupS":0.0,)"
           R"("warmupPerS":0.0,"engine":{"capacitySlots":128,"kvCacheTokens":729140,"kvTokenBytes":18432,)"
           R"("bandwidthMbps":370000.0,"stride":6,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  }

  void addRunner(std::size_t index) {
    const auto id = "i-" + std::to_string(index);
    fleet_.runners.push_back({id, "oversaet", fleet_.runnerAddress(index), kZone, 128});
    std::make_shared<Server>(io_, fleet_.runnerAddress(index), kRunnerPort,
                             [this, id](tcp::socket& socket, Request& request) { return serve(socket, request, id); })
        ->start();
  }

  // A stream of 15 events, each 195 ms after the one before: within the client's time and the longest pause.
  asio::awaitable<bool> serve(tcp::socket& socket, Request& request, const std::string& id) {
    const std::string attempt(request["Indigohill-Attempt-Id"]);
    if (request["Indigohill-Target-Instance"] != id) co_return co_await reply(socket, request, 421, "");
    auto& run = runs_[attempt];
    run.runner = id;
    record_.line("runner " + id + " runs " + attempt + ", time remaining " +
                 std::string(request["Indigohill-Time-Remaining"]));
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "Indigohill-Attempt-Id: " +
        attempt + "\r\nIndigohill-Response-Seal: " + id + "." + attempt + "\r\n\r\n";
    std::string text = head;
    asio::steady_timer next(io_, Clock::now());
    for (int event = 1; event <= kEvents; ++event) {
      next.expires_at(next.expiry() + kEventGap);
      co_await next.async_wait(kTuple);
      const auto data = "id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n";
      std::ostringstream chunk;
      chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
      text += chunk.str();
      if (event == kEvents) text += "0\r\n\r\n";
      auto [error, bytes] = co_await asio::async_write(socket, asio::buffer(text), kTuple);
      text.clear();
      if (error) {
        run.brokenByCaller = true;
        record_.line("runner " + id + ": the caller has broken off " + attempt + " before event " +
                     std::to_string(event) + " of " + std::to_string(kEvents));
        co_return false;
      }
    }
    run.whole = true;
    co_return true;
  }

  asio::awaitable<void> restartEnded() {
    for (;;) {
      co_await pause(Ms(500));
      fleet_.reap(true);
    }
  }

  asio::awaitable<void> traffic() {
    for (int number = 0; !stopped_; ++number) {
      asio::co_spawn(io_, client(number), asio::detached);
      co_await pause(Ms(12));
    }
  }

  // One try on a new connection, to a daemon that the platform picks.
  asio::awaitable<void> client(int number) {
    const auto entries = fleet_.entries(kZone);
    if (entries.empty()) co_return;
    Try made;
    made.machine = entries[random_() % entries.size()]->name;
    made.id = "c" + std::to_string(number);
    Request request(http::verb::post, "/klausul/" + made.id, 11);
    request.set(http::field::host, "ordbro.example");
    request.set("Indigohill-Attempt-Id", made.id);
    request.set("Indigohill-Time-Remaining", std::to_string(kTimeoutMs));
    request.set("Indigohill-Model", "m");
    request.set("Indigohill-Token-Usage", "600,80");
    request.body() = "clause " + made.id;
    made.sentAt = record_.now();
    std::string address;
    for (const auto& machine : fleet_.machines())
      if (machine.name == made.machine) address = machine.address;
    const auto answer = co_await call(address, kFrontend, std::move(request), Ms(kTimeoutMs + 800));
    made.endedAt = record_.now();
    made.status = answer.status;
    made.complete = answer.status != 0;
    made.error = answer.error;
    record_.line("client " + made.id + " sent at " + std::to_string(made.sentAt) + " to " + made.machine +
                 (made.complete ? " -> " + std::to_string(made.status) : " -> no complete answer: " + made.error));
    tries_.push_back(made);
  }

  void terminate(const std::string& machine) {
    terminatedAt_[machine].push_back(record_.now());
    fleet_.signalTo(machine, "router", SIGTERM);
    fleet_.signalTo(machine, "controller", SIGTERM);
  }

  // When the machine got the last SIGTERM before the request was sent; -1: none yet.
  std::int64_t lastTermBefore(const Try& made) const {
    std::int64_t out = -1;
    const auto found = terminatedAt_.find(made.machine);
    if (found == terminatedAt_.end()) return out;
    for (const auto at : found->second)
      if (at < made.sentAt) out = at;
    return out;
  }

  // LOST: around the SIGTERM, a request that was passed on to a runner ends without a complete answer. Left out: the
  // runner broke off, the deadline was reached, or the request was sent no later than 3 s after the SIGTERM.
  int judge() {
    std::map<int, int> statuses;
    int lost = 0, late = 0;
    for (const auto& made : tries_) {
      ++statuses[made.status];
      const auto terminated = lastTermBefore(made);
      const bool afterTerm = terminated >= 0;
      const bool sentLate = afterTerm && made.sentAt > terminated + kTakenLateMs;
      if (sentLate && made.sentAt <= terminated + kGraceMs) ++late;
      if (made.complete) continue;
      const auto run = runs_.find(made.id);
      const bool atRunner = run != runs_.end() && !run->second.whole;
      const bool deadline = made.endedAt >= made.sentAt + kTimeoutMs - kDeadlineMarginMs;
      const bool excused = afterTerm && !sentLate;
      const bool planned = !isTroubleWanted() || (afterTerm && made.endedAt <= terminated + kGraceMs + 1000);
      if (!atRunner || deadline || excused || !planned) continue;
      ++lost;
      record_.line("LOST " + made.id + " at " + made.machine + ", sent " +
                   (afterTerm ? std::to_string(made.sentAt - terminated) + " ms after its SIGTERM, " : "") +
                   "cut after " + std::to_string(made.endedAt - made.sentAt) + " of " + std::to_string(kTimeoutMs) +
                   " ms: " + made.error);
    }
    for (const auto& [status, count] : statuses)
      record_.line("tries that ended with " + (status == 0 ? "no complete answer" : std::to_string(status)) + ": " +
                   std::to_string(count));
    record_.line("tries sent to a leaving router later than 3 s after its SIGTERM: " + std::to_string(late));
    record_.line("lost: " + std::to_string(lost));
    std::cout << "tries " << tries_.size() << ", sent late " << late << ", lost " << lost << "\n";
    if (statuses[200] == 0 || (isTroubleWanted() && late == 0)) return kCannotRun;
    return lost > 0 ? kBroken : kHeld;
  }

  asio::io_context& io_;
  Record& record_;
  Fleet& fleet_;
  std::map<std::string, Run> runs_;
  std::vector<Try> tries_;
  std::map<std::string, std::vector<std::int64_t>> terminatedAt_;
  std::mt19937 random_{7};
  bool stopped_ = false;
};

}  // namespace

}  // namespace review

int main(int count, char** values) {
  std::unique_ptr<review::Case> played;
  return review::runScript(count > 1 ? values[1] : ".", [&](auto& io, auto& record, auto& fleet) {
    played = std::make_unique<review::Case>(io, record, fleet);
    return played->run();
  });
}
