#pragma once
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
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
inline std::string settingsOf(emulator::Role role, const emulator::Network& network, const TestFolder& folder) {
  emulator::Experiment experiment;
  experiment.controllers = 1;
  return emulator::settingsText(experiment, network, {role, 0, true, folder.file("data")});
}

class Daemon {
 public:
  explicit Daemon(std::vector<std::string> command)
      : process_(
            std::make_shared<emulator::DaemonProcess>(io_.get_executor(), std::move(command), "/dev/null",
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
  std::size_t peakMemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(pid()) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word)
      if (word == "VmHWM:") status >> kilobytes;
    return kilobytes / 1024;
  }
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
  }

 private:
  boost::asio::io_context io_;
  std::string output_;
  std::optional<int> exit_;
  std::shared_ptr<emulator::DaemonProcess> process_;
};

}  // namespace indigohill::tests
