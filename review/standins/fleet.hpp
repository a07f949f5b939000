#pragma once
// Stand-ins for the review's scripts: a small deployment of the project's own daemons on loopback addresses, the
// platform (list of runners, readiness), runners, clients and an operator, as the operators' pages describe them.
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

// What was sent, answered and run, one line each with the milliseconds from the start of the script.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), startedAt_(Clock::now()) {}
  std::int64_t now() const { return std::chrono::duration_cast<Ms>(Clock::now() - startedAt_).count(); }
  void line(const std::string& text) { out_ << now() << " ms " << text << std::endl; }

 private:
  std::ofstream out_;
  Clock::time_point startedAt_;
};

inline asio::awaitable<void> pause(Ms time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(kTuple);
}

struct Machine {
  std::string name, zone, address;
  bool disk = false, controls = false;
};

// One HTTP call on a connection of its own; status 0 where no complete answer came.
struct Answer {
  bool whole = false;
  int status = 0;
  std::string body, error, location, seal, reason;
};

inline asio::awaitable<Answer> call(std::string address, std::uint16_t port, Request request, Ms limit) {
  Answer out;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(limit);
  auto [connectError] = co_await stream.async_connect(tcp::endpoint(asio::ip::make_address(address), port), kTuple);
  if (connectError) {
    out.error = "connecting: " + connectError.message();
    co_return out;
  }
  if (request.count(http::field::host) == 0) request.set(http::field::host, address);
  request.prepare_payload();
  co_await http::async_write(stream, request, kTuple);  // an early answer is read all the same
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64u << 20);
  auto [readError, read] = co_await http::async_read(stream, buffer, parser, kTuple);
  if (readError) {
    if (parser.is_header_done()) out.body = parser.get().body();
    out.error = readError.message();
    co_return out;
  }
  out.whole = true;
  out.status = static_cast<int>(parser.get().result_int());
  out.reason = std::string(parser.get().reason());
  out.location = std::string(parser.get()[http::field::location]);
  out.seal = std::string(parser.get()["Indigohill-Response-Seal"]);
  out.body = parser.get().body();
  co_return out;
}

// A server that hands each request to a handler, which may write to the socket itself.
class Server : public std::enable_shared_from_this<Server> {
 public:
  using Handler = std::function<asio::awaitable<bool>(tcp::socket&, Request&)>;
  Server(asio::io_context& io, const std::string& address, std::uint16_t port, Handler handler)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address(address), port)), handler_(std::move(handler)) {}
  void start() {
    asio::co_spawn(
        acceptor_.get_executor(), [self = shared_from_this()] { return self->accept(); }, asio::detached);
  }

 private:
  asio::awaitable<void> accept() {
    const auto self = shared_from_this();
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(kTuple);
      if (error) continue;
      asio::co_spawn(
          acceptor_.get_executor(),
          [self, socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); }, asio::detached);
    }
  }
  asio::awaitable<void> serve(tcp::socket socket) {
    const auto self = shared_from_this();
    beast::flat_buffer buffer;
    for (;;) {
      Request request;
      auto [error, bytes] = co_await http::async_read(socket, buffer, request, kTuple);
      if (error) co_return;
      if (!co_await handler_(socket, request)) co_return;
    }
  }
  tcp::acceptor acceptor_;
  Handler handler_;
};

inline asio::awaitable<bool> reply(tcp::socket& socket, const Request& request, int status, std::string body,
                                   std::map<std::string, std::string> headers = {}) {
  Response out(static_cast<http::status>(status), 11);
  for (const auto& [name, value] : headers) out.set(name, value);
  out.keep_alive(request.keep_alive());
  out.body() = std::move(body);
  out.prepare_payload();
  auto [error, bytes] = co_await http::async_write(socket, out, kTuple);
  co_return !error && out.keep_alive();
}

constexpr std::uint16_t kFrontend = 8161, kControl = 8166, kReadiness = 8167, kRunnerPort = 8080, kPlatformPort = 8169;

// The daemons, and the platform that starts them, lists runners and asks for readiness.
class Fleet {
 public:
  struct Runner {
    std::string id, service, address, zone;
    int slots = 128;
  };
  struct Life {
    pid_t pid = 0;
    const Machine* machine = nullptr;
    std::string role;
  };

