#pragma once
#include <algorithm>
#include <cstddef>
#include <string>
#include <unordered_map>

// Start-time fair queueing (Goyal, Vin and Cheng, IEEE/ACM Transactions on Networking 5(5), 1997) with requests of one
// size and flows of one weight: each request gets a start tag when it enters the queue, and the lowest tag is served
// first. A flow that has many requests waiting so gets no more turns than one that has a single request.
namespace indigohill::proxy {

// The tags of one queue. Flows without a waiting request cost nothing. Not thread-safe.
class FairTags {
 public:
  // The start tag of a flow's next request: behind the flow's request before it, but never in the past.
  double assign(const std::string& flow) {
    if (finish_.size() >= kPruneFrom) prune();
    auto& finish = finish_[flow];
    const double start = std::max(virtualTime_, finish);
    finish = start + 1;
    return start;
  }
  // The request with this tag is served: the queue's virtual time.
  void onServed(double start) { virtualTime_ = std::max(virtualTime_, start); }
  std::size_t flows() const { return finish_.size(); }

 private:
  static constexpr std::size_t kPruneFrom = 256;  // flows that are remembered before idle ones are dropped

  void prune() {
    std::erase_if(finish_, [this](const auto& entry) { return entry.second <= virtualTime_; });
  }

  double virtualTime_ = 0;
  std::unordered_map<std::string, double> finish_;  // finish tag of each flow's last request
};

}  // namespace indigohill::proxy
