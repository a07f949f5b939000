#pragma once
#include <algorithm>
#include <cstdint>
#include <string>

#include "base/result.hpp"
#include "base/time.hpp"

namespace indigohill::emulator {

// The fields of an experiment: type, name (also in the YAML file, where times are milliseconds), default, least, most.
// Counts and times are bounded by these whatever a file says.
#define INDIGOHILL_EXPERIMENT(FIELD)                                                                   \
  /* The first machines run a controller each, every machine a router. */                              \
  FIELD(std::size_t, controllers, 3, 1, 12)                                                            \
  FIELD(std::size_t, routers, 4, 2, 100)                                                               \
  /* Machines are spread over zones by turns. So many machines, the first ones, have a disk. */        \
  FIELD(std::size_t, zones, 3, 1, 6)                                                                   \
  FIELD(std::size_t, disks, 12, 1, 12)                                                                 \
  /* Limits of a process, as its settings have them; the kernel enforces that on descriptors. */       \
  FIELD(std::size_t, cpuCores, 1, 1, 64)                                                               \
  FIELD(std::size_t, memoryMb, 220, 16, 65536)                                                         \
  FIELD(std::size_t, descriptors, 4096, 64, 65536)                                                     \
  /* Address space that the kernel gives a process; 0: no limit. */                                    \
  FIELD(std::size_t, addressSpaceMb, 0, 0, 65536)                                                      \
  /* How soon after its start a daemon may get SIGHUP for changed settings. */                         \
  FIELD(base::Millis, earliestReload, 0, 0, 60000)                                                     \
  FIELD(std::size_t, runnersPerService, 4, 2, 20)                                                      \
  FIELD(std::size_t, slotsPerRunner, 8, 1, 100)                                                        \
  FIELD(std::size_t, queuePerRunner, 6, 0, 100)                                                        \
  /* Of all clients, outside bursts; and the share of clients that leave early of themselves. */       \
  FIELD(double, requestsPerS, 60, 1, 1000)                                                             \
  FIELD(std::size_t, maxInProgress, 400, 1, 2000)                                                      \
  FIELD(base::Millis, patienceLeast, 4000, 1, 60000)                                                   \
  FIELD(base::Millis, patienceMost, 9000, 1, 60000)                                                    \
  FIELD(double, leaveShare, 0.05, 0, 1)                                                                \
  /* Calls of applications on tallies. */                                                              \
  FIELD(double, tallyCallsPerS, 30, 0.1, 1000)                                                         \
  FIELD(base::Millis, calmBefore, 2000, 0, 600000)                                                     \
  FIELD(base::Millis, trouble, 14000, 1000, 600000)                                                    \
  FIELD(base::Millis, calmAfter, 7000, 0, 600000)                                                      \
  /* Bounds that daemons and judges are given alike. */                                                \
  FIELD(double, warmupPerS, 4, 0.1, 1000)                                                              \
  FIELD(double, warmupOvershoot, 1.5, 1, 10)                                                           \
  FIELD(double, warmupSlack, 5, 0, 1000)                                                               \
  FIELD(base::Millis, warmup, 5000, 0, 60000)                                                          \
  FIELD(base::Millis, contact, 3000, 0, 60000)                                                         \
  FIELD(base::Millis, mergeWindow, 3000, 0, 60000)                                                     \
  FIELD(base::Millis, grace, 8000, 1000, 60000)                                                        \
  FIELD(base::Millis, listLag, 800, 0, 10000)                                                          \
  FIELD(double, listCallsPerS, 30, 1, 1000)                                                            \
  FIELD(double, retryRatio, 0.2, 0, 10)                                                                \
  FIELD(double, retrySlack, 60, 0, 10000)                                                              \
  FIELD(base::Millis, retryWindow, 10000, 1000, 60000)                                                 \
  /* What the judges allow: rule GONE's time, and a factor on rule FAILBACK's bound. CI takes both far \
     wider than the rules, so that a machine that stalls does not fail it. */                          \
  FIELD(base::Millis, goneWithin, 500, 1, 60000)                                                       \
  FIELD(double, warmupTolerance, 1, 1, 100)

// The description of an experiment.
struct Experiment {
  std::size_t zoneOf(std::size_t machine) const { return machine % zones; }
  bool hasDisk(std::size_t machine) const { return machine < disks; }
  std::size_t controllersWithDisk() const { return std::min(controllers, disks); }

#define INDIGOHILL_FIELD(type, name, fallback, least, most) type name{fallback};
  INDIGOHILL_EXPERIMENT(INDIGOHILL_FIELD)
#undef INDIGOHILL_FIELD
};

// Reads a YAML file. What it leaves out keeps its default; a name that is not known is an error.
base::Result<Experiment> readExperiment(const std::string& path);

}  // namespace indigohill::emulator
