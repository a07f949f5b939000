#pragma once
#include <memory>
#include <optional>
#include <string>

#include "emulator/experiment.hpp"
#include "emulator/network.hpp"
#include "emulator/peer_cuts.hpp"
#include "emulator/random.hpp"
#include "emulator/records.hpp"
#include "http/types.hpp"

namespace indigohill::emulator {

// The applications: each sits in a zone, adds to tallies and reads them at the controllers that it reaches, those of
// its zone first. After a failure, a 5xx, a 429 or a second without an answer it goes on to another one, with the same
// id. Some adds are sent again although they were acknowledged. Open loop.
class Applications : public std::enable_shared_from_this<Applications> {
 public:
  // The references must outlive the event loop.
  Applications(const http::asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
               const PeerCuts& cuts, Records& records, std::uint64_t seed);

  void start();
  void stop() { stopped_ = true; }
  // Adds that are not clear yet.
  std::size_t inProgress() const { return inProgress_; }
  // Reads every tally at every controller, each until it answers; what came goes to the records.
  http::asio::awaitable<void> readBack(base::Millis limit);

 private:
  http::asio::awaitable<void> generate();
  // Sends an add until it is acknowledged or the application gives up.
  http::asio::awaitable<void> add(std::size_t index, std::size_t zone);
  http::asio::awaitable<bool> tryToAdd(TallyAdd& add, std::size_t controller);
  http::asio::awaitable<void> readSome(std::size_t zone);
  http::asio::awaitable<std::optional<TallyRead>> read(std::string tally, std::size_t controller);
  http::asio::awaitable<std::optional<http::Response>> call(std::size_t controller, http::Request request);
  std::size_t newAdd();
  std::vector<std::size_t> controllersFrom(std::size_t zone);
  Answerer answerer(std::size_t controller) const;

  http::asio::any_io_executor executor_;
  const Experiment& experiment_;
  const Network& network_;
  const PeerCuts& cuts_;
  Records& records_;
  Random random_;
  std::size_t inProgress_ = 0;
  bool stopped_ = false;
};

}  // namespace indigohill::emulator
