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

template <class Type>
concept isList = requires(const Type& list) {
  list.size();
  list.begin();
}
&&!std::same_as<Type, std::string>;

// A 64-bit digest of structured data. It is an output archive: whatever has a `serialize` member, as all generated
// messages do, can be put in with `&`. Lists are preceded by their length, so different structures do not run together.
class Fingerprint {
 public:
  template <class Value>
  Fingerprint& operator&(const Value& value) {
    put(value);
    return *this;
  }
  template <class... Values>
  void add(const Values&... values) {
    (put(values), ...);
  }
  // How long ago, in milliseconds; beyond `horizon` no timer can tell the difference.
  Fingerprint& age(TimePoint at, TimePoint now, Millis horizon) {
    const auto passed = std::chrono::duration_cast<Millis>(now - at);
    put(std::clamp(passed, -horizon, horizon).count());
    return *this;
  }
  std::uint64_t value() const { return value_; }

 private:
  void put(std::uint64_t number) { value_ = mix(value_ * 0x9e3779b97f4a7c15ULL + number + 1); }
  template <class Number>
  requires(std::integral<Number> || std::is_enum_v<Number>) void put(Number number) {
    put(static_cast<std::uint64_t>(number));
  }
  void put(const std::string& text) { put(hash(text)); }
  template <class First, class Second>
  void put(const std::pair<First, Second>& both) {
    add(both.first, both.second);
  }
  template <class Item>
  void put(const std::optional<Item>& item) {
    put(item.has_value());
    if (item) put(*item);
  }
  template <class... Items>
  void put(const std::variant<Items...>& item) {
    put(item.index());
    std::visit([this](const auto& held) { put(held); }, item);
  }
  void put(const std::monostate&) {}
  template <class List>
  requires(isList<List>) void put(const List& list) {
    put(list.size());
    for (const auto& item : list) put(item);
  }
  template <class Struct>
  requires requires(Struct& object, Fingerprint& out) { object.serialize(out, 0U); }
  void put(const Struct& object) {
    const_cast<Struct&>(object).serialize(*this, 0U);  // written for both directions, it only reads here
  }

  std::uint64_t value_ = 0x243f6a8885a308d3ULL;
};

}  // namespace indigohill::base
