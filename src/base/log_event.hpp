#pragma once
#include <fmt/format.h>

#include <concepts>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// One line of the log: an event by its name, and fields. docs/operations.md has the table of all events.
namespace indigohill::base {

// Text as a JSON string, with its quotation marks.
std::string quoted(std::string_view text);

class LogEvent {
 public:
  // `name` in lower case with underscores.
  explicit LogEvent(std::string_view name) : json_("\"event\":" + base::quoted(name)) {}

  LogEvent with(std::string_view field, std::string_view text) && {
    return std::move(*this).put(field, base::quoted(text));
  }
  LogEvent with(std::string_view field, const std::string& text) && {
    return std::move(*this).with(field, std::string_view(text));
  }
  LogEvent with(std::string_view field, const char* text) && {
    return std::move(*this).with(field, std::string_view(text));
  }
  template <std::integral Number>
  LogEvent with(std::string_view field, Number number) && {
    return std::move(*this).put(field, fmt::format("{}", number));
  }
  // REQUIRES: finite, as JSON has no other numbers.
  LogEvent with(std::string_view field, double number) && {
    return std::move(*this).put(field, fmt::format("{}", number));
  }
  LogEvent with(std::string_view field, const std::vector<std::string>& texts) && {
    std::string list;
    for (const auto& text : texts) list += (list.empty() ? "" : ",") + base::quoted(std::string_view(text));
    return std::move(*this).put(field, "[" + list + "]");
  }

  // The members of a JSON object, without its braces.
  const std::string& json() const { return json_; }

 private:
  LogEvent put(std::string_view field, const std::string& value) && {
    json_ += "," + base::quoted(field) + ":" + value;
    return std::move(*this);
  }

  std::string json_;
};

}  // namespace indigohill::base
