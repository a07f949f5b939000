#pragma once
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Records the file calls that are made below one folder, lets chosen ones fail, and makes from the record what a loss
// of power may leave: each write since the last sync of its file is present, absent or torn, and each name since the
// last sync of the folder is kept or lost by itself. To be included by one file of a test program: it defines the C
// library's calls.
namespace indigohill::tests {

class FileRecorder {
 public:
  struct Operation {
    std::string file;
    bool truncates = false;
    std::uint64_t offset = 0;
    std::string bytes;
    bool durable = false;
    bool dropped = false;  // a sync of it failed: no later one brings it to the disk
  };

  static FileRecorder*& current() {
    static FileRecorder* recorder = nullptr;
    return recorder;
  }

  // What lies in the folder now counts as durable.
  explicit FileRecorder(std::filesystem::path folder) : folder_(std::move(folder)) {
    for (const auto& [name, content] : readFolder(folder_)) {
      base_[name] = content;
      durableNames_.insert(name);
    }
    current() = this;
  }
  ~FileRecorder() { current() = nullptr; }
  FileRecorder(const FileRecorder&) = delete;
  FileRecorder& operator=(const FileRecorder&) = delete;

  // Calls fail with this error, from the n-th on and for so many of them.
  void failFrom(std::size_t call, std::size_t count, int error) {
    failFrom_ = call;
    failUntil_ = call + count;
    error_ = error;
  }
  // The power goes before this call: it and all later ones have no effect on what `powerLoss` leaves.
  void stopAt(std::size_t call) { stopAt_ = call; }
  std::size_t calls() const { return calls_; }
  bool stopped() const { return calls_ > stopAt_; }

  // The contents of the folder after a loss of power at this point.
  std::map<std::string, std::string> powerLoss(std::mt19937_64& random) const {
    std::map<std::string, std::string> out = base_;
    const bool allLost = random() % 4 == 0;
    for (const auto& operation : operations_) {
      auto& content = out[operation.file];
      if (operation.durable) {
        apply(content, operation, operation.bytes.size());
      } else if (!allLost) {
        applyPartly(content, operation, random);
      }
    }
    std::erase_if(out, [&](const auto& file) { return !durableNames_.contains(file.first) && random() % 2 == 0; });
    return out;
  }

