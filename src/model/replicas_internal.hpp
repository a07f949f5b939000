#pragma once
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/replicas.hpp"

// What the files that make up ReplicaModel share. Not for others.
namespace indigohill::model::replica_model {

using Kind = ReplicaAction::Kind;
using base::Millis;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kTick{250};
constexpr std::size_t kZones = 3;

inline std::string nameOf(std::uint8_t index) { return std::string(1, static_cast<char>('a' + index)); }

template <class Wanted>
bool is(const ReplicaModel::InFlight& message) {
  return std::holds_alternative<Wanted>(*message.message);
}

// Where the message that the action names is among these, if it is there.
inline std::optional<std::size_t> findMessage(const std::vector<ReplicaModel::InFlight>& among,
                                              const ReplicaAction& action) {
  std::size_t nth = action.nth;
  for (std::size_t at = 0; at < among.size(); ++at)
    if (among[at].to == action.machine && among[at].from == action.from && among[at].message->index() == action.type &&
        nth-- == 0)
      return at;
  return std::nullopt;
}

inline std::string describe(const schema::EpochRecord& record) {
  return fmt::format("epoch {} primary {} backups [{}] voters [{}]", record.epoch, record.primary,
                     fmt::join(record.backups, " "), fmt::join(record.voters, " "));
}

}  // namespace indigohill::model::replica_model
