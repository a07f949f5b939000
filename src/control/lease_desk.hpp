#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "control/effects.hpp"

// Where daemons' requests about duty leases come in at a controller: each becomes an order of the replica, and the
// answer to the order goes back to the daemon.
namespace indigohill::control {

class LeaseDesk {
 public:
  // The order for a request that came from there.
  Order take(const schema::LeaseRequest& request, const settings::Endpoint& from, base::TimePoint now);
  // Turns the answers among the effects that are for daemons into messages. Those for operators stay.
  void sendReplies(Effects& effects);
  // Drops requests whose orders were never answered.
  void expire(base::TimePoint now);

 private:
  struct Waiting {
    settings::Endpoint from;
    std::uint64_t call = 0;
    schema::Address replyTo;
    base::TimePoint at{};
  };
  std::map<std::uint64_t, Waiting> waiting_;  // by the number of the order
  std::uint64_t orders_ = 0;
};

}  // namespace indigohill::control
