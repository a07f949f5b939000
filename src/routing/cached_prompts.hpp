#pragma once
#include <cstdint>
#include <memory>
#include <vector>

#include "kvindex/index.hpp"

// What is known of prompt parts kept at runners: the index of this router and, if there is one, the shared pool. A
// look-up that fails is counted and reported as nothing kept, so the request is routed by load alone.
namespace indigohill::routing {

class CachedPrompts {
 public:
  explicit CachedPrompts(std::size_t indexBytes) : index_(std::make_unique<kvindex::Index>(indexBytes)) {}

  // Null while an index is being built.
  void setIndex(std::unique_ptr<kvindex::Index> index) { index_ = std::move(index); }
  void setSharedPool(std::shared_ptr<kvindex::SharedPool> pool) { sharedPool_ = std::move(pool); }
  // Replaces an index that an interrupted update has spoilt.
  void rebuildIfSpoilt(std::size_t indexBytes);
  kvindex::Index* index() { return index_.get(); }
  const kvindex::Index* index() const { return index_.get(); }

  // The runner keeps this prompt now.
  void store(kvindex::RunnerId runner, std::uint64_t model, kvindex::Chain prompt);
  // The runners that keep the longest beginnings of a prompt.
  std::vector<kvindex::Overlap> overlaps(std::uint64_t model, kvindex::Chain prompt);
  // Prompt tokens that any runner can fetch from the shared pool.
  double sharedPoolTokens(std::uint64_t model, kvindex::Chain prompt);

  std::uint64_t failures() const { return failures_; }
  std::uint64_t sharedPoolFailures() const { return sharedPoolFailures_; }

 private:
  void countFailure(const char* what);

  std::unique_ptr<kvindex::Index> index_;
  std::shared_ptr<kvindex::SharedPool> sharedPool_;
  bool spoilt_ = false;
  std::uint64_t failures_ = 0, sharedPoolFailures_ = 0;
};

}  // namespace indigohill::routing