  Fleet(asio::io_context& io, Record& record) : io_(io), record_(record) {
    std::string path = (std::filesystem::temp_directory_path() / "indigohill-review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("no temporary folder");
    folder_ = path;
    network_ = freeNetwork();
  }
  ~Fleet() {
    for (auto& life : lives_) end(life);
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
    else
      std::cout << "kept: " << folder_ << "\n";
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::string machineAddress(std::size_t index) const { return at(1, index); }
  std::string runnerAddress(std::size_t index) const { return at(2, index); }
  std::string platformAddress() const { return at(3, 0); }
  const std::vector<Machine>& machines() const { return machines_; }

  void addMachine(std::string name, std::string zone, bool disk, bool controls) {
    machines_.push_back({std::move(name), std::move(zone), machineAddress(machines_.size()), disk, controls});
  }

  // Settings as the operators' pages have them, with the bounds of the small site.
  std::string settingsOf(const Machine& machine, const std::string& role, bool bootstrap) const {
    std::ostringstream out;
    out << "nodeName=" << machine.name << "\nrole=" << role
        << "\nmachineClass=edge\nserves=" << (role == "router" ? "edge" : "control")
        << "\nipAddress=" << machine.address << "\nzone=" << machine.zone << "\nregion=jylland\n";
    std::set<std::string> zones;
    for (const auto& other : machines_) zones.insert(other.zone);
    for (const auto& zone : zones) out << "zones." << zone << "=jylland\n";
    if (role == "router")
      out << "bindAddresses.frontend=" << machine.address << ":" << kFrontend
          << "\nbindAddresses.readiness=" << machine.address << ":" << kReadiness << "\n";
    else
      out << "bindAddresses.controlPlane=" << machine.address << ":" << kControl << "\n";
    out << "internalPortRange=7720,7735\nseedNodes=";
    int seeds = 0;
    for (const auto& other : machines_)
      if (other.disk && seeds < 3) out << (seeds++ == 0 ? "" : ",") << other.address << ":" << kControl;
    out << "\nbootstrap=" << (bootstrap ? "true" : "false") << "\nquorumMember=" << (machine.disk ? "true" : "false")
        << "\nlimits.cpuFraction=0.45\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxOpenFiles=4100\n"
           "limits.bandwidthMbps=1000.0\n";
    if (role == "controller" && machine.disk)
      out << "limits.diskMb=64\ndataDirectory=" << folder_ << "/" << machine.name << ".data\n";
    out << "discoverySource=cloud_api\nentryMode=virtual_ip\nheartbeatIntervalMs=1200\n"
           "guarantees=base,drain,config,cost,retry,recover,engine,stream,places\nfaultTolerance.machines=1\n"
           "faultTolerance.zones=1\nfaultTolerance.regions=0\nbounds.seedStalenessS=3\nbounds.addressReuseS=2\n"
           "bounds.contactMs=3000\nbounds.ackTimeoutMs=4000\nbounds.catchUpS=4\nbounds.drainTimeoutMs=3000\n"
           "bounds.gracePeriodS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n"
           "bounds.maxStretchMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n"
           "bounds.retryBudgetSlack=64\nbounds.warmupOvershoot=1.5\nbounds.warmupSlack=5\nbounds.evacuationMs=5000\n"
           "bounds.recoveryS=12\nbounds.stepMs=120\n"
        << "cloudApi.address=" << platformAddress() << ":" << kPlatformPort
        << "\ncloudApi.ratePerS=47.0\ncloudApi.duties=" << duties << "\ncloudApi.maxLagMs=800\n";
    return out.str();
  }

  // Starts a role on a machine with the command of the deploy file.
  pid_t start(const Machine& machine, const std::string& role, bool bootstrap) {
    const auto path = folder_ + "/" + machine.name + "." + role + ".conf";
    std::ofstream(path) << settingsOf(machine, role, bootstrap) << extraSettings;
    const auto log = folder_ + "/" + machine.name + "." + role + ".log";
    const std::string variable = "INDIGOHILL_NODE_FILE=" + path;
    const char* port = role == "router" ? "61801" : "61802";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, 1);
      dup2(file, 2);
      for (int descriptor = 3; descriptor < 1024; ++descriptor) close(descriptor);
      std::array<const char*, 5> arguments{"target/indigohill", role.c_str(), "--metrics-port", port, nullptr};
      const std::string searchPath = "PATH=" + std::string(getenv("PATH") == nullptr ? "" : getenv("PATH"));
      std::array<const char*, 3> variables{variable.c_str(), searchPath.c_str(), nullptr};
      execve("target/indigohill", const_cast<char**>(arguments.data()), const_cast<char**>(variables.data()));
      _exit(127);
    }
    lives_.push_back({pid, &machine, role});
    record_.line("start " + machine.name + " " + role);
    return pid;
  }
  void startAll() {
    for (const auto& machine : machines_) {
      if (machine.controls) start(machine, "controller", machine.disk);
      start(machine, "router", false);
    }
  }