  static std::map<std::string, std::string> readFolder(const std::filesystem::path& folder) {
    std::map<std::string, std::string> out;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      std::ifstream in(entry.path(), std::ios::binary);
      out[entry.path().filename()] = {std::istreambuf_iterator<char>(in), {}};
    }
    return out;
  }
  static void writeFolder(const std::filesystem::path& folder, const std::map<std::string, std::string>& files) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    for (const auto& [name, content] : files) std::ofstream(folder / name, std::ios::binary) << content;
  }

  // The calls, as the C library's stand-ins below hand them on. False: the call fails, with errno set.
  bool onWrite(const std::string& file, std::uint64_t offset, std::string bytes) {
    if (!admit()) return false;
    if (!stopped()) operations_.push_back({file, false, offset, std::move(bytes)});
    return true;
  }
  bool onTruncate(const std::string& file) {
    if (!admit()) return false;
    if (!stopped()) operations_.push_back({file, true, 0, {}});
    return true;
  }
  bool onSync(const std::string& file) {
    const bool ok = admit();
    if (stopped()) return ok;
    if (file.empty()) {
      if (ok)
        for (const auto& entry : std::filesystem::directory_iterator(folder_))
          durableNames_.insert(entry.path().filename());
      return ok;
    }
    for (auto& operation : operations_) {
      if (operation.file != file || operation.durable || operation.dropped) continue;
      (ok ? operation.durable : operation.dropped) = true;
    }
    return ok;
  }
  // The name of a file in the folder, empty for the folder itself, nothing for what lies elsewhere.
  std::optional<std::string> nameOf(int descriptor) const {
    char target[4096];
    const auto link = "/proc/self/fd/" + std::to_string(descriptor);
    const auto length = ::readlink(link.c_str(), target, sizeof target);
    if (length <= 0) return std::nullopt;
    const std::filesystem::path path(std::string(target, static_cast<std::size_t>(length)));
    if (path == folder_) return "";
    if (path.parent_path() != folder_) return std::nullopt;
    return path.filename().string();
  }

 private:
  bool admit() {
    const auto call = calls_++;
    if (call < failFrom_ || call >= failUntil_) return true;
    errno = error_;
    return false;
  }

  static void apply(std::string& content, const Operation& operation, std::size_t length) {
    if (operation.truncates) {
      content.clear();
      return;
    }
    content.resize(std::max<std::size_t>(content.size(), operation.offset + length), '\0');
    content.replace(operation.offset, length, operation.bytes, 0, length);
  }

  static void applyPartly(std::string& content, const Operation& operation, std::mt19937_64& random) {
    constexpr std::size_t kSector = 512;
    const auto length = operation.bytes.size();
    switch (random() % 5) {
      case 0:  // absent
        return;
      case 1:  // present
        apply(content, operation, length);
        return;
      case 2:  // its beginning
        apply(content, operation, operation.truncates ? 0 : random() % (length + 1));
        return;
      case 3: {  // some of its sectors
        if (operation.truncates) return;
        for (std::size_t at = 0; at < length; at += kSector)
          if (random() % 2 == 0)
            apply(content, {operation.file, false, operation.offset + at, operation.bytes.substr(at, kSector)},
                  std::min(kSector, length - at));
        return;
      }
      default:  // some of its bytes
        if (operation.truncates) return;
        for (std::size_t at = 0; at < length; ++at)
          if (random() % 2 == 0)
            apply(content, {operation.file, false, operation.offset + at, operation.bytes.substr(at, 1)}, 1);
    }
  }

  std::filesystem::path folder_;
  std::map<std::string, std::string> base_;
  std::set<std::string> durableNames_;
  std::vector<Operation> operations_;
  std::size_t calls_ = 0, stopAt_ = ~std::size_t{0}, failFrom_ = ~std::size_t{0}, failUntil_ = 0;
  int error_ = 0;
};

}  // namespace indigohill::tests

// The stand-ins. A sync is recorded and not made, so that the tests do not wait for the machine's disk.
extern "C" {

inline std::optional<std::string> recordedName(int descriptor) {
  auto* recorder = indigohill::tests::FileRecorder::current();
  return recorder == nullptr ? std::nullopt : recorder->nameOf(descriptor);
}

__attribute__((used)) ssize_t pwrite(int descriptor, const void* data, size_t size, off_t offset) {
  if (const auto name = recordedName(descriptor);
      name && !indigohill::tests::FileRecorder::current()->onWrite(*name, static_cast<std::uint64_t>(offset),
                                                                   {static_cast<const char*>(data), size}))
    return -1;
  return syscall(SYS_pwrite64, descriptor, data, size, offset);
}

__attribute__((used)) ssize_t writev(int descriptor, const struct iovec* parts, int count) {
  if (const auto name = recordedName(descriptor)) {
    std::string bytes;
    for (int i = 0; i < count; ++i) bytes.append(static_cast<const char*>(parts[i].iov_base), parts[i].iov_len);
    const auto offset = lseek(descriptor, 0, SEEK_CUR);
    if (!indigohill::tests::FileRecorder::current()->onWrite(*name, static_cast<std::uint64_t>(offset),
                                                             std::move(bytes)))
      return -1;
  }
  return syscall(SYS_writev, descriptor, parts, count);
}

__attribute__((used)) int ftruncate(int descriptor, off_t size) noexcept {
  if (const auto name = recordedName(descriptor);
      name && !indigohill::tests::FileRecorder::current()->onTruncate(*name))
    return -1;
  return static_cast<int>(syscall(SYS_ftruncate, descriptor, size));
}

__attribute__((used)) int fsync(int descriptor) {
  if (const auto name = recordedName(descriptor))
    return indigohill::tests::FileRecorder::current()->onSync(*name) ? 0 : -1;
  return static_cast<int>(syscall(SYS_fsync, descriptor));
}

__attribute__((used)) int fdatasync(int descriptor) {
  if (const auto name = recordedName(descriptor))
    return indigohill::tests::FileRecorder::current()->onSync(*name) ? 0 : -1;
  return static_cast<int>(syscall(SYS_fdatasync, descriptor));
}
}
