#include "store/file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include "base/hash.hpp"

namespace indigohill::store {

namespace {

constexpr std::size_t kDigestChunk = 64u << 10;  // a multiple of the word that is digested at a time

[[noreturn]] void failWith(const std::string& path, const char* what) {
  throw std::system_error(errno, std::generic_category(), path + ": " + what);
}

// Calls again what a signal interrupted.
template <class Call>
auto uninterrupted(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

std::uint64_t addToDigest(std::uint64_t digest, const std::string& bytes) {
  std::size_t at = 0;
  for (std::uint64_t word = 0; at < bytes.size(); at += sizeof word) {
    word = 0;
    std::memcpy(&word, bytes.data() + at, std::min(sizeof word, bytes.size() - at));
    digest = base::mix(digest ^ word) + at;
  }
  return base::mix(digest ^ bytes.size());
}

}  // namespace

File File::open(const std::string& path) {
  const int descriptor = uninterrupted([&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644); });
  if (descriptor < 0) failWith(path, "open");
  return File(descriptor, path);
}

File::File(File&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)), path_(std::move(other.path_)) {}

File::~File() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

void File::fail(const char* what) const { failWith(path_, what); }

std::uint64_t File::size() const {
  struct stat about {};
  if (::fstat(descriptor_, &about) != 0) fail("stat");
  return static_cast<std::uint64_t>(about.st_size);
}

std::string File::read(std::uint64_t offset, std::size_t length) const {
  std::string out(length, '\0');
  std::size_t done = 0;
  while (done < length) {
    const auto got = uninterrupted(
        [&] { return ::pread(descriptor_, out.data() + done, length - done, static_cast<off_t>(offset + done)); });
    if (got < 0) fail("read");
    if (got == 0) break;
    done += static_cast<std::size_t>(got);
  }
  out.resize(done);
  return out;
}

void File::write(std::uint64_t offset, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto put = uninterrupted([&] {
      return ::pwrite(descriptor_, bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
    });
    if (put < 0) fail("write");
    done += static_cast<std::size_t>(put);
  }
}

void File::truncate(std::uint64_t length) {
  if (uninterrupted([&] { return ::ftruncate(descriptor_, static_cast<off_t>(length)); }) != 0) fail("truncate");
}

void File::sync() {
  if (uninterrupted([&] { return ::fsync(descriptor_); }) != 0) fail("sync");
}

std::uint64_t File::digest(std::uint64_t length) const {
  std::uint64_t out = 0;
  for (std::uint64_t at = 0; at < length; at += kDigestChunk)
    out = addToDigest(out, read(at, static_cast<std::size_t>(std::min<std::uint64_t>(kDigestChunk, length - at))));
  return out;
}

std::uint64_t digest(const std::string& bytes) {
  std::uint64_t out = 0;
  for (std::size_t at = 0; at < bytes.size(); at += kDigestChunk)
    out = addToDigest(out, bytes.substr(at, kDigestChunk));
  return out;
}

void openFolder(const std::string& path) {
  const std::filesystem::path folder(path);
  if (!std::filesystem::is_directory(folder)) {
    if (folder.has_parent_path() && folder.parent_path() != folder) openFolder(folder.parent_path());
    std::filesystem::create_directory(folder);
  }
  syncFolder(path);
  // The name of the folder itself. Whoever may only write in the folder found it there, made by somebody else.
  if (!folder.has_parent_path()) return;
  const int parent = ::open(folder.parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (parent < 0) return;
  ::fsync(parent);
  ::close(parent);
}

void syncFolder(const std::string& path) {
  const int descriptor = uninterrupted([&] { return ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC); });
  if (descriptor < 0) failWith(path, "open folder");
  const int result = uninterrupted([&] { return ::fsync(descriptor); });
  const int error = errno;
  ::close(descriptor);
  // File systems that cannot sync a folder say so; there is nothing more that can be done.
  if (result != 0 && error != EINVAL && error != ENOTSUP) {
    errno = error;
    failWith(path, "sync folder");
  }
}

}  // namespace indigohill::store
