#pragma once
#include <memory>
#include <optional>
#include <string>

#include "emulator/experiment.hpp"
#include "emulator/network.hpp"
#include "emulator/random.hpp"
#include "emulator/records.hpp"
#include "emulator/timeline.hpp"
#include "http/types.hpp"

namespace indigohill::emulator {

// The operator: declares the first configuration, changes it during the run (whole or by parts, at times two changes
// at once on top of one version), sends again unchanged what got no clear answer, and reads back at the end.
class Operator : public std::enable_shared_from_this<Operator> {
 public:
  Operator(const http::asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
           Records& records, Timeline& timeline, std::uint64_t seed);

  // False if it is not acknowledged in time.
  http::asio::awaitable<bool> declareFirst(base::Millis limit);
  // Changes from time to time, until stopped.
  void start();
  void stop() { stopped_ = true; }
  // Asks until it is answered; the answer goes to the records.
  http::asio::awaitable<void> readBack(base::Millis limit);

 private:
  struct Reply {
    int status = 0;
    std::string body, location;
  };

  http::asio::awaitable<void> changeUntilStopped();
  // Sends a change until a clear answer comes; its status, or nothing if none came in time.
  http::asio::awaitable<std::optional<int>> carryOut(std::uint64_t revision, bool whole, base::Millis limit);
  http::asio::awaitable<std::optional<Reply>> call(http::Request request);
  http::asio::awaitable<std::optional<Reply>> callAt(settings::Endpoint to, http::Request request);
  http::asio::awaitable<std::optional<ReadBack>> describe();
  std::uint64_t newChange();

  http::asio::any_io_executor executor_;
  const Experiment& experiment_;
  const Network& network_;
  Records& records_;
  Timeline& timeline_;
  Random random_;
  std::uint64_t current_ = 0;  // the newest version that is known to be in force
  std::uint64_t newest_ = 0;   // the newest that was sent
  bool stopped_ = false;
};

}  // namespace indigohill::emulator
