#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/calls.hpp"
#include "http/server.hpp"
#include "net/link.hpp"
#include "store/log_writer.hpp"
#include "tally/replica.hpp"

// The tallies at a controller with a disk: calls of applications, messages between replicas and the log on disk, around
// tally::Replica. Runs on one executor but for the disk's thread.
namespace indigohill::cli {

class TallyService {
 public:
  TallyService(http::asio::any_io_executor executor, net::Link& link, store::AppendLog log, bool mayBeFirst,
               tally::Options options, std::uint64_t seed);

  http::asio::awaitable<http::Response> carryOut(const control::Call& call, const http::Request& request);
  // Whether the message was one about tallies.
  bool receive(const schema::Message& message, const settings::Endpoint& from);
  void tick(const tally::Surroundings& surroundings);
  // From now on adds are turned away: the process is about to end.
  void shutDown() { shuttingDown_ = true; }

  const tally::Replica& replica() const { return replica_; }

 private:
  struct Waiting {
    std::shared_ptr<http::asio::steady_timer> timer;
    std::optional<tally::AddResult> result;
  };

  http::asio::awaitable<tally::AddResult> add(schema::TallyAdd add);
  void apply(tally::Effects& effects);

  http::asio::any_io_executor executor_;
  net::Link& link_;
  tally::Replica replica_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t calls_ = 0;
  bool shuttingDown_ = false;
  store::LogWriter log_;  // its thread ends first
};

}  // namespace indigohill::cli
