#include "routing/cached_prompts.hpp"

#include <stdexcept>

#include "base/log.hpp"
#include "base/result.hpp"

namespace indigohill::routing {

namespace {
constexpr std::size_t kOverlaps = 8;  // runners requested from the index
}

void CachedPrompts::rebuildIfSpoilt(std::size_t indexBytes) {
  if (std::exchange(spoilt_, false)) index_ = std::make_unique<kvindex::Index>(indexBytes);
}

void CachedPrompts::store(kvindex::RunnerId runner, std::uint64_t model, kvindex::PromptView prompt) {
  if (!index_) return;
  try {
    index_->store(runner, model, prompt);
  } catch (const std::exception& error) {
    // What an interrupted update leaves is not to be trusted.
    countFailure(error.what());
    index_.reset();
    spoilt_ = true;
  }
}

std::vector<kvindex::Overlap> CachedPrompts::overlaps(std::uint64_t model, kvindex::PromptView prompt) {
  try {
    if (!index_) throw std::runtime_error("the index is being built anew");
    auto found = index_->match(model, prompt, kOverlaps);
    if (const auto* error = base::errorIn(found)) throw std::runtime_error(error->message);
    return std::get<0>(std::move(found));
  } catch (const std::exception& error) {
    countFailure(error.what());
    return {};
  }
}

double CachedPrompts::sharedPoolTokens(std::uint64_t model, kvindex::PromptView prompt) {
  if (!sharedPool_) return 0;
  try {
    const auto held = sharedPool_->held(model, prompt);
    if (const auto* error = base::errorIn(held)) throw std::runtime_error(error->message);
    return static_cast<double>(std::get<0>(held));
  } catch (const std::exception& error) {
    if (sharedPoolFailures_++ == 0)
      base::logWarning(base::LogEvent("shared_cache_lookup_failed").with("error", error.what()));
    return 0;
  }
}

// Logged once: where one look-up fails, many do.
void CachedPrompts::countFailure(const char* what) {
  if (failures_++ == 0) base::logWarning(base::LogEvent("prompt_index_lookup_failed").with("error", what));
}

}  // namespace indigohill::routing
