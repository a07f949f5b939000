#pragma once
#include <cstdint>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "routing/request.hpp"

// A request's place at a runner, given back when the object goes.
namespace indigohill::routing {

class Table;

class Admission {
 public:
  // What the runner's load was charged with, and what is recorded when the prompt has been read.
  struct Charge {
    std::string instanceId;
    std::uint32_t promptTokens = 0;
    std::uint64_t announcedAs = 0;  // under which number the other routers know of the prompt; 0: they do not
    std::uint64_t model = 0;
    kvindex::PromptParts parts;  // until they are recorded as kept
  };

  Admission() = default;
  Admission(Table* table, Charge charge) noexcept : table_(table), charge_(std::move(charge)) {}
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;
  Admission(Admission&& other) noexcept
      : table_(std::exchange(other.table_, nullptr)), charge_(std::move(other.charge_)) {}
  Admission& operator=(Admission&& other) noexcept {
    if (this != &other) {
      release();
      table_ = std::exchange(other.table_, nullptr);
      charge_ = std::move(other.charge_);
    }
    return *this;
  }
  ~Admission() { release(); }

  void release();
  // The first token is there after this long: the prompt has been read, holds nobody up any more, and is kept there.
  void onFirstToken(base::Clock::duration after);

 private:
  Table* table_ = nullptr;
  Charge charge_;
};

}  // namespace indigohill::routing