  void signalTo(const std::string& machine, const std::string& role, int number) {
    for (auto& life : lives_)
      if (life.pid != 0 && life.machine->name == machine && life.role == role) {
        record_.line("signal " + std::to_string(number) + " to " + machine + " " + role);
        kill(life.pid, number);
      }
  }
  // Restarts what has ended; call it now and then. Processes that were not told to end are recorded.
  void reap(bool restart) {
    for (std::size_t i = 0; i < lives_.size(); ++i) {
      auto& life = lives_[i];
      int status = 0;
      if (life.pid == 0 || waitpid(life.pid, &status, WNOHANG) != life.pid) continue;
      record_.line("ended " + life.machine->name + " " + life.role + " status " + std::to_string(status));
      life.pid = 0;
      ++ended;
      const auto machine = life.machine;
      const auto role = life.role;
      if (restart) start(*machine, role, false);
    }
  }
  int ended = 0;
  std::string extraSettings, duties;  // lines of the settings file; the duties at the platform

  // The platform.
  void startPlatform() {
    auto server = std::make_shared<Server>(
        io_, platformAddress(), kPlatformPort, [this](tcp::socket& socket, Request& request) -> asio::awaitable<bool> {
          std::string list;
          for (const auto& runner : runners) {
            list += std::string(list.empty() ? "" : ",") + "{\"targetService\":\"" + runner.service +
                    "\",\"address\":\"" + runner.address + ":" + std::to_string(kRunnerPort) + "\",\"zone\":\"" +
                    runner.zone + "\",\"revision\":\"v1\",\"capacitySlots\":" + std::to_string(runner.slots) +
                    ",\"state\":\"ready\",\"warmupLeftMs\":0,\"phase\":\"combined\",\"models\":[{\"name\":\"m\","
                    "\"revision\":1,\"adapters\":[]}],\"instanceId\":\"" +
                    runner.id + "\"}";
          }
          if (request.method() == http::verb::post && onDutyCall) co_return co_await onDutyCall(socket, request);
          const bool known = request.target().starts_with("/instances");
          const std::map<std::string, std::string> headers{{"Content-Type", "application/json"}};
          const std::string body = "{\"instances\":[" + list + "],\"nextPageToken\":null}";
          co_return co_await reply(socket, request, known ? 200 : 404, body, headers);
        });
    server->start();
    for (const auto& machine : machines_) asio::co_spawn(io_, askReadiness(machine), asio::detached);
  }
  std::vector<Runner> runners;
  Server::Handler onDutyCall;

  bool isIn(const Machine& machine) const {
    const auto found = misses_.find(machine.name);
    return found != misses_.end() && found->second < 2;
  }
  // The daemons of a zone that get new connections.
  std::vector<const Machine*> entries(const std::string& zone) const {
    std::vector<const Machine*> all, in;
    for (const auto& machine : machines_)
      if (machine.zone == zone) {
        all.push_back(&machine);
        if (isIn(machine)) in.push_back(&machine);
      }
    // Fewer than half of the zone's daemons are in: all of them are used.
    return 2 * in.size() < all.size() && !in.empty() ? all : in;
  }
  bool allIn() const {
    for (const auto& machine : machines_)
      if (!isIn(machine)) return false;
    return true;
  }

