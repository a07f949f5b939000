#pragma once
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "schema/messages.hpp"

// What a replica knows of the tallies: a state-based convergent data type (Shapiro, Preguiça, Baquero, Zawirski,
// "Conflict-free Replicated Data Types", SSS 2011). Pure; not thread-safe.
namespace indigohill::tally {

// Which add: the replica that took it, and the how-manieth it was there, from 1 on.
struct Position {
  std::uint64_t origin = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Position&) const = default;
};

// How far the adds of each origin are known: a version vector.
using Versions = std::map<std::uint64_t, std::uint64_t>;

Versions versionsOf(const std::vector<schema::TallyVersion>& list);
std::uint64_t through(const Versions& versions, std::uint64_t origin);

// By which an id is known within its tally.
std::string keyOf(const std::string& tally, const std::string& id);
inline std::string keyOf(const schema::TallyAdd& add) { return keyOf(add.tally, add.id); }

// A set of adds, of each origin without gaps. Ledgers that hold the same adds have the same totals, in whatever order
// the adds came. Of several adds to a tally with the same id, the one with the lowest position counts.
//
// Adds that every replica holds may be folded: of these only sums by origin and tally remain, and their ids are
// forgotten.
class Ledger {
 public:
  // Takes an add if it is the next of its origin; whether it was.
  bool append(Position at, schema::TallyAdd add);
  // Replaces what is known of an origin by what another replica has folded, if that reaches further.
  void adopt(const schema::TallyBase& base);
  void apply(const schema::TallyChanges& changes);

  // Folds the adds of an origin up to a sequence. REQUIRES: every replica holds them, and with them all other adds that
  // bear one of their ids.
  void fold(std::uint64_t origin, std::uint64_t upTo);

  std::uint64_t through(std::uint64_t origin) const;
  Versions versions() const;
  std::vector<schema::TallyVersion> versionList() const;
  // The add that counts for this id.
  std::optional<Position> find(const std::string& tally, const std::string& id) const;
  // 0 for a tally without adds.
  std::uint64_t total(const std::string& tally) const;
  // Adds whose ids are known.
  std::size_t remembered() const { return ids_.size(); }
  std::size_t tallies() const { return totals_.size(); }

  // The adds of one origin after `after`, up to `limit` of them, appended to `out`; how many those are.
  std::size_t changesOf(std::uint64_t origin, std::uint64_t after, std::size_t limit, schema::TallyChanges& out) const;

 private:
  struct Origin {
    std::uint64_t folded = 0;                         // sequence of the last add that was folded
    std::map<std::string, std::uint64_t> foldedSums;  // by tally
    std::deque<schema::TallyAdd> adds;                // after `folded`
  };
  struct Counted {
    Position at;
    std::vector<Position> duplicates;
  };

  schema::TallyAdd* findAdd(Position at);
  void count(Position at, const schema::TallyAdd& add);
  void uncount(Position at, const schema::TallyAdd& add);

  std::map<std::uint64_t, Origin> origins_;
  std::unordered_map<std::string, Counted> ids_;  // by tally and id
  std::unordered_map<std::string, std::uint64_t> totals_;
};

}  // namespace indigohill::tally
