#pragma once
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "base/bounded_json.hpp"
#include "base/lists.hpp"

// Reading of the operator's documents: every fault names the field. Unknown fields are faults as well: one misspelt
// must not pass for one left out, and what a later program writes must not be half understood.
namespace indigohill::rollout {

namespace json = boost::json;

// Thrown and caught within this part alone, so that a check deep in a document needs no chain of returns.
struct Wrong {
  std::string what;
};

[[noreturn]] inline void wrong(const std::string& where, const std::string& what) {
  throw Wrong{where.empty() ? what : where + ": " + what};
}

inline json::value parse(std::string_view document) {
  auto value = base::parseJson(document);
  if (const auto* error = base::errorIn(value)) wrong("", error->message);
  return std::get<json::value>(std::move(value));
}

inline std::vector<std::string> textsOf(const json::value& value, const std::string& where) {
  if (!value.is_array()) wrong(where, "a list is wanted");
  std::vector<std::string> out;
  for (const auto& item : value.as_array()) {
    if (!item.is_string() || item.as_string().empty()) wrong(where, "a list of names is wanted");
    out.emplace_back(item.as_string());
  }
  return out;
}

class Fields {
 public:
  Fields(const json::value& value, std::string where, std::initializer_list<std::string_view> known)
      : where_(std::move(where)) {
    if (!value.is_object()) wrong(where_, "an object is wanted");
    object_ = &value.as_object();
    for (const auto& [key, ignored] : *object_)
      if (!base::contains(known, std::string_view(key.data(), key.size())))
        wrong(path(std::string(key)), "unknown field");
  }

  bool has(const char* name) const { return object_->if_contains(name) != nullptr; }
  const json::value& need(const char* name) const {
    const auto* value = object_->if_contains(name);
    if (value == nullptr) wrong(path(name), "missing");
    return *value;
  }
  std::string text(const char* name) const {
    const auto& value = need(name);
    if (!value.is_string() || value.as_string().empty()) wrong(path(name), "a string that is not empty is wanted");
    return std::string(value.as_string());
  }
  std::uint64_t whole(const char* name) const {
    const auto& value = need(name);
    if (value.is_uint64()) return value.as_uint64();
    if (value.is_int64() && value.as_int64() >= 0) return static_cast<std::uint64_t>(value.as_int64());
    wrong(path(name), "a whole number of 0 or more is wanted");
  }
  bool flag(const char* name) const {
    if (!has(name)) return false;
    if (!need(name).is_bool()) wrong(path(name), "true or false is wanted");
    return need(name).as_bool();
  }
  const json::array& list(const char* name) const {
    const auto& value = need(name);
    if (!value.is_array()) wrong(path(name), "a list is wanted");
    return value.as_array();
  }
  std::vector<std::string> texts(const char* name, bool required) const {
    if (!required && !has(name)) return {};
    return textsOf(need(name), path(name));
  }
  std::string path(const std::string& name) const { return where_.empty() ? name : where_ + "." + name; }

 private:
  std::string where_;
  const json::object* object_ = nullptr;
};

}  // namespace indigohill::rollout
