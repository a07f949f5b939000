#pragma once
#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "base/hash.hpp"
#include "base/time.hpp"

namespace indigohill::base {

// A 64-bit digest of structured data. It is an output archive: whatever has a `serialize` member, as all generated
// messages do, can be put in with `&`. Lists are preceded by their length, so different structures do not run together.
class Fingerprint {
 public:
  template <class Value>
  Fingerprint& operator&(const Value& value) {
    add(value);
    return *this;
  }
  // How long ago, in milliseconds; beyond `horizon` no timer can tell the difference.
  Fingerprint& age(TimePoint at, TimePoint now, Millis horizon) {
    const auto passed = std::chrono::duration_cast<Millis>(now - at);
    add(std::clamp(passed, -horizon, horizon).count());
    return *this;
  }
  std::uint64_t value() const { return value_; }

 private:
  void add(std::uint64_t number) { value_ = mix(value_ * 0x9e3779b97f4a7c15ULL + number + 1); }
  template <class Number>
  requires(std::integral<Number> || std::is_enum_v<Number>) void add(Number number) {
    add(static_cast<std::uint64_t>(number));
  }
  void add(const std::string& text) { add(hash(text)); }
  template <class First, class Second>
  void add(const std::pair<First, Second>& both) {
    *this& both.first& both.second;
  }
  template <class Item>
  void add(const std::optional<Item>& item) {
    add(item.has_value());
    if (item) *this&* item;
  }
  template <class... Items>
  void add(const std::variant<Items...>& item) {
    add(item.index());
    std::visit([this](const auto& held) { *this& held; }, item);
  }
  void add(const std::monostate&) {}
  template <class List>
  requires requires(const List& list) {
    list.size();
    list.begin();
  } &&(!std::same_as<List, std::string>)void add(const List& list) {
    add(list.size());
    for (const auto& item : list) *this& item;
  }
  template <class Struct>
  requires requires(Struct& object, Fingerprint& out) { object.serialize(out, 0U); }
  void add(const Struct& object) {
    const_cast<Struct&>(object).serialize(*this, 0U);  // written for both directions, it only reads here
  }

  std::uint64_t value_ = 0x243f6a8885a308d3ULL;
};

}  // namespace indigohill::base
