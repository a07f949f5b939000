#pragma once
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include "base/result.hpp"
#include "kvindex/logit.hpp"
#include "kvindex/tiers.hpp"

// Which runner keeps which parts of prompts, as far as one daemon can tell. Pure: no I/O, no clock; the order of the
// calls is the order of use.
namespace indigohill::kvindex {

using RunnerId = std::uint32_t;
using NodeId = std::uint32_t;

// A block is one part of a prompt behind all parts before it: a node of the tree. Parts are uneven, so a block has its
// own number of tokens.
struct BlockStored {
  RunnerId runner;
  Tier tier;
  NodeId node;
};
struct BlockRemoved {
  RunnerId runner;
  Tier tier;
  NodeId node;
};
using Event = std::variant<BlockStored, BlockRemoved>;

// What a runner keeps of a prompt, from its first part on without a gap.
struct Overlap {
  RunnerId runner = 0;
  std::uint32_t parts = 0;
  std::uint64_t tokens = 0;
  Tier tier = Tier::Gpu;  // of the last of these parts, the best one
};

struct Counters {
  std::uint64_t hits = 0, misses = 0;  // look-ups that found a runner, and that found none
  std::uint64_t stores = 0, removes = 0;
  std::uint64_t forgotten = 0;  // blocks that left because the index itself was full
};

// A radix tree over part ids for each model, and per node the runners that keep it with their tiers.
class Index {
 public:
  // `bytes`: the memory that the index may take; the longest unused blocks leave first.
  explicit Index(std::size_t bytes) : bound_(bytes) {}

  // The tokens that the runner's device tier holds for prompts; 0: not known, nothing is removed for it.
  void setCapacity(RunnerId runner, std::uint64_t tokens);
  // Other weights under a model's name: what was computed with the old ones is of no use. The first
  // revision heard of a runner is taken to be the one it had all along. Clients choose the names of models: of
  // each runner as many are known as those named last, and the others' parts are forgotten with them.
  void setRevision(RunnerId runner, std::uint64_t model, std::uint64_t revision);
  // The runner is gone, or a new life stands in its place.
  void clear(RunnerId runner);

  // The runner keeps the whole prompt on this tier: a store for each part that was not there, then removes until what
  // it keeps fits again.
  void store(RunnerId runner, std::uint64_t model, PromptView prompt, Tier tier = Tier::Gpu);
  // From one tier to another: stored in the new one before it is removed from the old, so that no look-up misses it.
  void move(RunnerId runner, std::uint64_t model, PromptView prompt, Tier from, Tier to);
  // The last part of the prompt has left this tier.
  void remove(RunnerId runner, std::uint64_t model, PromptView prompt, Tier tier);
  // The one place where a block comes or goes.
  void apply(const Event& event);

  // The runners that keep the most of a prompt, at most `most` of them, the longest overlap first. A fault if the
  // bound leaves no room for any prompt. The number of steps does not depend on the number of runners.
  base::Result<std::vector<Overlap>> match(std::uint64_t model, PromptView prompt, std::size_t most) const;
  // What one runner keeps.
  Overlap overlap(RunnerId runner, std::uint64_t model, PromptView prompt) const;

  const Counters& counters() const { return counters_; }
  std::size_t blocks() const { return liveBlocks_; }
  std::size_t nodes() const { return liveNodes_; }
  // What the index takes, by its own count.
  std::size_t bytes() const;
  std::uint64_t keptTokens(RunnerId runner) const;
  // Sees each event just after it was applied.
  void setWatch(std::function<void(const Event&)> watch) { watch_ = std::move(watch); }
  // The parts that lead to a node.
  std::vector<std::uint64_t> path(NodeId node) const;

  static constexpr std::size_t kMaxModelsPerRunner = 64;

 private:
  using BlockId = std::uint32_t;
  static constexpr std::uint32_t kNone = UINT32_MAX;
  // Lists through the blocks, the latest used first: all blocks, those of a runner, those of a node.
  enum List { All, OfRunner, OfNode };
  static constexpr std::size_t kLists = 3;
  struct Ends {
    BlockId first = kNone, last = kNone;
  };
  struct Node {
    std::uint64_t part = 0;
    NodeId parent = kNone, root = kNone;  // the root of a model has itself as root and the model as part
    std::uint32_t tokens = 0, children = 0;
    Ends blocks;
  };
  struct Block {
    NodeId node = kNone;
    RunnerId runner = 0;
    struct {
      BlockId before = kNone, after = kNone;
    } at[kLists];
    Tiers tiers;
  };
  struct Runner {
    Ends blocks;
    std::uint64_t capacity = 0, kept = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> revisions;  // model, revision; the one told of last is last
  };
  struct Edge {
    std::uint64_t part;
    NodeId parent;
    bool operator==(const Edge&) const = default;
  };
  struct EdgeHash {
    using is_avalanching = void;
    std::size_t operator()(const Edge& edge) const;
  };
  struct PairHash {
    using is_avalanching = void;
    std::size_t operator()(std::uint64_t key) const;
  };

  NodeId find(NodeId parent, std::uint64_t part) const;
  NodeId findOrAdd(NodeId parent, std::uint64_t part, std::uint32_t tokens);
  NodeId walk(std::uint64_t model, PromptView prompt) const;
  BlockId blockAt(NodeId node, RunnerId runner) const;
  Runner& at(RunnerId runner);
  Ends& ends(List list, const Block& block);
  void link(BlockId id);
  void unlink(BlockId id);
  void touch(NodeId node, RunnerId runner);
  void drop(BlockId id);
  // All blocks of a runner for a model.
  void dropModel(RunnerId runner, std::uint64_t model);
  void prune(NodeId node);
  void fit(RunnerId runner);
  void fitBound();

  std::size_t bound_;
  bool noRoom_ = false;
  std::vector<Node> nodes_;
  std::vector<Block> blocks_;
  std::vector<NodeId> freeNodes_;
  std::vector<BlockId> freeBlocks_;
  std::size_t liveNodes_ = 0, liveBlocks_ = 0;
  boost::unordered_flat_map<Edge, NodeId, EdgeHash> edges_;
  boost::unordered_flat_map<std::uint64_t, BlockId, PairHash> held_;  // node and runner
  std::vector<Runner> runners_;
  Ends all_;
  mutable Counters counters_;
  std::function<void(const Event&)> watch_;
};

}  // namespace indigohill::kvindex
