#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "duties/platform_call.hpp"

// The platform as it takes calls of duties, for the simulated world. It does not look at fences itself; it judges what
// comes, as the operators do.
namespace indigohill::sim {

class DutyPlatform {
 public:
  // `forbidden`: holders must not act in the order A, B, A within this (bounds.leaseMs).
  explicit DutyPlatform(base::Millis forbidden) : forbidden_(forbidden) {}

  // A call arrives. The outcome that its sender is told; nothing if it gets no answer.
  std::optional<duties::CallOutcome> receive(const duties::PlatformCall& call, base::TimePoint now);

  bool down = false;  // calls are neither taken nor answered
  // Called with what a call has broken.
  std::function<void(const std::string&)> onBroken;

  // The counts that were accepted for a window, by tenant; null if there was no report.
  const std::map<std::string, std::uint64_t>* usageOf(std::uint64_t window) const;
  // The count ordered last for a subject of scaling; nothing before the first.
  std::optional<std::uint32_t> ordered(const std::string& subject) const;
  std::uint64_t newestFence(const lease::Subject& subject) const;  // 0 before the first call
  std::size_t holders(const lease::Subject& subject) const;        // that have acted so far

 private:
  struct Acted {
    base::TimePoint at;
    std::string holder;
  };
  struct SubjectHistory {
    std::uint64_t newestFence = 0;
    std::map<std::uint64_t, std::string> holderOfFence;
    std::deque<Acted> acted;  // one entry for each change of holder and the last call of each, newest last
  };

  void judgeFence(const duties::PlatformCall& call, SubjectHistory& history);
  void judgeOrder(const duties::PlatformCall& call, SubjectHistory& history, base::TimePoint now);
  void takeUsage(const duties::PlatformCall& call);
  void takeScaling(const duties::PlatformCall& call);
  void broken(const std::string& what) const {
    if (onBroken) onBroken(what);
  }

  base::Millis forbidden_;
  std::map<lease::Subject, SubjectHistory> histories_;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> usage_;  // by window and tenant
  std::map<std::string, std::uint32_t> ordered_;
};

}  // namespace indigohill::sim
