#include "tally/requests.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "base/bounded_json.hpp"

namespace indigohill::tally {

namespace json = boost::json;

namespace {

base::Error invalid(const std::string& field, const std::string& problem) {
  return {base::ErrorCode::InvalidInput, field + ": " + problem};
}

std::optional<std::uint64_t> wholeNumber(const json::value& value) {
  if (value.is_uint64()) return value.as_uint64();
  if (value.is_int64() && value.as_int64() >= 0) return static_cast<std::uint64_t>(value.as_int64());
  if (!value.is_double()) return std::nullopt;
  const auto number = value.as_double();
  if (!(number >= 0) || number > static_cast<double>(kMaxAmount) || std::floor(number) != number) return std::nullopt;
  return static_cast<std::uint64_t>(number);
}

}  // namespace

bool isName(std::string_view text) {
  const auto isPrintable = [](unsigned char character) { return character >= ' ' && character != 0x7f; };
  return !text.empty() && text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), isPrintable);
}

base::Result<schema::TallyAdd> parseAdd(const std::string& tally, std::string_view body) {
  if (!isName(tally)) return invalid("tally", "a name of 1 to 128 printable characters is wanted");
  constexpr std::size_t kMaxMemoryBytes = 64u << 10;
  const auto value = base::parseJson(body, {.memoryBytes = kMaxMemoryBytes});
  const auto* parsed = std::get_if<json::value>(&value);
  if (parsed == nullptr || !parsed->is_object()) return invalid("body", "an object is wanted");
  const auto& fields = parsed->as_object();
  const auto* id = fields.if_contains("instanceId");
  if (id == nullptr || !id->is_string() || !isName(std::string_view(id->as_string().data(), id->as_string().size())))
    return invalid("instanceId", "a text of 1 to 128 printable characters is wanted");
  const auto* actor = fields.if_contains("actor");
  if (actor == nullptr) return invalid("actor", "missing");
  const auto amount = wholeNumber(*actor);
  if (!amount || *amount > kMaxAmount)
    return invalid("actor", fmt::format("a whole number from 0 to {} is wanted", kMaxAmount));
  return schema::TallyAdd{tally, std::string(id->as_string()), *amount};
}

std::string formatTotal(std::uint64_t total) { return fmt::format(R"({{"total":{}}})", total); }

}  // namespace indigohill::tally
