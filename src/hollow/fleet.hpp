#pragma once
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hollow/daemon.hpp"

// Many hollow daemons on a simulated network and clock, all drawn from a seed. Messages pass through the real
// encoding; each daemon's messages, bytes, processor time and memory are counted.
namespace indigohill::hollow {

struct Shape {
  std::size_t daemons = 11;  // controllers among them
  std::size_t controllers = 3;
  std::size_t runners = 9;
  std::size_t tenants = 24;  // one route each
  std::size_t models = 16;   // one service each
  std::size_t zones = 5, regions = 2;
  std::size_t faultTolerance = 1;  // machines with a disk that may be lost at once
  std::uint64_t seed = 1;
  double loss = 0.001;    // of packets
  double linkMbps = 100;  // of each daemon's machine, outgoing
  std::chrono::microseconds inZone{250}, inRegion{700}, betweenRegions{10000};
};

// What one daemon has sent, received and spent since the counters were last set back.
struct Totals {
  std::array<std::uint64_t, kKinds> sentMessages{}, sentBytes{}, receivedMessages{}, receivedBytes{};
  std::uint64_t cpuNs = 0;  // of the thread, around the calls into the core and the encoding; real
  std::uint64_t platformReads = 0;

  std::uint64_t sent() const;
  std::uint64_t received() const;
  std::uint64_t messages() const;  // both ways
};

class Fleet {
 public:
  explicit Fleet(Shape shape);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  const Shape& shape() const { return shape_; }
  base::TimePoint now() const { return now_; }
  void run(base::Millis span);
  // Runs until `done` holds, looked at each simulated millisecond; the time taken, or nothing when `limit` has passed.
  std::optional<base::Millis> runUntil(base::Millis limit, const std::function<bool()>& done);

  // Daemons 0..controllers-1 are controllers, the others routers. Zones go round; odd zones are of the second region.
  std::size_t size() const { return nodes_.size(); }
  bool alive(std::size_t i) const { return nodes_[i].daemon != nullptr; }
  const Daemon& daemon(std::size_t i) const { return *nodes_[i].daemon; }
  const Totals& totals(std::size_t i) const { return nodes_[i].totals; }
  std::size_t zoneOf(std::size_t i) const { return i % shape_.zones; }
  std::size_t regionOf(std::size_t i) const { return zoneOf(i) % shape_.regions; }
  static std::size_t account(std::size_t i) { return i + 1; }  // of its memory
  void setBack();                                              // counters and the most memory

  void start(std::size_t i);
  void kill(std::size_t i);  // loses its power: writes that are not on disk yet are lost
  void partRegions(bool is) { parted_ = is; }
  void change(std::uint64_t revision);  // one route of the configuration, at the primary; again until it is taken
  void drainRunner(std::size_t runner, bool is);
  void announceLoad(std::size_t i, const schema::LoadNotice& notice);

  std::optional<std::size_t> primary() const;
  std::optional<std::size_t> discoveryLeader() const;
  bool viewEverywhere() const;  // every running daemon holds the same view, of exactly the running daemons
  bool inForceEverywhere(std::uint64_t revision) const;
  bool listEverywhere(const schema::StateVersion& least) const;

 private:
  struct Parcel {
    settings::Endpoint to;
    std::size_t kind;
    std::shared_ptr<const std::string> bytes;
  };
  // To one other daemon, for what is too large for a datagram: one message at a time.
  struct Channel {
    std::deque<Parcel> waiting;
    bool busy = false;
  };
  struct Node {
    Place place;
    std::unique_ptr<Daemon> daemon;
    std::uint64_t incarnation = 0;
    Daemon::Disk disk;
    std::vector<control::DiskWrite> unsynced;
    base::TimePoint linkFreeAt{};
    std::map<std::size_t, Channel> channels;
    Totals totals;
  };
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> what;
  };

  void at(base::TimePoint when, std::function<void()> what);
  void step(std::size_t i, const std::function<void(Daemon&, Output&)>& call);
  void pack(net::Outbox& out, std::vector<Parcel>& parcels) const;
  void dispatch(std::size_t from, std::vector<Parcel>& parcels);
  void datagram(std::size_t from, std::size_t to, Parcel parcel);
  void overChannel(std::size_t from, std::size_t to, std::uint64_t incarnation);
  base::TimePoint arrival(std::size_t from, std::size_t to, std::size_t size);
  bool loses(std::size_t size);
  bool reaches(std::size_t from, std::size_t to) const {
    return to < nodes_.size() && !(parted_ && regionOf(to) != regionOf(from));
  }
  void arrived(std::size_t to, std::size_t from, const Parcel& parcel);
  void sync(std::size_t i, std::uint64_t incarnation);
  void tickLoop(std::size_t i, std::uint64_t incarnation);
  std::size_t indexOf(const settings::Endpoint& peerAddress) const;

  Shape shape_;
  std::mt19937_64 random_;
  base::TimePoint now_{std::chrono::hours(1)};
  std::vector<Event> events_;  // a heap, the next event in front
  std::uint64_t order_ = 0, calls_ = 0, inForce_ = 0, wanted_ = 0;
  std::vector<Node> nodes_;
  std::vector<Place> seeds_;
  std::vector<schema::RunnerEntry> platform_;
  bool first_ = true, parted_ = false;
};

// A configuration with a route for each tenant and a service for each model.
std::string configuration(std::uint64_t revision, std::size_t tenants, std::size_t models);
std::vector<schema::RunnerEntry> runnerList(std::size_t runners, std::size_t models, std::size_t zones);

std::uint64_t threadCpuNs();

}  // namespace indigohill::hollow
