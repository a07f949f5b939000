#include "tally/ledger.hpp"

#include <algorithm>

namespace indigohill::tally {

namespace {

// A name of a tally or an id never holds this character (see requests.hpp).
constexpr char kSeparator = '\n';

}  // namespace

std::string keyOf(const std::string& tally, const std::string& id) { return tally + kSeparator + id; }

Versions versionsOf(const std::vector<schema::TallyVersion>& list) {
  Versions out;
  for (const auto& entry : list) out[entry.origin] = std::max(out[entry.origin], entry.sequence);
  return out;
}

std::uint64_t through(const Versions& versions, std::uint64_t origin) {
  const auto found = versions.find(origin);
  return found == versions.end() ? 0 : found->second;
}

bool Ledger::append(Position at, schema::TallyAdd add) {
  if (at.sequence != through(at.origin) + 1) return false;
  count(at, add);
  origins_[at.origin].adds.push_back(std::move(add));
  return true;
}

void Ledger::apply(const schema::TallyChanges& changes) {
  for (const auto& base : changes.bases) adopt(base);
  for (const auto& run : changes.runs)
    for (std::size_t i = 0; i < run.adds.size(); ++i) append({run.origin, run.first + i}, run.adds[i]);
}

void Ledger::count(Position at, const schema::TallyAdd& add) {
  if (add.id.empty()) return;
  auto [entry, isNew] = ids_.try_emplace(keyOf(add), Counted{at, {}});
  auto& counted = entry->second;
  if (isNew) {
    totals_[add.tally] += add.amount;
    return;
  }
  if (counted.at < at) {
    counted.duplicates.push_back(at);
    return;
  }
  const auto* former = findAdd(counted.at);
  totals_[add.tally] += add.amount - (former == nullptr ? 0 : former->amount);
  counted.duplicates.push_back(counted.at);
  counted.at = at;
}

void Ledger::uncount(Position at, const schema::TallyAdd& add) {
  const auto found = add.id.empty() ? ids_.end() : ids_.find(keyOf(add));
  if (found == ids_.end()) return;
  auto& counted = found->second;
  if (counted.at != at) {
    std::erase(counted.duplicates, at);
    return;
  }
  totals_[add.tally] -= add.amount;
  if (counted.duplicates.empty()) {
    ids_.erase(found);
    return;
  }
  const auto next = std::min_element(counted.duplicates.begin(), counted.duplicates.end());
  counted.at = *next;
  counted.duplicates.erase(next);
  if (const auto* other = findAdd(counted.at)) totals_[add.tally] += other->amount;
}

void Ledger::adopt(const schema::TallyBase& base) {
  if (base.through <= through(base.origin)) return;
  auto& origin = origins_[base.origin];
  for (std::size_t i = 0; i < origin.adds.size(); ++i) uncount({base.origin, origin.folded + 1 + i}, origin.adds[i]);
  for (const auto& [tally, sum] : origin.foldedSums) totals_[tally] -= sum;
  origin = {};
  origin.folded = base.through;
  for (const auto& sum : base.totals) {
    origin.foldedSums[sum.tally] += sum.amount;
    totals_[sum.tally] += sum.amount;
  }
}

void Ledger::fold(std::uint64_t originId, std::uint64_t upTo) {
  const auto found = origins_.find(originId);
  if (found == origins_.end()) return;
  auto& origin = found->second;
  while (origin.folded < upTo && !origin.adds.empty()) {
    const Position at{originId, origin.folded + 1};
    const auto add = std::move(origin.adds.front());
    origin.adds.pop_front();
    origin.folded = at.sequence;
    if (add.id.empty()) continue;
    const auto entry = ids_.find(keyOf(add));
    if (entry == ids_.end()) continue;
    if (entry->second.at != at) {
      std::erase(entry->second.duplicates, at);
      continue;
    }
    origin.foldedSums[add.tally] += add.amount;
    // Without their id, which is forgotten here, they would count for themselves at a replica that gets them later.
    for (const auto& duplicate : entry->second.duplicates)
      if (auto* other = findAdd(duplicate)) *other = {};
    ids_.erase(entry);
  }
}

std::uint64_t Ledger::through(std::uint64_t origin) const {
  const auto found = origins_.find(origin);
  return found == origins_.end() ? 0 : found->second.folded + found->second.adds.size();
}

Versions Ledger::versions() const {
  Versions out;
  for (const auto& [id, origin] : origins_) out[id] = origin.folded + origin.adds.size();
  return out;
}

std::vector<schema::TallyVersion> Ledger::versionList() const {
  std::vector<schema::TallyVersion> out;
  out.reserve(origins_.size());
  for (const auto& [id, origin] : origins_) out.push_back({id, origin.folded + origin.adds.size()});
  return out;
}

std::optional<Position> Ledger::find(const std::string& tally, const std::string& id) const {
  const auto found = ids_.find(keyOf(tally, id));
  if (found == ids_.end()) return std::nullopt;
  return found->second.at;
}

std::uint64_t Ledger::total(const std::string& tally) const {
  const auto found = totals_.find(tally);
  return found == totals_.end() ? 0 : found->second;
}

schema::TallyAdd* Ledger::findAdd(Position at) {
  const auto found = origins_.find(at.origin);
  if (found == origins_.end() || at.sequence <= found->second.folded) return nullptr;
  const auto index = at.sequence - found->second.folded - 1;
  return index < found->second.adds.size() ? &found->second.adds[index] : nullptr;
}

std::size_t Ledger::changesOf(std::uint64_t originId, std::uint64_t after, std::size_t limit,
                              schema::TallyChanges& out) const {
  const auto found = origins_.find(originId);
  if (found == origins_.end() || limit == 0) return 0;
  const auto& origin = found->second;
  if (after < origin.folded) {
    schema::TallyBase base{originId, origin.folded, {}};
    for (const auto& [tally, sum] : origin.foldedSums) base.totals.push_back({tally, sum});
    out.bases.push_back(std::move(base));
    after = origin.folded;
  }
  const auto begin = after - origin.folded;
  if (begin >= origin.adds.size()) return 0;
  const auto count = std::min<std::size_t>(limit, origin.adds.size() - begin);
  const auto first = origin.adds.begin() + static_cast<std::ptrdiff_t>(begin);
  out.runs.push_back({originId, after + 1, {first, first + static_cast<std::ptrdiff_t>(count)}});
  return count;
}

}  // namespace indigohill::tally
