#include "hollow/heap.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <new>

namespace indigohill::hollow {

namespace {

// In front of each block; 16 bytes, so that what follows is aligned as operator new promises.
struct alignas(16) Header {
  std::uint64_t account, bytes;
};
static_assert(sizeof(Header) == 16);

// Threads that are not measured (a test's, a library's) allocate as well, into account 0.
struct Account {
  std::atomic<std::int64_t> live{0}, most{0};
};
constinit std::array<Account, kAccounts> accounts{};
thread_local std::size_t open = 0;

void* take(std::size_t bytes) noexcept {
  auto* header = static_cast<Header*>(std::malloc(bytes + sizeof(Header)));
  if (header == nullptr) return nullptr;
  header->account = open;
  header->bytes = std::max<std::size_t>(32, (bytes + 8 + 15) / 16 * 16);
  auto& account = accounts[open];
  const auto live = account.live.fetch_add(static_cast<std::int64_t>(header->bytes), std::memory_order_relaxed) +
                    static_cast<std::int64_t>(header->bytes);
  if (live > account.most.load(std::memory_order_relaxed)) account.most.store(live, std::memory_order_relaxed);
  return header + 1;
}

void giveBack(void* block) noexcept {
  if (block == nullptr) return;
  auto* header = static_cast<Header*>(block) - 1;
  accounts[header->account].live.fetch_sub(static_cast<std::int64_t>(header->bytes), std::memory_order_relaxed);
  std::free(header);
}

}  // namespace

HeapScope::HeapScope(std::size_t account) noexcept : before_(open) { open = account < kAccounts ? account : 0; }
HeapScope::~HeapScope() { open = before_; }

HeapUse heapOf(std::size_t account) {
  return {accounts[account].live.load(std::memory_order_relaxed),
          accounts[account].most.load(std::memory_order_relaxed)};
}

void forgetMost(std::size_t account) {
  accounts[account].most.store(accounts[account].live.load(std::memory_order_relaxed), std::memory_order_relaxed);
}

}  // namespace indigohill::hollow

void* operator new(std::size_t bytes) {
  if (auto* block = indigohill::hollow::take(bytes)) return block;
  throw std::bad_alloc();
}
void* operator new[](std::size_t bytes) { return operator new(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept { return indigohill::hollow::take(bytes); }
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept { return indigohill::hollow::take(bytes); }
void operator delete(void* block) noexcept { indigohill::hollow::giveBack(block); }
void operator delete[](void* block) noexcept { indigohill::hollow::giveBack(block); }
void operator delete(void* block, std::size_t) noexcept { indigohill::hollow::giveBack(block); }
void operator delete[](void* block, std::size_t) noexcept { indigohill::hollow::giveBack(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { indigohill::hollow::giveBack(block); }
void operator delete[](void* block, const std::nothrow_t&) noexcept { indigohill::hollow::giveBack(block); }
