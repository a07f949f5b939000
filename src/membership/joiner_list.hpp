#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "base/time.hpp"
#include "membership/times.hpp"
#include "schema/messages.hpp"

// The daemons that ask to join, and those that have to wait, since they did not acknowledge a view that was to take
// them in and would hold up the next one too.
namespace indigohill::membership {

struct Joiner {
  schema::Member member;
  base::TimePoint requestedAt;
  std::uint64_t watermark = 0;  // view numbers and incarnations up to this were used before, as far as it knows
};

class JoinerList {
 public:
  explicit JoinerList(Times times) : times_(times) {}

  void put(Joiner joiner) { joiners_[joiner.member.id] = std::move(joiner); }
  const std::map<std::string, Joiner>& all() const { return joiners_; }  // by id of the daemon
  // Null when it has sent no request.
  const Joiner* find(const std::string& id) const;
  // Whether the daemon asks lately enough to be taken in.
  bool isCurrent(const Joiner& joiner, base::TimePoint now) const;
  // Those that the view has taken in ask no more.
  void install(const schema::View& view);

  // The daemon waits before it is taken in, longer if it had to lately.
  void deny(const std::string& id, base::TimePoint now);
  bool isDenied(const std::string& id, base::TimePoint now) const;

  void expire(base::TimePoint now);
  void clear();

 private:
  struct Denial {
    std::uint32_t count = 0;
    base::TimePoint until;
  };

  Times times_;
  std::map<std::string, Joiner> joiners_;
  std::map<std::string, Denial> denied_;
};

}  // namespace indigohill::membership
