#include "plan/plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "base/hash.hpp"
#include "base/lists.hpp"
#include "membership/group.hpp"
#include "rollout/orders.hpp"

namespace indigohill::plan {

namespace json = boost::json;

namespace {

std::string aims(const control::Route& route) {
  std::string out;
  for (const auto& [service, weight] : route.split)
    out += (out.empty() ? "" : ", ") + (route.split.size() == 1 ? service : fmt::format("{} {}", service, weight));
  return out;
}

// The fields in which two routes of one name differ, other than where they go.
std::string fields(const control::Route& a, const control::Route& b) {
  std::vector<std::string> names;
  const auto differ = [&](const char* name, const auto& x, const auto& y) {
    if (!(x == y)) names.emplace_back(name);
  };
  differ("hostname", a.host, b.host);
  differ("pathPrefix", a.prefix, b.prefix);
  differ("routeType", a.type, b.type);
  differ("timeoutMs", a.timeout, b.timeout);
  differ("targetLatencyMs", a.targetLatency, b.targetLatency);
  differ("tokenGapMs", a.tokenGap, b.tokenGap);
  differ("priority", a.priority, b.priority);
  differ("maxAttempts", a.maxAttempts, b.maxAttempts);
  differ("sessionAffinity", a.sessionAffinity, b.sessionAffinity);
  differ("resumable", a.resumable, b.resumable);
  return fmt::format("{}", fmt::join(names, ", "));
}

std::unique_ptr<routing::Table> table(const Side& side) {
  const base::TimePoint now{std::chrono::hours(1)};
  auto snapshot = std::make_shared<routing::RoutingSnapshot>();
  routing::fold(*snapshot, routing::StateReceived{{1, 1}, side.configuration, side.evacuated, side.rollouts});
  routing::fold(*snapshot, routing::RunnersReceived{{1, 1}, side.runners, now, now});
  auto out = std::make_unique<routing::Table>("", side.daemons.bounds, 1, now);
  out->setSnapshot(std::move(snapshot), now);
  return out;
}

std::size_t usable(const Side& side, const std::string& service) {
  return static_cast<std::size_t>(std::count_if(side.runners.begin(), side.runners.end(), [&](const auto& r) {
    return r.service == service && !r.draining && !base::contains(side.evacuated, r.zone) &&
           std::none_of(side.rollouts.begin(), side.rollouts.end(), [&](const auto& rollout) {
             return rollout.service == service && !rollout.heldBack(rollout::snapshotOf(r)).empty();
           });
  }));
}

double movedRequests(const control::Route& a, const control::Route& b, std::size_t samples) {
  std::size_t moved = 0;
  for (std::size_t i = 0; i < samples; ++i) {
    const auto id = fmt::format("{:016x}", base::hash(std::to_string(i)));
    moved += routing::Table::pick(a, id) != routing::Table::pick(b, id);
  }
  return static_cast<double>(moved) / static_cast<double>(samples);
}

void compareRoutes(const Side& from, const Side& to, std::size_t samples, Plan& plan) {
  const auto find = [](const control::Configuration& c, const std::string& name) -> const control::Route* {
    for (const auto& r : c.routes)
      if (r.name == name) return &r;
    return nullptr;
  };
  for (const auto& old : from.configuration->routes) {
    const auto* now = find(*to.configuration, old.name);
    if (now == nullptr) {
      plan.routes.push_back({old.name, RouteChangeKind::Removed, aims(old), "", 1});
      continue;
    }
    if (old.split != now->split)
      plan.routes.push_back(
          {old.name, RouteChangeKind::Retargeted, aims(old), aims(*now), movedRequests(old, *now, samples)});
    if (const auto names = fields(old, *now); !names.empty())
      plan.routes.push_back({old.name, RouteChangeKind::Changed, names, "", 0});
  }
  for (const auto& now : to.configuration->routes)
    if (find(*from.configuration, now.name) == nullptr)
      plan.routes.push_back({now.name, RouteChangeKind::Added, "", aims(now), 0});
}

void compareServices(const Side& from, const Side& to, std::size_t samples, Plan& plan) {
  const auto before = table(from), after = table(to);
  std::set<std::string> names;
  for (const auto* side : {&from, &to})
    for (const auto& s : side->configuration->services) names.insert(s.name);
  for (const auto& name : names) {
    ServiceChange change;
    change.name = name;
    change.runnersFrom = usable(from, name);
    change.runnersTo = usable(to, name);
    const auto* a = from.configuration->service(name);
    const auto* b = to.configuration->service(name);
    if (a != nullptr) change.slowStartRateFrom = routing::slowStartRate(*a, from.daemons.bounds, from.daemons.routers);
    if (b != nullptr) change.slowStartRateTo = routing::slowStartRate(*b, to.daemons.bounds, to.daemons.routers);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < samples; ++i) {
      // Two parts, of which the last is the request's own.
      const kvindex::PromptParts prompt{{base::hash(std::to_string(i)), 1}, {0, 1}};
      moved += before->home(name, prompt) != after->home(name, prompt);
    }
    change.prefixesMoved = static_cast<double>(moved) / static_cast<double>(samples);
    if (a == nullptr || b == nullptr || change.runnersFrom != change.runnersTo || moved > 0 ||
        change.slowStartRateFrom != change.slowStartRateTo)
      plan.services.push_back(change);
    if (b != nullptr && change.runnersTo == 0 && !to.runners.empty())
      plan.invalid.push_back("services '" + name + "': no runner is left for it");
  }
}

}  // namespace

