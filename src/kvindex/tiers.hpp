#pragma once
#include <bit>
#include <cstdint>
#include <optional>

namespace indigohill::kvindex {

// Where a block may be kept, the best first. Scoring takes the best tier that a block sits on. Runners have one memory
// today, so only the first is ever filled; the order holds for all.
#define INDIGOHILL_TIERS(X) \
  X(Gpu, "GPU")             \
  X(Host, "Host")           \
  X(External, "External")

enum class Tier : std::uint8_t {
#define INDIGOHILL_TIER(name, text) name,
  INDIGOHILL_TIERS(INDIGOHILL_TIER)
#undef INDIGOHILL_TIER
};

inline constexpr const char* kTierNames[] = {
#define INDIGOHILL_TIER(name, text) text,
    INDIGOHILL_TIERS(INDIGOHILL_TIER)
#undef INDIGOHILL_TIER
};

// The tiers that a block sits on at one runner.
class Tiers {
 public:
  bool add(Tier tier) { return set(bits_ | bit(tier)); }
  bool remove(Tier tier) { return set(bits_ & ~bit(tier)); }
  bool has(Tier tier) const { return (bits_ & bit(tier)) != 0; }
  bool empty() const { return bits_ == 0; }
  std::optional<Tier> best() const {
    if (empty()) return std::nullopt;
    return static_cast<Tier>(std::countr_zero(bits_));
  }
  bool operator==(const Tiers&) const = default;

 private:
  static unsigned bit(Tier tier) { return 1u << static_cast<unsigned>(tier); }
  // True if this changed anything.
  bool set(unsigned bits) {
    const bool changed = bits != bits_;
    bits_ = static_cast<std::uint8_t>(bits);
    return changed;
  }
  std::uint8_t bits_ = 0;
};

}  // namespace indigohill::kvindex
