#pragma once
#include <cstddef>
#include <cstdint>

namespace indigohill::proxy {

// The books of a request queue, kept beside its places: the requests that wait are those that have a place and those
// that were woken and have not gone on yet. Each entry is checked against the count of places. Not thread-safe: the
// queue's lock is held.
class QueueAccount {
 public:
  // `places`: how many the queue counts after the change.
  void onEntered(std::size_t places);
  void onWoken(std::size_t places);
  // `woken`: its place was taken from it before it went on.
  void onLeft(bool woken, std::size_t places);

 private:
  void check(std::size_t places) const;

  std::int64_t waiting_ = 0, woken_ = 0;
};

}  // namespace indigohill::proxy
