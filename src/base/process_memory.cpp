#include "base/process_memory.hpp"

#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>

#include <algorithm>

namespace indigohill::base {

namespace {

constexpr int kLargeBlockBytes = 128 << 10, kMostFreeAtEndBytes = 1 << 20;
constexpr std::size_t kThreadStackBytes = 1 << 20;
constexpr rlim_t kArenaBytes = 64 << 20;  // what the C library reserves for one
constexpr rlim_t kArenasPart = 4;         // of the address space, one part in so many
constexpr rlim_t kMostArenas = 1 << 10;

void boundArenas() {
  rlimit addressSpace{};
  ::getrlimit(RLIMIT_AS, &addressSpace);
  if (addressSpace.rlim_cur == RLIM_INFINITY) return;
  const auto arenas = std::clamp<rlim_t>(addressSpace.rlim_cur / kArenasPart / kArenaBytes, 1, kMostArenas);
  ::mallopt(M_ARENA_MAX, static_cast<int>(arenas));
}

}  // namespace

void returnFreedMemory() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMostFreeAtEndBytes);
}

void boundThreadMemory() {
  boundArenas();
  pthread_attr_t defaults;
  ::pthread_attr_init(&defaults);
  ::pthread_attr_setstacksize(&defaults, kThreadStackBytes);
  ::pthread_setattr_default_np(&defaults);
  ::pthread_attr_destroy(&defaults);
}

}  // namespace indigohill::base
