#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.hpp"
#include "schema/messages.hpp"

// Which runners may serve together while weights are rolled out. Pure: what the operator declares, what the platform's
// list tells about a runner, and whether the two agree.
namespace indigohill::rollout {

// What a runner's answers depend on: the revision of its software and, for each model, of the weights with the
// adapters on them.
struct Snapshot {
  std::string revision;
  std::vector<schema::ModelEntry> models;  // by name, adapters in order
  bool operator==(const Snapshot&) const = default;

  // The weights' revision for a model, which may also be named by one of its adapters; without a name, the one that all
  // models share. None if that does not settle it.
  std::optional<std::uint64_t> version(std::string_view model) const;
};

// As the platform's list tells it. A runner that tells no software revision has a snapshot that is not known.
Snapshot snapshotOf(const schema::RunnerEntry& entry);

struct Stage {
  std::string name;
  std::vector<std::string> serve;  // names of snapshots that may serve together
};

struct Record {
  std::string service;
  std::uint64_t number = 0;
  std::map<std::string, Snapshot> snapshots;
  std::vector<Stage> stages;
  std::vector<std::pair<std::string, std::string>> withinStream;  // from, to: a stream may change so and stay whole
  bool evenWithoutRunners = false;
};

// A fault names the field, as in "stages[1].serve: ...".
base::Result<Record> parseRecord(std::string_view document);

// A declared rollout as a daemon has it.
struct InForce {
  std::string service;
  std::uint64_t number = 0;
  std::size_t stage = 0;
  std::optional<Record> record;  // none: this program cannot read it
  std::string problem;           // why not

  // Why a runner with this snapshot must not serve; empty when it may.
  std::string heldBack(const Snapshot& snapshot) const;
  // Whether weights may change so within one stream.
  bool allowsWithinStream(std::string_view model, std::uint64_t from, std::uint64_t to) const;
};

// None for a rollout that was withdrawn.
std::optional<InForce> read(const schema::Rollout& rollout);

}  // namespace indigohill::rollout
