#pragma once
#include <cstdint>
#include <random>
#include <vector>

#include "base/time.hpp"

namespace indigohill::emulator {

// Draws by a seed. Generators are divided by purpose, so that what one part draws does not shift another's.
class Random {
 public:
  Random(std::uint64_t seed, std::uint64_t purpose) : engine_(seed * 1'000'003 + purpose) {}

  bool chance(double probability) { return std::bernoulli_distribution(probability)(engine_); }
  // From `least` to `most`, both included.
  std::size_t integer(std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(engine_);
  }
  base::Millis millis(base::Millis least, base::Millis most) {
    return base::Millis(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(engine_));
  }
  // The time to the next of events that come at random, `perSecond` on average.
  std::chrono::microseconds untilNext(double perSecond) {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(1e6 * std::exponential_distribution<double>(perSecond)(engine_)));
  }
  template <class Value>
  const Value& oneOf(const std::vector<Value>& values) {
    return values[integer(0, values.size() - 1)];
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace indigohill::emulator
