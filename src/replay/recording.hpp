#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"

// Recorded traffic, and the fleet it is replayed against.
namespace indigohill::replay {

// One request as a router recorded it (settings: trafficLog=true).
struct Recorded {
  base::Millis at{0};  // since the first of the recording
  std::string host, path, id, prompt, tokens;
  base::Millis left{0}, total{0}, first{-1};
  int status = 0;
};

// Runners of one service in one zone, as they are modelled.
struct Group {
  std::string service, zone;
  std::uint32_t count = 1, slots = 1, queue = 16;
  double speed = 1;  // 1.3: takes 1.3 times as long
  // Engines alone:
  double promptTokensPerMs = 0;  // 0: no engine
  double stepMs = 3.5, stepMsPerSlot = 0.1;
  std::uint32_t tokensPerEvent = 6;
  std::uint64_t cacheTokens = 600000;
};

// Something that happens to the fleet while the traffic is replayed.
struct Fault {
  base::Millis at{0}, lasts{0};
  enum class Kind { RunnerCrash, RunnerDrain, RouterKill } kind = Kind::RunnerCrash;
  std::string name;  // of the runner (service/zone/number) or the router (router/number)
};

struct Model {
  std::vector<Group> groups;
  std::vector<Fault> troubles;
  std::vector<std::string> zones;  // one router each, in this order, unless `routers` says more
  std::uint32_t routers = 0;
  std::uint32_t clientTries = 1;  // further tries that a client makes by itself
  base::Millis listLag{500};      // until routers know that a runner drains or is gone
};

// Lines of the log that are records of requests, in order of time; other lines are passed over. A record that cannot
// be read is a fault that names the line.
base::Result<std::vector<Recorded>> parseRecording(const std::string& text);

// A fault names the field.
base::Result<Model> parseModel(const std::string& text);

}  // namespace indigohill::replay
