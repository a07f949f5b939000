#include "net/link_faults.hpp"

#include <cstdlib>
#include <filesystem>

#include "base/time.hpp"
#include "emulator/cut_file.hpp"

namespace indigohill::net {

namespace {

constexpr base::Millis kReadInterval{10};

// The cuts in force, as the file has them that the environment names. Read again when it has changed.
class CutsInForce {
 public:
  CutsInForce() {
    if (const char* path = std::getenv(emulator::kCutFileVariable)) path_ = path;
  }

  bool contains(const settings::Endpoint& from, const settings::Endpoint& to) {
    readIfChanged();
    return cuts_.contains({from, to});
  }

 private:
  void readIfChanged() {
    const auto now = base::Clock::now();
    if (path_.empty() || now - lookedAt_ < kReadInterval) return;
    lookedAt_ = now;
    std::error_code missing;
    const auto writtenAt = std::filesystem::last_write_time(path_, missing);
    if (missing || writtenAt == writtenAt_) return;
    writtenAt_ = writtenAt;
    cuts_ = emulator::readCutFile(path_);
  }

  std::string path_;
  base::TimePoint lookedAt_{};
  std::filesystem::file_time_type writtenAt_{};
  emulator::Cuts cuts_;
};

}  // namespace

// A daemon's messages are sent on one thread.
bool isCut(const settings::Endpoint& from, const settings::Endpoint& to) {
  static CutsInForce cuts;
  return cuts.contains(from, to);
}

}  // namespace indigohill::net
