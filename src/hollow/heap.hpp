#pragma once
#include <cstddef>
#include <cstdint>

// Whose memory is whose, when many hollow daemons share a process. Programs that link this part have operator new and
// delete replaced: each allocation is put down to the account that is open, and taken off the same account when it is
// freed, wherever that happens.
namespace indigohill::hollow {

constexpr std::size_t kAccounts = 1024;  // 0 is for what belongs to no daemon

// Bytes, as glibc's allocator would take them: the request and its header, in steps of 16.
struct HeapUse {
  std::int64_t live = 0, most = 0;
};

// Until it goes, allocations of this thread are put down to `account`.
class HeapScope {
 public:
  explicit HeapScope(std::size_t account) noexcept;
  ~HeapScope();
  HeapScope(const HeapScope&) = delete;
  HeapScope& operator=(const HeapScope&) = delete;

 private:
  std::size_t before_;
};

HeapUse heapOf(std::size_t account);
void forgetMost(std::size_t account);  // the most counts from what is live now

}  // namespace indigohill::hollow
