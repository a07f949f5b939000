#pragma once
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "emulator/experiment.hpp"
#include "emulator/network.hpp"
#include "emulator/records.hpp"
#include "emulator/runner.hpp"
#include "http/server.hpp"

namespace indigohill::emulator {

// A stand-in for the platform: it starts and ends runners, and tells of them by `GET /instances`, late by the list's
// lag and up to a rate of calls.
class Platform : public std::enable_shared_from_this<Platform> {
 public:
  Platform(const http::asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
           Records& records);

  void start();
  void stop();

  // A runner that has just started; one that is cold warms up for the experiment's time.
  std::shared_ptr<Runner> add(const std::string& service, bool cold);
  // Dies at once; it stays on the list for some seconds.
  void crash(const std::shared_ptr<Runner>& runner);
  // Listed as draining at once; ends after the drain time.
  void drain(const std::shared_ptr<Runner>& runner);

  // Every link is whole again.
  void openLinks();

  // Those of a service that take requests.
  std::vector<std::shared_ptr<Runner>> serving(const std::string& service) const;
  std::vector<std::shared_ptr<Runner>> serving() const;

 private:
  struct Entry {
    std::shared_ptr<Runner> runner;
    base::TimePoint endAt = base::TimePoint::max();  // of one that drains
    base::TimePoint unlistedAt = base::TimePoint::max();
    bool addressReused = false;
  };
  struct List {
    base::TimePoint at;
    std::string json;
  };

  http::asio::awaitable<void> keepList();
  http::Response answer(const http::Request& request);
  settings::Endpoint freeAddress(base::TimePoint now);
  void takeList(base::TimePoint now);
  bool admitCall(base::TimePoint now);

  http::asio::any_io_executor executor_;
  const Experiment& experiment_;
  const Network& network_;
  Records& records_;
  http::Server server_;
  std::vector<Entry> entries_;
  std::deque<List> lists_;  // the oldest is the one that is told
  std::deque<base::TimePoint> calls_;
  std::size_t started_ = 0, addresses_ = 0;
  bool stopped_ = false;
};

}  // namespace indigohill::emulator