std::string_view name(RouteChangeKind kind) {
  switch (kind) {
    case RouteChangeKind::Added:
      return "added";
    case RouteChangeKind::Removed:
      return "removed";
    case RouteChangeKind::Retargeted:
      return "re-aimed";
    case RouteChangeKind::Changed:
      return "changed";
  }
  return "";
}

bool Plan::moves() const {
  return !routes.empty() || !services.empty() || !heldBack.empty() || routersFrom != routersTo ||
         controllersFrom != controllersTo;
}

Plan make(const Side& from, const Side& to, std::size_t samples) {
  Plan plan;
  plan.routersFrom = from.daemons.routers;
  plan.routersTo = to.daemons.routers;
  plan.controllersFrom = from.daemons.controllers;
  plan.controllersTo = to.daemons.controllers;
  plan.slackFrom = routing::slackShare(from.daemons.bounds, from.daemons.routers);
  plan.slackTo = routing::slackShare(to.daemons.bounds, to.daemons.routers);
  if (*from.configuration != *to.configuration && to.configuration->revision <= from.configuration->revision)
    plan.invalid.push_back(fmt::format("revision: {} is not above the current one, {}", to.configuration->revision,
                                       from.configuration->revision));
  // The voters follow the losses that are stated, as far as there are controllers for them. A change that leaves fewer
  // than a majority of them stops orders.
  const auto voters = std::min(2 * from.daemons.faultTolerance + 1, from.daemons.controllers);
  if (from.daemons.controllers > 0 && 2 * to.daemons.controllers <= voters)
    plan.invalid.emplace_back("daemons: fewer than a majority of the voters would be left");
  compareRoutes(from, to, std::max<std::size_t>(1, samples), plan);
  compareServices(from, to, std::max<std::size_t>(1, samples), plan);
  for (const auto& held : rollout::heldBack(to.rollouts, to.runners))
    plan.heldBack.push_back({held.service, held.instanceId, held.why});
  for (const auto& r : to.rollouts)
    if (to.configuration->service(r.service) == nullptr)
      plan.invalid.push_back("rollout: service '" + r.service + "' is not in the configuration");
  return plan;
}

