#include "rollout/orders.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "rollout/fields.hpp"
#include "rollout/taken_orders.hpp"

namespace indigohill::rollout {

namespace {

constexpr std::size_t kTakenOrdersKept = 16;  // of each service

// Thrown where the order is an exact resend of the last one: nothing changes.
struct InForceAlready {};

struct Refused {
  Refusal refusal;
};

[[noreturn]] void conflict(const std::string& what) { throw Refused{{409, what}}; }

void checkService(const std::string& path, const std::string& body, const Standing& standing) {
  if (!path.empty() && path != body) wrong("service", "'" + body + "' is not '" + path + "', which the call names");
  if (!standing.known(body)) wrong("service", "'" + body + "' is not in the configuration");
}

// An order that was taken is never refused when it is sent again.
void checkNumber(std::uint64_t number, const schema::Rollout* now, const Standing& standing) {
  if (now == nullptr || number > now->number) return;
  const auto recalled =
      standing.order ? recall(now->takenOrders, kTakenOrdersKept, number, *standing.order) : Recall::NotTaken;
  if (recalled == Recall::Taken && number == now->number) throw InForceAlready{};
  if (recalled == Recall::Taken)
    throw Refused{{503, fmt::format("number: {} was taken and has been overtaken by {}", number, now->number)}};
  if (recalled == Recall::Forgotten)
    throw Refused{{503, fmt::format("number: {} is too old to tell whether it was taken", number)}};
  conflict(fmt::format("number: {} is not above the current one, {}", number, now->number));
}

void checkRunners(const schema::Rollout& next, bool evenWithout, const Standing& standing) {
  if (evenWithout) return;
  const auto inForce = read(next);
  if (serving(*inForce, standing.runners) > 0) return;
  std::string whys;
  for (const auto& held : heldBack({*inForce}, standing.runners))
    whys += fmt::format("; {}: {}", held.instanceId, held.why);
  conflict(fmt::format("service {} would have no runner left at stage '{}'{}", next.service,
                       inForce->record->stages[next.stage].name, whys.empty() ? "; none is listed" : whys));
}

schema::Rollout declared(const std::string& service, std::string_view body, const Standing& standing,
                         const schema::Rollout* (*find)(const Standing&, const std::string&)) {
  auto parsed = parseRecord(body);
  if (const auto* bad = base::errorIn(parsed)) throw Wrong{bad->message};
  const auto& record = std::get<Record>(parsed);
  checkNumber(record.number, find(standing, record.service), standing);
  checkService(service, record.service, standing);
  schema::Rollout next{record.service, record.number, 0, std::string(body), {}};
  checkRunners(next, record.evenWithoutRunners, standing);
  return next;
}

schema::Rollout advanced(const Fields& in, const schema::Rollout& now, std::uint64_t number, const Standing& standing) {
  auto next = now;
  next.number = number;
  ++next.stage;
  const auto inForce = read(now);
  if (!inForce->record) conflict("the record in force cannot be read: " + inForce->problem);
  const auto& stages = inForce->record->stages;
  if (next.stage >= stages.size())
    conflict(fmt::format("'{}' is the last stage of service {}", stages[now.stage].name, now.service));
  if (in.has("stage") && in.text("stage") != stages[next.stage].name)
    conflict(fmt::format("stage: the next one is '{}'", stages[next.stage].name));
  checkRunners(next, in.flag("evenWithoutRunners"), standing);
  return next;
}

const schema::Rollout* find(const Standing& standing, const std::string& service) {
  for (const auto& rollout : standing.rollouts)
    if (rollout.service == service) return &rollout;
  return nullptr;
}

schema::Rollout changed(Change kind, const std::string& service, std::string_view body, const Standing& standing) {
  if (kind == Change::Declare) return declared(service, body, standing, find);
  const auto value = parse(body);
  const Fields in(value, "", {"service", "number", "stage", "evenWithoutRunners"});
  const auto name = in.has("service") || service.empty() ? in.text("service") : service;
  const auto* now = find(standing, name);
  // A service whose rollout is in force may have left the configuration meanwhile; its rollout can still be ended.
  if (now == nullptr) checkService(service, name, standing);
  if (!service.empty() && service != name)
    wrong("service", "'" + name + "' is not '" + service + "', which the call names");
  const auto number = in.whole("number");
  checkNumber(number, now, standing);
  if (now == nullptr || now->document.empty()) conflict("no rollout is declared for service " + name);
  if (kind == Change::Advance) return advanced(in, *now, number, standing);
  if (in.has("stage")) wrong("stage", "a withdrawal has none");
  // The number stays, so that an old declaration that arrives late cannot come into force again.
  return {name, number, 0, {}, {}};
}

}  // namespace

std::variant<std::vector<schema::Rollout>, Refusal> change(Change kind, const std::string& service,
                                                           std::string_view body, const Standing& standing) {
  auto out = standing.rollouts;
  try {
    auto next = changed(kind, service, body, standing);
    const auto place =
        std::find_if(out.begin(), out.end(), [&](const auto& rollout) { return rollout.service == next.service; });
    if (place != out.end()) next.takenOrders = place->takenOrders;
    if (standing.order) remember(next.takenOrders, kTakenOrdersKept, next.number, *standing.order);
    if (place != out.end())
      *place = next;
    else
      out.push_back(next);
    return out;
  } catch (const Wrong& e) {
    return Refusal{400, e.what};
  } catch (const Refused& e) {
    return e.refusal;
  } catch (const InForceAlready&) {
    return out;
  }
}

std::vector<InForce> readAll(const std::vector<schema::Rollout>& rollouts) {
  std::vector<InForce> out;
  for (const auto& rollout : rollouts)
    if (auto inForce = read(rollout)) out.push_back(std::move(*inForce));
  return out;
}

std::vector<HeldBack> heldBack(const std::vector<InForce>& rollouts, const std::vector<schema::RunnerEntry>& runners) {
  std::vector<HeldBack> out;
  for (const auto& rollout : rollouts)
    for (const auto& runner : runners)
      if (runner.service == rollout.service)
        if (auto why = rollout.heldBack(snapshotOf(runner)); !why.empty())
          out.push_back({runner.service, runner.instanceId, runner.zone, std::move(why)});
  return out;
}

std::size_t serving(const InForce& rollout, const std::vector<schema::RunnerEntry>& runners) {
  return static_cast<std::size_t>(std::count_if(runners.begin(), runners.end(), [&](const auto& runner) {
    return runner.service == rollout.service && !runner.draining && rollout.heldBack(snapshotOf(runner)).empty();
  }));
}

namespace {
std::string stageName(const InForce& rollout) {
  return rollout.record ? rollout.record->stages[rollout.stage].name : std::to_string(rollout.stage);
}
}  // namespace

std::string describe(const std::vector<schema::Rollout>& rollouts) {
  json::array list;
  for (const auto& rollout : rollouts)
    if (const auto inForce = read(rollout)) {
      json::error_code error;
      auto record = json::parse(rollout.document, error);
      list.push_back({{"service", rollout.service},
                      {"number", rollout.number},
                      {"stage", stageName(*inForce)},
                      {"record", error ? json::value(rollout.document) : std::move(record)}});
    } else {
      list.push_back({{"service", rollout.service}, {"number", rollout.number}, {"withdrawn", true}});
    }
  return json::serialize(json::object{{"rollouts", std::move(list)}});
}

std::string status(const std::vector<schema::Rollout>& rollouts, const std::vector<schema::RunnerEntry>& runners) {
  json::array list;
  for (const auto& rollout : readAll(rollouts)) {
    json::array held;
    for (const auto& runner : heldBack({rollout}, runners))
      held.push_back({{"instanceId", runner.instanceId}, {"zone", runner.zone}, {"why", runner.why}});
    list.push_back({{"service", rollout.service},
                    {"number", rollout.number},
                    {"stage", stageName(rollout)},
                    {"serving", serving(rollout, runners)},
                    {"heldBack", std::move(held)}});
  }
  return json::serialize(list);
}

}  // namespace indigohill::rollout
