// One of seven servers fails a part of its requests, some with 500 and some with 425 (Too Early, RFC 8470). Clients are
// to get the status that the server gave.
#include "../standins/fleet.hpp"

namespace review {

namespace {

struct Try {
  std::string id, machine;
  std::int64_t sentAt = 0;
  Answer answer;
};

class Case {
 public:
  Case(asio::io_context& io, Record& record, Fleet& fleet) : io_(io), record_(record), fleet_(fleet) {}

  asio::awaitable<int> run() {
    fleet_.addMachine("edge-aarhus-a-1", "aarhus-a", true, true);
    fleet_.addMachine("edge-aarhus-b-1", "aarhus-b", true, true);
    fleet_.addMachine("edge-vejle-1", "vejle", true, true);
    for (std::size_t i = 0; i < kServers; ++i) addRunner(i);
    fleet_.startPlatform();
    fleet_.startAll();
    const auto first = co_await fleet_.order(http::verb::post, "/v1/Configuration.Replace", configuration(), "0",
                                             std::chrono::seconds(20));
    const bool ready = co_await waitFor([this] { return fleet_.allIn(); }, std::chrono::seconds(20));
    if (first.status != 200 || !ready) co_return kCannotRun;
    co_await pause(Ms(4000));  // calm for longer than contactMs
    asio::co_spawn(io_, traffic(), asio::detached);
    co_await pause(Ms(3000));
    grey_ = isTroubleWanted();
    co_await pause(Ms(5000));
    grey_ = false;
    co_await pause(Ms(2000));
    stopped_ = true;
    co_await pause(Ms(2000));
    co_return judge();
  }

 private:
  static constexpr std::size_t kServers = 7;  // one of them is a share of 0.143

  static std::string configuration() {
    return R"({"revision":5,"routes":[{"name":"r-booking","hostname":"ordbro.example","pathPrefix":"/booking/",)"
           R"("routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,)"
           R"("targetService":"arbejdsbord","maxAttempts":2,"sessionAffinity":false,"resumable":false}],)"
           R"("services":[{"name":"arbejdsbord","healthCheckPath":"/health","maxConnections":130,"protocol":"h1",)"
           R"("tlsEnabled":false,"warmupS":0.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  }

  void addRunner(std::size_t index) {
    const auto id = "i-" + std::to_string(index);
    fleet_.runners.push_back({id, "arbejdsbord", fleet_.runnerAddress(index), fleet_.machines()[index % 3].zone, 6});
    std::make_shared<Server>(io_, fleet_.runnerAddress(index), kRunnerPort,
                             [this, id](tcp::socket& socket, Request& request) { return serve(socket, request, id); })
        ->start();
  }

  // The grey server fails two requests of five, with 500 and with 425 by turns.
  asio::awaitable<bool> serve(tcp::socket& socket, Request& request, const std::string& id) {
    const std::string attempt(request["Indigohill-Attempt-Id"]);
    if (request["Indigohill-Target-Instance"] != id) co_return co_await reply(socket, request, 421, "");
    int status = 200;
    if (grey_ && id == "i-0") {
      const int turn = greyRequests_++ % 5;
      if (turn == 1) status = 500;
      if (turn == 3) status = 425;
    }
    given_[attempt] = status;
    record_.line("runner " + id + " runs " + attempt + " and answers " + std::to_string(status));
    co_await pause(Ms(15));
    const std::string body = "answer to " + attempt;
    const std::string text = "HTTP/1.1 " + std::to_string(status) +
                             (status == 200   ? " OK"
                              : status == 500 ? " Internal Server Error"
                                              : " Too Early") +
                             "\r\nContent-Type: text/plain\r\nIndigohill-Attempt-Id: " + attempt +
                             "\r\nIndigohill-Response-Seal: " + id + "." + attempt +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto [error, bytes] = co_await asio::async_write(socket, asio::buffer(text), kTuple);
    co_return !error;
  }

  asio::awaitable<void> traffic() {
    for (int number = 0; !stopped_; ++number) {
      asio::co_spawn(io_, client(number), asio::detached);
      co_await pause(Ms(20));
    }
  }
  asio::awaitable<void> client(int number) {
    Try made;
    made.id = "c" + std::to_string(number);
    const auto& machine = fleet_.machines()[static_cast<std::size_t>(number) % fleet_.machines().size()];
    made.machine = machine.name;
    Request request(http::verb::post, "/booking/" + made.id, 11);
    request.set(http::field::host, "ordbro.example");
    request.set("Indigohill-Attempt-Id", made.id);
    request.set("Indigohill-Time-Remaining", "1000");
    request.body() = "booking " + made.id;
    made.sentAt = record_.now();
    made.answer = co_await call(machine.address, kFrontend, std::move(request), Ms(1500));
    std::string status = std::to_string(made.answer.status);
    status.insert(0, 3 - std::min<std::size_t>(3, status.size()), '0');
    record_.line("client " + made.id + " sent at " + std::to_string(made.sentAt) + " to " + machine.name + " -> " +
                 (made.answer.whole ? "HTTP/1.1 " + status + " " + made.answer.reason + ", seal '" + made.answer.seal +
                                          "', body '" + made.answer.body + "'"
                                    : "no complete answer: " + made.answer.error));
    tries_.push_back(made);
  }

  // MIXED: a failure bears a runner's seal and another status than that runner gave; or a client gets bytes that are no
  // answer in the protocol (a status that is no status).
  int judge() {
    std::map<int, std::map<int, int>> seen;  // by the status that the runner gave: those that the client got
    int mixed = 0;
    for (const auto& made : tries_) {
      if (!made.answer.whole || made.answer.seal.empty()) continue;
      const int given = given_[made.id];
      ++seen[given][made.answer.status];
      if (made.answer.status == given) continue;
      ++mixed;
      record_.line("MIXED " + made.id + ": the runner answered " + std::to_string(given) + ", the client got " +
                   std::to_string(made.answer.status) + " with the runner's seal " + made.answer.seal);
    }
    for (const auto& [given, got] : seen)
      for (const auto& [status, count] : got)
        record_.line("runner gave " + std::to_string(given) + ", client got " + std::to_string(status) + ": " +
                     std::to_string(count));
    record_.line("mixed: " + std::to_string(mixed));
    std::cout << "requests " << tries_.size() << ", mixed " << mixed << "\n";
    const bool failed = seen.contains(500) && (seen.contains(425) || mixed > 0);
    if (seen[200][200] == 0 || (isTroubleWanted() && !failed)) return kCannotRun;
    return mixed > 0 ? kBroken : kHeld;
  }

  asio::io_context& io_;
  Record& record_;
  Fleet& fleet_;
  std::vector<Try> tries_;
  std::map<std::string, int> given_;  // status, by attempt
  int greyRequests_ = 0;
  bool grey_ = false, stopped_ = false;
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
