#include "rollout/record.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <set>

#include "base/lists.hpp"
#include "rollout/fields.hpp"

namespace indigohill::rollout {

namespace {

void sort(Snapshot& snapshot) {
  for (auto& model : snapshot.models) std::sort(model.adapters.begin(), model.adapters.end());
  std::sort(snapshot.models.begin(), snapshot.models.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
}

schema::ModelEntry parseModel(const json::value& value, const std::string& where) {
  const Fields in(value, where, {"name", "revision", "adapters"});
  schema::ModelEntry model{in.text("name"), in.whole("revision"), {}};
  std::set<std::string> seen;
  for (const auto& adapter : in.texts("adapters", false)) {
    if (!seen.insert(adapter).second) wrong(where + ".adapters", "'" + adapter + "' is there twice");
    model.adapters.push_back(adapter);
  }
  return model;
}

// Both parts are wanted, so that nothing is taken to agree because nobody wrote it down.
Snapshot parseSnapshot(const json::value& value, const std::string& where) {
  const Fields in(value, where, {"revision", "models"});
  Snapshot out;
  out.revision = in.text("revision");
  std::set<std::string> seen;
  const auto& models = in.list("models");
  for (std::size_t i = 0; i < models.size(); ++i) {
    const auto at = fmt::format("{}.models[{}]", where, i);
    auto model = parseModel(models[i], at);
    if (!seen.insert(model.name).second) wrong(at + ".name", "'" + model.name + "' is there twice");
    out.models.push_back(std::move(model));
  }
  sort(out);
  return out;
}

void parseSnapshots(const Fields& top, Record& out) {
  const auto& snapshots = top.need("snapshots");
  if (!snapshots.is_object() || snapshots.as_object().empty())
    wrong("snapshots", "at least one snapshot by name is wanted");
  for (const auto& [key, value] : snapshots.as_object()) {
    const std::string name(key);
    if (name.empty()) wrong("snapshots", "a name must not be empty");
    auto snapshot = parseSnapshot(value, "snapshots." + name);
    for (const auto& [other, same] : out.snapshots)
      if (same == snapshot) wrong("snapshots." + name, "is the same as '" + other + "'");
    out.snapshots.emplace(name, std::move(snapshot));
  }
}

// Stages go one way: what has been left out does not come back, and each changes something.
void checkStages(const Record& record) {
  std::set<std::string> left;
  for (std::size_t i = 1; i < record.stages.size(); ++i) {
    const auto& before = record.stages[i - 1].serve;
    const auto& now = record.stages[i].serve;
    const auto where = fmt::format("stages[{}].serve", i);
    if (std::set(before.begin(), before.end()) == std::set(now.begin(), now.end()))
      wrong(where, "contradicts the stages: the same as the stage before");
    for (const auto& name : before)
      if (!base::contains(now, name)) left.insert(name);
    for (const auto& name : now)
      if (left.contains(name))
        wrong(where, "contradicts the stages: '" + name + "' was left out before and comes back");
  }
}

void parseStages(const Fields& top, Record& out) {
  const auto& stages = top.list("stages");
  if (stages.empty()) wrong("stages", "at least one is wanted");
  std::set<std::string> names;
  for (std::size_t i = 0; i < stages.size(); ++i) {
    const auto where = fmt::format("stages[{}]", i);
    const Fields in(stages[i], where, {"name", "serve"});
    Stage stage{in.text("name"), in.texts("serve", true)};
    if (!names.insert(stage.name).second) wrong(where + ".name", "'" + stage.name + "' is there twice");
    if (stage.serve.empty()) wrong(where + ".serve", "at least one snapshot is wanted");
    std::set<std::string> seen;
    for (const auto& name : stage.serve) {
      if (!out.snapshots.contains(name)) wrong(where + ".serve", "there is no snapshot '" + name + "'");
      if (!seen.insert(name).second) wrong(where + ".serve", "'" + name + "' is there twice");
    }
    out.stages.push_back(std::move(stage));
  }
  checkStages(out);
}

void parseWithinStream(const Fields& top, Record& out) {
  if (!top.has("withinStream")) return;
  const auto& pairs = top.list("withinStream");
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    const auto where = fmt::format("withinStream[{}]", i);
    const auto names = textsOf(pairs[i], where);
    if (names.size() != 2) wrong(where, "two snapshots are wanted: from, to");
    for (const auto& name : names)
      if (!out.snapshots.contains(name)) wrong(where, "there is no snapshot '" + name + "'");
    out.withinStream.emplace_back(names[0], names[1]);
  }
}

std::string modelDifference(const std::vector<schema::ModelEntry>& has, const std::vector<schema::ModelEntry>& wanted) {
  for (const auto& model : wanted) {
    const auto found =
        std::find_if(has.begin(), has.end(), [&](const auto& other) { return other.name == model.name; });
    if (found == has.end()) return fmt::format("model {} is not known to be there", model.name);
    if (found->revision != model.revision)
      return fmt::format("model {} has weights {}, wanted {}", model.name, found->revision, model.revision);
    if (found->adapters != model.adapters)
      return fmt::format("model {} has adapters [{}], wanted [{}]", model.name, fmt::join(found->adapters, ", "),
                         fmt::join(model.adapters, ", "));
  }
  for (const auto& model : has)
    if (std::none_of(wanted.begin(), wanted.end(), [&](const auto& other) { return other.name == model.name; }))
      return fmt::format("model {} is in no snapshot", model.name);
  return {};
}

}  // namespace

std::optional<std::uint64_t> Snapshot::version(std::string_view model) const {
  if (model.empty()) {
    if (models.empty()) return std::nullopt;
    const auto first = models.front().revision;
    for (const auto& entry : models)
      if (entry.revision != first) return std::nullopt;
    return first;
  }
  for (const auto& entry : models)
    if (entry.name == model) return entry.revision;
  for (const auto& entry : models)
    if (base::contains(entry.adapters, model)) return entry.revision;
  return std::nullopt;
}

Snapshot snapshotOf(const schema::RunnerEntry& entry) {
  Snapshot out{entry.revision, entry.models};
  sort(out);
  return out;
}

base::Result<Record> parseRecord(std::string_view document) {
  try {
    const auto value = parse(document);
    const Fields top(value, "", {"service", "number", "snapshots", "stages", "withinStream", "evenWithoutRunners"});
    Record out;
    out.service = top.text("service");
    out.number = top.whole("number");
    if (out.number == 0) wrong("number", "1 or more is wanted");
    parseSnapshots(top, out);
    parseStages(top, out);
    parseWithinStream(top, out);
    out.evenWithoutRunners = top.flag("evenWithoutRunners");
    return out;
  } catch (const Wrong& e) {
    return base::Error{base::ErrorCode::InvalidInput, e.what};
  }
}

std::optional<InForce> read(const schema::Rollout& rollout) {
  if (rollout.document.empty()) return std::nullopt;
  InForce out{rollout.service, rollout.number, rollout.stage, std::nullopt, {}};
  auto parsed = parseRecord(rollout.document);
  if (const auto* bad = base::errorIn(parsed))
    out.problem = bad->message;
  else if (rollout.stage >= std::get<Record>(parsed).stages.size())
    out.problem = "stage: there is none with this number";
  else
    out.record = std::get<Record>(std::move(parsed));
  return out;
}

// What is not known, and a record that cannot be read, hold back: nobody could say that it agrees.
std::string InForce::heldBack(const Snapshot& snapshot) const {
  if (!record) return "the record cannot be read: " + problem;
  if (snapshot.revision.empty()) return "its snapshot is not known";
  const auto& stage = record->stages[this->stage];
  for (const auto& [name, wanted] : record->snapshots)
    if (wanted == snapshot) {
      if (base::contains(stage.serve, name)) return {};
      return fmt::format("it has snapshot '{}', which stage '{}' does not let serve", name, stage.name);
    }
  // The nearest of those that may serve explains it best: one of the same software, if there is one.
  const Snapshot* nearest = nullptr;
  for (const auto& name : stage.serve) {
    const auto& wanted = record->snapshots.at(name);
    if (nearest == nullptr || wanted.revision == snapshot.revision) nearest = &wanted;
  }
  if (nearest->revision != snapshot.revision)
    return fmt::format("it has software {}, wanted {}", snapshot.revision, nearest->revision);
  const auto why = modelDifference(snapshot.models, nearest->models);
  return why.empty() ? "its models are not those of a snapshot that may serve" : why;
}

bool InForce::allowsWithinStream(std::string_view model, std::uint64_t from, std::uint64_t to) const {
  if (!record) return false;
  return std::any_of(record->withinStream.begin(), record->withinStream.end(), [&](const auto& pair) {
    return record->snapshots.at(pair.first).version(model) == from &&
           record->snapshots.at(pair.second).version(model) == to;
  });
}

}  // namespace indigohill::rollout
