#include "runners/list.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace indigohill::runners {

namespace json = boost::json;

namespace {
template <class T>
T wholeOr(const json::object& object, const char* name, T fallback) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) return fallback;
  const auto number = value->to_number<double>();
  return number < 0 || number > 4e9 ? fallback : static_cast<T>(number);
}
std::string textOr(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}
// Models with the revisions of their weights and the adapters on them. What cannot be read whole is not known.
std::optional<std::vector<schema::ModelEntry>> modelsOf(const json::object& object) {
  const auto* list = object.if_contains("models");
  if (list == nullptr || list->is_null()) return std::vector<schema::ModelEntry>{};
  if (!list->is_array()) return std::nullopt;
  std::vector<schema::ModelEntry> out;
  for (const auto& item : list->as_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.as_object();
    const auto* revision = entry.if_contains("revision");
    schema::ModelEntry model{textOr(entry, "name"), 0, {}};
    if (model.name.empty() || revision == nullptr) return std::nullopt;
    json::error_code error;
    model.revision = revision->to_number<std::uint64_t>(error);
    if (error) return std::nullopt;
    if (const auto* adapters = entry.if_contains("adapters"); adapters != nullptr && !adapters->is_null()) {
      if (!adapters->is_array()) return std::nullopt;
      for (const auto& adapter : adapters->as_array()) {
        if (!adapter.is_string()) return std::nullopt;
        model.adapters.emplace_back(adapter.as_string());
      }
    }
    out.push_back(std::move(model));
  }
  return out;
}
}  // namespace

base::Result<Page> parsePage(std::string_view body) {
  json::error_code error;
  const auto value = json::parse(json::string_view(body.data(), body.size()), error);
  const auto wrong = [](const std::string& what) { return base::Error{base::ErrorCode::InvalidInput, what}; };
  if (error) return wrong("list of runners: " + error.message());
  if (!value.is_object()) return wrong("list of runners: an object is wanted");
  const auto* instances = value.as_object().if_contains("instances");
  if (instances == nullptr || !instances->is_array()) return wrong("instances: a list is wanted");
  Page page;
  page.nextPageToken = textOr(value.as_object(), "nextPageToken");
  for (const auto& item : instances->as_array()) {
    if (!item.is_object()) return wrong("instances: an object is wanted");
    const auto& object = item.as_object();
    schema::RunnerEntry entry;
    entry.instanceId = textOr(object, "instanceId");
    entry.service = textOr(object, "targetService");
    entry.zone = textOr(object, "zone");
    auto address = settings::parseEndpoint(textOr(object, "address"));
    if (entry.instanceId.empty() || entry.service.empty() || base::errorIn(address))
      return wrong("instances: incomplete entry");
    entry.ip = std::get<settings::Endpoint>(address).ip;
    entry.port = std::get<settings::Endpoint>(address).port;
    entry.slots = std::max<std::uint32_t>(1, wholeOr<std::uint32_t>(object, "capacitySlots", 1));
    // Anything but ready is treated as leaving: nothing new is passed to what is not known to be well.
    entry.draining = textOr(object, "state") != "ready";
    entry.warmupLeftMs = wholeOr<std::uint32_t>(object, "warmupLeftMs", 0);
    entry.revision = textOr(object, "revision");
    // An entry whose models cannot be read stays in use, but tells no snapshot.
    if (auto models = modelsOf(object))
      entry.models = std::move(*models);
    else
      entry.revision.clear();
    page.runners.push_back(std::move(entry));
  }
  return page;
}

base::Millis listReadInterval(const settings::Settings& settings, std::size_t pages) {
  const auto wanted = std::clamp(settings.drainTimeoutMs / 6, base::Millis(100), base::Millis(1000));
  // The time in which the platform takes the calls of one reading, if nobody else called.
  const auto reading = 1000.0 * static_cast<double>(std::max<std::size_t>(1, pages)) / std::max(1.0, settings.ratePerS);
  const base::Millis spared(static_cast<std::int64_t>(8 * reading)), least(static_cast<std::int64_t>(2 * reading));
  return std::max({wanted, least, std::min(spared, settings.drainTimeoutMs / 3)});
}

bool sameRunners(const std::vector<schema::RunnerEntry>& a, const std::vector<schema::RunnerEntry>& b,
                 base::Millis between) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](auto one, const auto& other) {
    const auto left = std::max<std::int64_t>(0, static_cast<std::int64_t>(one.warmupLeftMs) - between.count());
    const bool warmSame = std::abs(left - static_cast<std::int64_t>(other.warmupLeftMs)) < 400;
    one.warmupLeftMs = other.warmupLeftMs;
    return warmSame && one == other;
  });
}

}  // namespace indigohill::runners
