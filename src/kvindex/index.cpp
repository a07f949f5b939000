#include "kvindex/index.hpp"

#include <algorithm>

#include "base/hash.hpp"

namespace indigohill::kvindex {

namespace {
std::uint64_t held(NodeId node, RunnerId runner) { return std::uint64_t{node} << 32 | runner; }
// A hash table's place for one entry, counted at the load that it has just after it has grown.
template <class Map>
constexpr std::size_t kPlace = 2 * (sizeof(typename Map::value_type) + 1);
}  // namespace

std::size_t Index::EdgeHash::operator()(const Edge& e) const { return base::mix(e.part ^ base::mix(e.parent)); }
std::size_t Index::PairHash::operator()(std::uint64_t key) const { return base::mix(key); }

std::size_t Index::bytes() const {
  return liveNodes_ * (sizeof(Node) + kPlace<decltype(edges_)>)+liveBlocks_ * (sizeof(Block) + kPlace<decltype(held_)>);
}

std::uint64_t Index::keptTokens(RunnerId runner) const { return runner < runners_.size() ? runners_[runner].kept : 0; }

std::vector<std::uint64_t> Index::path(NodeId node) const {
  std::vector<std::uint64_t> out;
  for (; nodes_[node].parent != kNone; node = nodes_[node].parent) out.push_back(nodes_[node].part);
  std::reverse(out.begin(), out.end());
  return out;
}

NodeId Index::find(NodeId parent, std::uint64_t part) const {
  const auto found = edges_.find(Edge{part, parent});
  return found == edges_.end() ? kNone : found->second;
}

NodeId Index::findOrAdd(NodeId parent, std::uint64_t part, std::uint32_t tokens) {
  if (const auto node = find(parent, part); node != kNone) return node;
  NodeId id;
  if (freeNodes_.empty()) {
    id = static_cast<NodeId>(nodes_.size());
    nodes_.emplace_back();
  } else {
    id = freeNodes_.back();
    freeNodes_.pop_back();
  }
  nodes_[id] = {part, parent, parent == kNone ? id : nodes_[parent].root, tokens, 0, {}};
  if (parent != kNone) ++nodes_[parent].children;
  edges_.emplace(Edge{part, parent}, id);
  ++liveNodes_;
  return id;
}

// The node of the whole prompt, or none.
NodeId Index::walk(std::uint64_t model, PromptView prompt) const {
  auto node = find(kNone, model);
  for (const auto& [part, tokens] : prompt) {
    if (node == kNone) break;
    node = find(node, part);
  }
  return node;
}

Index::BlockId Index::blockAt(NodeId node, RunnerId runner) const {
  const auto found = held_.find(held(node, runner));
  return found == held_.end() ? kNone : found->second;
}

Index::Runner& Index::at(RunnerId runner) {
  if (runner >= runners_.size()) runners_.resize(runner + 1);
  return runners_[runner];
}

Index::Ends& Index::ends(List list, const Block& block) {
  if (list == All) return all_;
  return list == OfRunner ? runners_[block.runner].blocks : nodes_[block.node].blocks;
}

void Index::link(BlockId id) {
  for (std::size_t i = 0; i < kLists; ++i) {
    auto& [first, last] = ends(static_cast<List>(i), blocks_[id]);
    blocks_[id].at[i] = {kNone, first};
    (first == kNone ? last : blocks_[first].at[i].before) = id;
    first = id;
  }
}

void Index::unlink(BlockId id) {
  for (std::size_t i = 0; i < kLists; ++i) {
    auto& [first, last] = ends(static_cast<List>(i), blocks_[id]);
    const auto [before, after] = blocks_[id].at[i];
    (before == kNone ? first : blocks_[before].at[i].after) = after;
    (after == kNone ? last : blocks_[after].at[i].before) = before;
  }
}

void Index::touch(NodeId node, RunnerId runner) {
  if (const auto id = blockAt(node, runner); id != kNone) {
    unlink(id);
    link(id);
  }
}

// Nodes that nobody keeps and that lead nowhere go; a model's root too.
void Index::prune(NodeId node) {
  while (node != kNone && nodes_[node].children == 0 && nodes_[node].blocks.first == kNone) {
    const auto parent = nodes_[node].parent;
    edges_.erase(Edge{nodes_[node].part, parent});
    freeNodes_.push_back(node);
    --liveNodes_;
    if (parent != kNone) --nodes_[parent].children;
    node = parent;
  }
}

void Index::apply(const Event& event) {
  if (const auto* stored = std::get_if<BlockStored>(&event)) {
    auto& runner = at(stored->runner);
    auto id = blockAt(stored->node, stored->runner);
    if (id == kNone) {
      if (freeBlocks_.empty()) {
        id = static_cast<BlockId>(blocks_.size());
        blocks_.emplace_back();
      } else {
        id = freeBlocks_.back();
        freeBlocks_.pop_back();
      }
      blocks_[id] = {};
      blocks_[id].node = stored->node;
      blocks_[id].runner = stored->runner;
      held_.emplace(held(stored->node, stored->runner), id);
      link(id);
      ++liveBlocks_;
    }
    if (!blocks_[id].tiers.add(stored->tier)) return;
    // Only the device tier is bounded by what the runner tells.
    if (stored->tier == Tier::Gpu) runner.kept += nodes_[stored->node].tokens;
    ++counters_.stores;
  } else {
    const auto& removed = std::get<BlockRemoved>(event);
    const auto id = blockAt(removed.node, removed.runner);
    if (id == kNone || !blocks_[id].tiers.remove(removed.tier)) return;
    if (removed.tier == Tier::Gpu) at(removed.runner).kept -= nodes_[removed.node].tokens;
    ++counters_.removes;
    if (blocks_[id].tiers.empty()) {
      unlink(id);
      held_.erase(held(removed.node, removed.runner));
      freeBlocks_.push_back(id);
      --liveBlocks_;
    }
  }
  if (watch_) watch_(event);
  if (const auto* removed = std::get_if<BlockRemoved>(&event)) prune(removed->node);
}

// A block leaves all its tiers.
void Index::drop(BlockId id) {
  const auto [node, runner, links, tiers] = blocks_[id];
#define INDIGOHILL_TIER(name, text) \
  if (tiers.has(Tier::name)) apply(BlockRemoved{runner, Tier::name, node});
  INDIGOHILL_TIERS(INDIGOHILL_TIER)
#undef INDIGOHILL_TIER
}

// The runner's own rule: the longest unused gives way. A part is used whenever one behind it is, so the parts behind
// go first.
void Index::fit(RunnerId runner) {
  auto& r = at(runner);
  for (auto id = r.blocks.last; r.capacity != 0 && r.kept > r.capacity && id != kNone;) {
    const auto before = blocks_[id].at[OfRunner].before;
    if (blocks_[id].tiers.has(Tier::Gpu)) apply(BlockRemoved{runner, Tier::Gpu, blocks_[id].node});
    id = before;
  }
}

void Index::fitBound() {
  const bool full = bytes() > bound_;
  while (bytes() > bound_ && all_.last != kNone) {
    ++counters_.forgotten;
    drop(all_.last);
  }
  // A bound that does not hold even what was stored last holds nothing.
  noRoom_ = full && liveBlocks_ == 0;
}

void Index::store(RunnerId runner, std::uint64_t model, PromptView prompt, Tier tier) {
  if (prompt.empty()) return;
  std::vector<NodeId> nodes;
  nodes.reserve(prompt.size());
  auto node = findOrAdd(kNone, model, 0);
  for (const auto& [part, tokens] : prompt) {
    node = findOrAdd(node, part, tokens);
    nodes.push_back(node);
    apply(BlockStored{runner, tier, node});
  }
  std::for_each(nodes.rbegin(), nodes.rend(), [&](NodeId kept) { touch(kept, runner); });
  fit(runner);
  fitBound();
}

void Index::move(RunnerId runner, std::uint64_t model, PromptView prompt, Tier from, Tier to) {
  const auto node = walk(model, prompt);
  if (node == kNone || prompt.empty()) return;
  const auto id = blockAt(node, runner);
  if (id == kNone || !blocks_[id].tiers.has(from) || from == to) return;
  apply(BlockStored{runner, to, node});
  apply(BlockRemoved{runner, from, node});
  fit(runner);
}

void Index::remove(RunnerId runner, std::uint64_t model, PromptView prompt, Tier tier) {
  if (const auto node = walk(model, prompt); node != kNone && !prompt.empty()) apply(BlockRemoved{runner, tier, node});
}

void Index::setCapacity(RunnerId runner, std::uint64_t tokens) {
  if (at(runner).capacity == tokens) return;
  at(runner).capacity = tokens;
  fit(runner);
}

void Index::setRevision(RunnerId runner, std::uint64_t model, std::uint64_t revision) {
  auto& known = at(runner).revisions;
  const auto found = std::find_if(known.begin(), known.end(), [&](const auto& r) { return r.first == model; });
  if (found == known.end()) {
    if (known.size() >= kMaxModelsPerRunner) {
      dropModel(runner, known.front().first);
      known.erase(known.begin());
    }
    known.emplace_back(model, revision);
    return;
  }
  const bool changed = std::exchange(found->second, revision) != revision;
  // The one told of last stands last.
  std::rotate(found, std::next(found), known.end());
  if (changed) dropModel(runner, model);
}

void Index::dropModel(RunnerId runner, std::uint64_t model) {
  const auto root = find(kNone, model);
  for (auto id = at(runner).blocks.first; id != kNone;) {
    const auto after = blocks_[id].at[OfRunner].after;
    if (nodes_[blocks_[id].node].root == root) drop(id);
    id = after;
  }
}

void Index::clear(RunnerId runner) {
  if (runner >= runners_.size()) return;
  while (runners_[runner].blocks.first != kNone) drop(runners_[runner].blocks.last);
  runners_[runner].revisions.clear();
}

Overlap Index::overlap(RunnerId runner, std::uint64_t model, PromptView prompt) const {
  Overlap out{runner};
  auto node = find(kNone, model);
  for (const auto& [part, tokens] : prompt) {
    if (node == kNone || (node = find(node, part)) == kNone) break;
    const auto id = blockAt(node, runner);
    if (id == kNone) break;
    ++out.parts;
    out.tokens += nodes_[node].tokens;
    out.tier = *blocks_[id].tiers.best();
  }
  return out;
}

base::Result<std::vector<Overlap>> Index::match(std::uint64_t model, PromptView prompt, std::size_t most) const {
  if (noRoom_) return base::Error{base::ErrorCode::Exhausted, "the index has no room for a prompt"};
  std::vector<Overlap> out;
  std::vector<NodeId> nodes;
  auto node = find(kNone, model);
  for (const auto& [part, tokens] : prompt) {
    if (node == kNone || (node = find(node, part)) == kNone) break;
    nodes.push_back(node);
  }
  // From the deepest part up. At each level only the latest users are looked at, so a first part that everybody keeps
  // costs no more than one that few keep.
  for (; !nodes.empty() && out.size() < most; nodes.pop_back()) {
    auto left = most;
    for (auto id = nodes_[nodes.back()].blocks.first; id != kNone && left > 0 && out.size() < most;
         id = blocks_[id].at[OfNode].after, --left) {
      const auto runner = blocks_[id].runner;
      if (std::any_of(out.begin(), out.end(), [&](const auto& o) { return o.runner == runner; })) continue;
      Overlap found{runner, 0, 0, *blocks_[id].tiers.best()};
      // All parts before it must be kept there too.
      for (const auto before : nodes) {
        if (blockAt(before, runner) == kNone) break;
        ++found.parts;
        found.tokens += nodes_[before].tokens;
      }
      if (found.parts == nodes.size()) out.push_back(found);
    }
  }
  ++(out.empty() ? counters_.misses : counters_.hits);
  return out;
}

}  // namespace indigohill::kvindex
