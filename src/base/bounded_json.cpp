#include "base/bounded_json.hpp"

#include <new>

namespace indigohill::base {

namespace json = boost::json;

namespace {

// Memory for one value, up to a bound.
class BoundedMemory : public json::memory_resource {
 public:
  explicit BoundedMemory(std::size_t most) : most_(most) {}

 private:
  void* do_allocate(std::size_t bytes, std::size_t alignment) override {
    if (bytes > most_ - used_) throw std::bad_alloc();
    void* out = ::operator new(bytes, std::align_val_t(alignment));
    used_ += bytes;
    return out;
  }
  void do_deallocate(void* memory, std::size_t bytes, std::size_t alignment) override {
    used_ -= bytes;
    ::operator delete(memory, std::align_val_t(alignment));
  }
  bool do_is_equal(const memory_resource& other) const noexcept override { return this == &other; }

  const std::size_t most_;
  std::size_t used_ = 0;
};

}  // namespace

Result<json::value> parseJson(std::string_view text, const JsonLimits& limits) {
  const auto memory = json::make_shared_resource<BoundedMemory>(limits.memoryBytes);
  json::parse_options options;
  options.max_depth = limits.depth;
  json::error_code error;
  try {
    json::parser parser(memory, options);
    parser.reset(memory);
    parser.write(text.data(), text.size(), error);
    if (error) return Error{ErrorCode::InvalidInput, "not readable as JSON: " + error.message()};
    return parser.release();
  } catch (const std::bad_alloc&) {
    return Error{ErrorCode::InvalidInput, "too large: its values take too much memory"};
  }
}

}  // namespace indigohill::base