  // The operator's call: follows 307 twice, goes on to another daemon after a failure, a 5xx, 408, 429 or silence.
  asio::awaitable<Answer> order(http::verb verb, std::string target, std::string body, std::string base, Ms limit) {
    const auto until = Clock::now() + limit;
    std::vector<std::string> controllers;
    for (const auto& machine : machines_)
      if (machine.controls) controllers.push_back(machine.address);
    Answer answer;
    for (std::size_t round = 0; Clock::now() < until; ++round) {
      auto address = controllers[round % controllers.size()];
      for (int hop = 0; hop < 3; ++hop) {
        Request request(verb, target, 11);
        request.set(http::field::content_type, "application/json");
        if (!base.empty()) request.set("Indigohill-Base-Version", base);
        request.body() = body;
        answer = co_await call(address, kControl, std::move(request), Ms(2000));
        record_.line("operator " + target + " at " + address + " -> " + std::to_string(answer.status) + " " +
                     answer.error + (answer.status >= 400 ? answer.body : ""));
        if (answer.status != 307) break;
        const auto from = answer.location.find("//") + 2;
        address = answer.location.substr(from, answer.location.find(':', from) - from);
      }
      const bool again = answer.status == 0 || answer.status >= 500 || answer.status == 307 || answer.status == 408 ||
                         answer.status == 429;
      if (!again) co_return answer;
      co_await pause(Ms(200 + 100 * std::min<std::size_t>(round, 8)));
    }
    co_return answer;
  }

 private:
  std::string at(int kind, std::size_t index) const {
    return "127." + std::to_string(network_) + "." + std::to_string(kind) + "." + std::to_string(index + 1);
  }
  // A part of the loopback range in which no other run is.
  static int freeNetwork() {
    std::random_device device;
    for (int round = 0; round < 100; ++round) {
      const int network = 20 + static_cast<int>(device() % 200);
      asio::io_context io;
      tcp::acceptor probe(io);
      boost::system::error_code error;
      probe.open(tcp::v4());
      probe.bind({asio::ip::make_address("127." + std::to_string(network) + ".3.1"), kPlatformPort}, error);
      if (!error) return network;
    }
    throw std::runtime_error("no free part of the loopback range");
  }
  void end(Life& life) {
    if (life.pid == 0) return;
    kill(life.pid, SIGKILL);
    waitpid(life.pid, nullptr, 0);
    life.pid = 0;
  }
  asio::awaitable<void> askReadiness(Machine machine) {
    misses_[machine.name] = 2;
    for (;;) {
      Request request(http::verb::get, "/v1/readiness", 11);
      const auto answer = co_await call(machine.address, kReadiness, std::move(request), Ms(900));
      auto& misses = misses_[machine.name];
      const bool before = misses < 2;
      misses = answer.status == 200 ? 0 : std::min(2, misses + 1);
      if (before != (misses < 2)) record_.line("platform: " + machine.name + (misses < 2 ? " is in" : " is out"));
      co_await pause(Ms(1000));
    }
  }

  asio::io_context& io_;
  Record& record_;
  std::string folder_;
  int network_ = 0;
  std::vector<Machine> machines_;
  std::vector<Life> lives_;
  std::map<std::string, int> misses_;
};

// Waits for the condition; false after the limit.
inline asio::awaitable<bool> waitFor(std::function<bool()> condition, Ms limit) {
  const auto until = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() > until) co_return false;
    co_await pause(Ms(50));
  }
  co_return true;
}

// Runs a script's coroutine to its end; its result is the exit status. 110 s at the most.
inline int runScript(const std::string& folder,
                     const std::function<asio::awaitable<int>(asio::io_context&, Record&, Fleet&)>& body) try {
  signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  Record record(folder + "/record.txt");
  Fleet fleet(io, record);
  int status = kCannotRun;
  asio::steady_timer limit(io, std::chrono::seconds(110));
  limit.async_wait([&](boost::system::error_code error) {
    if (error) return;
    record.line("the script's time is over");
    io.stop();
  });
  asio::co_spawn(io, body(io, record, fleet), [&](std::exception_ptr thrown, int result) {
    if (thrown) {
      try {
        std::rethrow_exception(thrown);
      } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
      }
    } else {
      status = result;
    }
    io.stop();
  });
  io.run();
  record.line("exit " + std::to_string(status));
  return status;
} catch (const std::exception& error) {
  std::cerr << "cannot run: " << error.what() << "\n";
  return kCannotRun;
}

inline bool isTroubleWanted() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