std::string asText(const Plan& p) {
  std::string out;
  for (const auto& w : p.invalid) out += "invalid: " + w + "\n";
  for (const auto& r : p.routes) {
    if (r.kind == RouteChangeKind::Retargeted)
      out += fmt::format("route {}: re-aimed from {} to {}; {:.1f}% of its requests move\n", r.name, r.from, r.to,
                         100 * r.moved);
    else
      out += fmt::format("route {}: {}{}\n", r.name, name(r.kind),
                         r.from.empty() && r.to.empty() ? "" : ": " + (r.from.empty() ? r.to : r.from));
  }
  for (const auto& s : p.services)
    out += fmt::format(
        "service {}: {} -> {} runners; {:.1f}% of prompt prefixes move; to a cold runner {:.2f} -> {:.2f} a second "
        "from each router that holds a part\n",
        s.name, s.runnersFrom, s.runnersTo, 100 * s.prefixesMoved, s.slowStartRateFrom, s.slowStartRateTo);
  for (const auto& h : p.heldBack)
    out += fmt::format("runner {} of {}: held back, {}\n", h.instanceId, h.service, h.why);
  if (p.routersFrom != p.routersTo)
    out += fmt::format("routers: {} -> {}; each one's part of the retry slack {:.2f} -> {:.2f}\n", p.routersFrom,
                       p.routersTo, p.slackFrom, p.slackTo);
  if (p.controllersFrom != p.controllersTo)
    out += fmt::format("controllers: {} -> {}\n", p.controllersFrom, p.controllersTo);
  return out.empty() ? "nothing moves\n" : out;
}

std::string asJson(const Plan& p) {
  json::array routes, services, held;
  for (const auto& h : p.heldBack)
    held.push_back({{"service", h.service}, {"instanceId", h.instanceId}, {"why", h.why}});
  for (const auto& r : p.routes)
    routes.push_back({{"name", r.name}, {"what", name(r.kind)}, {"from", r.from}, {"to", r.to}, {"moved", r.moved}});
  for (const auto& s : p.services)
    services.push_back({{"name", s.name},
                        {"runnersFrom", s.runnersFrom},
                        {"runnersTo", s.runnersTo},
                        {"prefixesMoved", s.prefixesMoved},
                        {"warmRateFrom", s.slowStartRateFrom},
                        {"warmRateTo", s.slowStartRateTo}});
  return json::serialize(json::object{{"invalid", json::value_from(p.invalid)},
                                      {"moves", p.moves()},
                                      {"routes", std::move(routes)},
                                      {"services", std::move(services)},
                                      {"heldBack", std::move(held)},
                                      {"routers", {p.routersFrom, p.routersTo}},
                                      {"controllers", {p.controllersFrom, p.controllersTo}},
                                      {"retrySlackShare", {p.slackFrom, p.slackTo}}});
}

base::Result<Daemons> parseDaemons(const std::string& text) {
  const auto wrong = [](const std::string& what) { return base::Error{base::ErrorCode::InvalidInput, what}; };
  json::error_code error;
  const auto value = json::parse(text, error);
  if (error) return wrong("not readable as JSON: " + error.message());
  if (!value.is_object()) return wrong("an object is wanted");
  const auto& o = value.as_object();
  const auto* list = o.if_contains("daemons");
  if (list == nullptr || !list->is_array()) return wrong("daemons: a list is wanted");
  Daemons out;
  std::set<std::string> seen;
  for (std::size_t i = 0; i < list->as_array().size(); ++i) {
    const auto where = fmt::format("daemons[{}]", i);
    const auto& item = list->as_array()[i];
    if (!item.is_object()) return wrong(where + ": an object is wanted");
    const auto* id = item.as_object().if_contains("id");
    const auto* role = item.as_object().if_contains("role");
    if (id == nullptr || !id->is_string()) return wrong(where + ".id: a string is wanted");
    if (!seen.emplace(id->as_string()).second) return wrong(where + ".id: is there twice");
    if (role == nullptr || !role->is_string() || (role->as_string() != "router" && role->as_string() != "controller"))
      return wrong(where + ".role: router or controller is wanted");
    ++(role->as_string() == "router" ? out.routers : out.controllers);
  }
  double losses = 1;
  const auto bound = [&](const char* name, double& into) -> std::string {
    const auto* v = o.if_contains(name);
    if (v == nullptr) return {};
    if (!v->is_number() || v->to_number<double>() < 0) return std::string(name) + ": a number of 0 or more is wanted";
    into = v->to_number<double>();
    return {};
  };
  for (const auto& problem :
       {bound("retryBudgetSlack", out.bounds.retrySlack), bound("warmupOvershoot", out.bounds.warmupOvershoot),
        bound("warmupSlack", out.bounds.warmupSlack), bound("faultTolerance", losses)})
    if (!problem.empty()) return wrong(problem);
  out.faultTolerance = std::max<std::size_t>(1, static_cast<std::size_t>(losses));
  return out;
}

}  // namespace indigohill::plan
