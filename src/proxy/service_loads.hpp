#pragma once
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "schema/messages.hpp"

namespace indigohill::proxy {

// How many requests of each service this router has at runners and in its queue, and how many it has rejected.
// Thread-safe.
class ServiceLoads {
 public:
  enum class Kind { InProgress, Queued };

  // One request counts as `kind` as long as this lives, which may be longer than the sessions' shared state: a
  // coroutine's frame goes with its event loop.
  class Scope {
   public:
    Scope(std::shared_ptr<ServiceLoads> loads, const std::string& service, Kind kind)
        : loads_(std::move(loads)), service_(service), kind_(kind) {
      loads_->change(service_, kind_, 1);
    }
    ~Scope() { loads_->change(service_, kind_, -1); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    std::shared_ptr<ServiceLoads> loads_;
    std::string service_;
    Kind kind_;
  };

  void onRejected(const std::string& service) {
    const std::lock_guard lock(mutex_);
    ++loads_[service].rejected;
  }

  // The loads now, with what was rejected since the last call. Services without any are left out.
  std::vector<schema::ServiceLoad> take() {
    std::vector<schema::ServiceLoad> out;
    const std::lock_guard lock(mutex_);
    for (auto it = loads_.begin(); it != loads_.end();) {
      const auto load = it->second;
      const bool idle = load.inProgress == 0 && load.queued == 0;
      if (!idle || load.rejected > 0) out.push_back({it->first, load.inProgress, load.queued, load.rejected});
      it->second.rejected = 0;
      it = idle ? loads_.erase(it) : std::next(it);
    }
    return out;
  }

 private:
  struct Load {
    std::uint32_t inProgress = 0, queued = 0, rejected = 0;
  };

  void change(const std::string& service, Kind kind, int by) {
    const std::lock_guard lock(mutex_);
    auto& load = loads_[service];
    auto& count = kind == Kind::InProgress ? load.inProgress : load.queued;
    count = static_cast<std::uint32_t>(static_cast<int>(count) + by);
  }

  std::mutex mutex_;
  std::map<std::string, Load> loads_;  // by service
};

}  // namespace indigohill::proxy
