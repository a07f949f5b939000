#pragma once
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/daemon_process.hpp"
#include "emulator/daemon_settings.hpp"

// One real process of the program on loopback addresses, for tests of what ends or fills it. What is awaited has a
// bound far beyond what any machine needs; nothing else depends on time.
namespace indigohill::tests {

constexpr base::Millis kPatience{30000};

// A folder of its own for a test's files.
class TestFolder {
 public:
  TestFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "indigohill-test-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TestFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;
  std::string file(const std::string& name) const { return (path_ / name).string(); }

 private:
  std::filesystem::path path_;
};

inline void writeFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
}

// The settings of the only machine.
inline std::string settingsOf(emulator::Role role, const emulator::Network& network, const TestFolder& folder,
                              emulator::Experiment experiment = {}) {
  experiment.controllers = 1;
  return emulator::settingsText(experiment, network, {role, 0, true, folder.file("data")});
}

// A settings file with the line of a field replaced.
inline std::string withLine(std::string settings, const std::string& line) {
  const auto start = settings.find(line.substr(0, line.find('=') + 1));
  return settings.replace(start, settings.find('\n', start) - start, line);
}

// One connection of this machine, as the kernel's table has it.
struct ConnectionQueue {
  std::string local, inode;  // the address as the table writes it; the socket's number, "0" before it is accepted
  std::size_t unread = 0, unsent = 0;
};

inline std::vector<ConnectionQueue> connectionQueues() {
  // Columns: number, local address, remote address, state, tx_queue:rx_queue, timer, retransmits, uid, timeout, inode
  constexpr const char* kListening = "0A";  // there the queues hold connections
  std::ifstream table("/proc/net/tcp");
  std::vector<ConnectionQueue> out;
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
    columns >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
    if (state == kListening) continue;
    const auto colon = queues.find(':');
    out.push_back({local, inode, std::stoul(queues.substr(colon + 1), nullptr, 16),
                   std::stoul(queues.substr(0, colon), nullptr, 16)});
  }
  return out;
}

class Daemon {
 public:
  explicit Daemon(std::vector<std::string> command)
      : process_(std::make_shared<emulator::DaemonProcess>(
            io_.get_executor(), std::move(command), emulator::ProcessLimits{}, "/dev/null",
            [this](const std::string& line) { output_ += line + "\n"; })) {
    process_->start();
  }
  // INDIGOHILL_PROGRAM is the program under test.
  Daemon(emulator::Role role, const std::string& settingsPath)
      : Daemon(std::vector<std::string>{INDIGOHILL_PROGRAM, emulator::nameOf(role), "--settings", settingsPath}) {}

  // Whether the text has come in the output; false when the process has ended without it.
  bool hasSaid(const std::string& text) {
    const auto until = base::Clock::now() + kPatience;
    while (base::Clock::now() < until) {
      const bool ended = !runs();
      io_.restart();
      io_.run_for(base::Millis(20));
      if (output_.find(text) != std::string::npos) return true;
      if (ended) return false;
    }
    return false;
  }
  bool hasStarted() { return hasSaid("_started\",\"") && hasSaid("\"peers\""); }
  bool runs() {
    if (!exit_) exit_ = process_->takeExit();
    return !exit_;
  }
  void signal(int number) const { process_->signal(number); }
  const std::string& output() const { return output_; }
  pid_t pid() const { return process_->pid(); }

  // The most memory that it has had at any time so far.
  std::size_t peakMemoryMb() const { return memoryField("VmHWM:") / 1024; }
  std::size_t memoryBytes() const { return memoryField("VmRSS:") * 1024; }
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
  }
  // What the kernel keeps of its connections now: bytes that have arrived and were not read, bytes that are still to be
  // taken by the peer.
  std::size_t queuedBytes() const {
    const auto sockets = openSockets();
    std::size_t out = 0;
    for (const auto& queue : connectionQueues())
      if (sockets.count(queue.inode) > 0) out += queue.unread + queue.unsent;
    return out;
  }

 private:
  // Kilobytes.
  std::size_t memoryField(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(pid()) + "/status");
    std::string word;
    std::size_t out = 0;
    while (status >> word)
      if (word == name) status >> out;
    return out;
  }
  // The kernel's numbers of its sockets.
  std::set<std::string> openSockets() const {
    std::set<std::string> out;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid()) + "/fd")) {
      const auto link = std::filesystem::read_symlink(entry.path(), ignored).string();
      constexpr std::string_view kPrefix = "socket:[";
      if (link.rfind(kPrefix, 0) == 0) out.insert(link.substr(kPrefix.size(), link.size() - kPrefix.size() - 1));
    }
    return out;
  }

  boost::asio::io_context io_;
  std::string output_;
  std::optional<int> exit_;
  std::shared_ptr<emulator::DaemonProcess> process_;
};

}  // namespace indigohill::tests
