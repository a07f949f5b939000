#include "hollow/measure.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "hollow/heap.hpp"

namespace indigohill::hollow {

using base::Millis;

namespace {

constexpr double kNever = std::numeric_limits<double>::quiet_NaN();
constexpr Millis kSettle{
    8000};  // longer than anything that follows a change by the clock (exchange of a voter, leases)

double perS(double sum, Millis span) { return sum * 1000.0 / static_cast<double>(span.count()); }

class Play {
 public:
  Play(const Shape& shape, const Course& course) : shape_(shape), course_(course), fleet_(shape) {}

  std::vector<Figure> run() {
    found();
    steady();
    changes();
    lists();
    tells();
    oneFault();
    zoneLost();
    primaryLost();
    regionsParted();
    powerLost();
    return std::move(figures_);
  }

 private:
  void put(const std::string& scenario, const std::string& measure, double value, const std::string& unit,
           bool simulated = true, const std::string& role = "", const std::string& kind = "") {
    figures_.push_back({shape_, scenario, measure, role, kind, value, unit, simulated});
  }

  double until(const std::function<bool()>& done) {
    const auto took = fleet_.runUntil(course_.limit, done);
    return took ? static_cast<double>(took->count()) : kNever;
  }

  std::uint64_t allSent() const {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i) sum += fleet_.totals(i).sent();
    return sum;
  }

  // What an event cost beyond the steady state, over the span since the counters were set back.
  void cost(const std::string& scenario, double ms, double times = 1) {
    std::uint64_t most = 0, cpu = 0, reads = 0;
    std::int64_t heap = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      most = std::max(most, fleet_.totals(i).sent());
      cpu = std::max(cpu, fleet_.totals(i).cpuNs);
      heap = std::max(heap, heapOf(Fleet::account(i)).most);
      reads += fleet_.totals(i).platformReads;
    }
    const double background = std::isnan(ms) ? 0 : steadyBytesPerS_ * ms / 1000.0;
    put(scenario, "bytes", std::max(0.0, static_cast<double>(allSent()) - background) / times, "bytes");
    for (std::size_t k = 0; k < kKinds; ++k) {
      double messages = 0, bytes = 0;
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        messages += static_cast<double>(fleet_.totals(i).sentMessages[k]);
        bytes += static_cast<double>(fleet_.totals(i).sentBytes[k]);
      }
      if (messages == 0) continue;
      put(scenario, "messages", messages / times, "", true, "", kKindNames[k]);
      put(scenario, "bytes", bytes / times, "bytes", true, "", kKindNames[k]);
    }
    put(scenario, "platformReads", static_cast<double>(reads) / times, "");
    put(scenario, "mostSentByOne", static_cast<double>(most) / times, "bytes");
    put(scenario, "mostCpuOfOne", static_cast<double>(cpu) / 1e6 / times, "ms", false);
    put(scenario, "mostHeapOfOne", static_cast<double>(heap), "bytes");
  }

  void found() {
    course_.say("founding");
    const double view = until([this] { return fleet_.viewEverywhere(); });
    put("founding", "viewEverywhere", view, "ms");
    cost("founding", 0);
    until([this] { return fleet_.primary().has_value(); });
    fleet_.run(kSettle);
    const double config = change();
    put("founding", "firstConfiguration", config, "ms");
    fleet_.run(kSettle);
  }

  double change() {
    ++revision_;
    fleet_.change(revision_);
    return until([this] { return fleet_.inForceEverywhere(revision_); });
  }

  void steady() {
    course_.say("steady state");
    fleet_.setBack();
    fleet_.run(course_.steady);
    struct Sum {
      double daemons = 0, messages = 0, sent = 0, received = 0, cpuNs = 0, mostCpuNs = 0, live = 0, reads = 0;
      std::array<double, kKinds> messagesOf{}, bytesOf{};
    };
    std::array<Sum, kRoles> sums{};
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const auto& t = fleet_.totals(i);
      const auto add = [&](Role role) {
        auto& s = sums[static_cast<std::size_t>(role)];
        s.daemons += 1;
        s.messages += static_cast<double>(t.messages());
        s.sent += static_cast<double>(t.sent());
        s.received += static_cast<double>(t.received());
        s.cpuNs += static_cast<double>(t.cpuNs);
        s.mostCpuNs = std::max(s.mostCpuNs, static_cast<double>(t.cpuNs));
        s.live += static_cast<double>(heapOf(Fleet::account(i)).live);
        s.reads += static_cast<double>(t.platformReads);
        for (std::size_t k = 0; k < kKinds; ++k) {
          s.messagesOf[k] += static_cast<double>(t.sentMessages[k] + t.receivedMessages[k]);
          s.bytesOf[k] += static_cast<double>(t.sentBytes[k] + t.receivedBytes[k]);
        }
      };
      add(fleet_.daemon(i).role(fleet_.now()));
      if (fleet_.daemon(i).isDiscoveryLeader()) add(Role::DiscoveryLeader);
    }
    for (std::size_t r = 0; r < kRoles; ++r) {
      const auto& s = sums[r];
      if (s.daemons == 0) continue;
      const std::string role = kRoleNames[r];
      put("steady", "daemons", s.daemons, "", true, role);
      put("steady", "messages", perS(s.messages / s.daemons, course_.steady), "1/s", true, role);
      put("steady", "sent", perS(s.sent / s.daemons, course_.steady), "bytes/s", true, role);
      put("steady", "received", perS(s.received / s.daemons, course_.steady), "bytes/s", true, role);
      put("steady", "cpu", perS(s.cpuNs / s.daemons / 1e6, course_.steady), "ms/s", false, role);
      put("steady", "heap", s.live / s.daemons, "bytes", true, role);
      put("steady", "platformReads", perS(s.reads / s.daemons, course_.steady), "1/s", true, role);
      for (std::size_t k = 0; k < kKinds; ++k) {
        if (s.messagesOf[k] == 0) continue;
        put("steady", "messages", perS(s.messagesOf[k] / s.daemons, course_.steady), "1/s", true, role, kKindNames[k]);
        put("steady", "bytes", perS(s.bytesOf[k] / s.daemons, course_.steady), "bytes/s", true, role, kKindNames[k]);
      }
    }
    steadyBytesPerS_ = perS(static_cast<double>(allSent()), course_.steady);
  }

  void repeated(const std::string& scenario, const std::string& measure, const std::function<double()>& once) {
    course_.say(scenario);
    fleet_.setBack();
    const auto from = fleet_.now();
    std::vector<double> took;
    for (std::size_t i = 0; i < course_.repeats; ++i) {
      took.push_back(once());
      fleet_.run(Millis(1000));
    }
    std::sort(took.begin(), took.end());
    put(scenario, measure, took[took.size() / 2], "ms");
    put(scenario, measure + "Slowest", took.back(), "ms");
    cost(scenario, std::chrono::duration<double, std::milli>(fleet_.now() - from).count(),
         static_cast<double>(course_.repeats));
  }

  void changes() {
    repeated("change", "inForceEverywhere", [this] { return change(); });
  }

  void lists() {
    std::size_t next = 0;
    repeated("list", "listEverywhere", [this, &next]() -> double {
      const auto leader = fleet_.discoveryLeader();
      if (!leader) return kNever;
      const auto before = fleet_.daemon(*leader).runnersVersion();
      fleet_.drainRunner(next / 2, next % 2 == 0);
      ++next;
      return until([&] {
        const auto version = fleet_.daemon(*leader).runnersVersion();
        return before < version && fleet_.listEverywhere(version);
      });
    });
  }

  void tells() {
    repeated("tell", "sent", [this] {
      fleet_.announceLoad(fleet_.size() - 1, {"model-0/instance-0", 1 + fleet_.size(), 8000});
      return 0.0;
    });
  }

  // The youngest routers: the oldest members have offices of the group.
  void oneFault() {
    std::size_t next = fleet_.size();
    std::vector<std::size_t> gone;
    repeated("fault", "viewEverywhere", [&] {
      gone.push_back(--next);
      fleet_.kill(next);
      return until([this] { return fleet_.viewEverywhere(); });
    });
    repeated("return", "viewEverywhere", [&] {
      fleet_.start(gone.back());
      gone.pop_back();
      return until([this] { return fleet_.viewEverywhere(); });
    });
    fleet_.run(kSettle);
  }

  void timed(const std::string& scenario, const std::string& measure, const std::function<bool()>& done) {
    course_.say(scenario);
    const double ms = until(done);
    put(scenario, measure, ms, "ms");
    fleet_.run(Millis(1000));
    cost(scenario, ms + 1000);
    fleet_.setBack();
  }

  void zoneLost() {
    const auto zone = shape_.zones - 1;
    fleet_.setBack();
    for (std::size_t i = 0; i < fleet_.size(); ++i)
      if (fleet_.zoneOf(i) == zone) fleet_.kill(i);
    timed("zone lost", "viewEverywhere", [this] { return fleet_.viewEverywhere(); });
    for (std::size_t i = 0; i < fleet_.size(); ++i)
      if (fleet_.zoneOf(i) == zone) fleet_.start(i);
    timed("zone back", "viewEverywhere", [this] { return fleet_.viewEverywhere(); });
    fleet_.run(kSettle);
  }

  void primaryLost() {
    const auto primary = fleet_.primary();
    if (!primary) return;
    fleet_.setBack();
    fleet_.kill(*primary);
    course_.say("primary lost");
    put("primary lost", "nextInOffice", until([this] { return fleet_.primary().has_value(); }), "ms");
    timed("primary lost", "viewEverywhere", [this] { return fleet_.viewEverywhere(); });
    fleet_.run(kSettle);
    fleet_.start(*primary);
    until([this] { return fleet_.viewEverywhere(); });
    fleet_.run(kSettle);
  }

  void regionsParted() {
    fleet_.setBack();
    fleet_.partRegions(true);
    course_.say("regions parted");
    fleet_.run(course_.parted);
    std::size_t leased = 0, running = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      running += fleet_.alive(i);
      leased += fleet_.daemon(i).group().leaseHeld(fleet_.now());
    }
    put("regions parted", "withLease", static_cast<double>(leased) / static_cast<double>(running), "share");
    cost("regions parted", static_cast<double>(course_.parted.count()));
    fleet_.setBack();
    fleet_.partRegions(false);
    timed("regions joined", "viewEverywhere", [this] { return fleet_.viewEverywhere(); });
    fleet_.run(kSettle);
  }

  void powerLost() {
    fleet_.setBack();
    for (std::size_t i = 0; i < fleet_.size(); ++i) fleet_.kill(i);
    fleet_.run(Millis(1000));
    for (std::size_t i = 0; i < fleet_.size(); ++i) fleet_.start(i);
    course_.say("power lost");
    const double view = until([this] { return fleet_.viewEverywhere(); });
    put("power lost", "viewEverywhere", view, "ms");
    const double rest = until([this] { return fleet_.inForceEverywhere(revision_); });
    put("power lost", "inForceEverywhere",
        (std::isnan(view) ? static_cast<double>(course_.limit.count()) : view) + rest, "ms");
    fleet_.run(Millis(1000));
    cost("power lost", 1000 + (std::isnan(view + rest) ? 0 : view + rest));
  }

  Shape shape_;
  Course course_;
  Fleet fleet_;
  std::vector<Figure> figures_;
  std::uint64_t revision_ = 0;
  double steadyBytesPerS_ = 0;
};

schema::View viewOf(const Shape& shape) {
  schema::View view;
  view.number = 1u << 21;
  for (std::size_t i = 0; i < shape.daemons; ++i) {
    schema::Member m;
    m.id = fmt::format("node-{}/router", i);
    m.zone = fmt::format("zone-{}", i % shape.zones);
    m.role = static_cast<std::uint8_t>(i < shape.controllers ? membership::Role::Controller : membership::Role::Router);
    m.ip = 0x0a000001u + static_cast<std::uint32_t>(i);
    m.port = 7000;
    m.bootId = i + 1;
    m.incarnation = view.number - i - 1;
    view.members.push_back(m);
  }
  return view;
}

}  // namespace

std::vector<Figure> measureFleet(const Shape& shape, const Course& course) { return Play(shape, course).run(); }

std::vector<Figure> measureRouter(const Shape& shape, std::size_t choices) {
  std::vector<Figure> out;
  const auto put = [&](const char* scenario, const char* measure, double value, const char* unit, bool simulated) {
    out.push_back({shape, scenario, measure, "router", "", value, unit, simulated});
  };
  // The last account: no daemon of a fleet has it.
  constexpr auto kAccount = kAccounts - 1;
  const HeapScope scope(kAccount);
  base::TimePoint now{std::chrono::hours(1)};
  const auto live = [] { return static_cast<double>(heapOf(kAccount).live); };

  const auto document = configuration(1, shape.tenants, shape.models);
  control::parseConfiguration(document);  // what the libraries keep from their first use is no part of it
  const double beforeConfiguration = live();
  auto parsed = control::parseConfiguration(document);
  if (base::errorIn(parsed)) return out;
  const auto configured = std::make_shared<const control::Configuration>(std::get<0>(std::move(parsed)));
  put("parts", "configurationDocument", static_cast<double>(document.size()), "bytes", true);
  put("parts", "configurationParsed", live() - beforeConfiguration, "bytes", true);

  const double beforeTable = live();
  base::Journal<routing::Event, routing::RoutingSnapshot> journal(routing::fold);
  routing::Table table("zone-0", routing::Bounds{}, shape.seed, now);
  table.setLease(now + std::chrono::hours(1));
  const auto runners = runnerList(shape.runners, 1, shape.zones);
  table.setSnapshot(journal.append(routing::StateReceived{{1, 1}, configured, {}}), now);
  table.setSnapshot(journal.append(routing::RunnersReceived{{1, 1}, runners, now, now}), now);
  table.setSnapshot(journal.append(routing::ViewReceived{viewOf(shape)}), now);
  put("parts", "tableAndPicture", live() - beforeTable, "bytes", true);

  // Prompts with shared parts, drawn from a seed; each place is given back at once.
  std::mt19937_64 random(shape.seed);
  std::uint64_t passed = 0;
  const auto& route = configured->routes.front();
  const auto from = threadCpuNs();
  for (std::size_t i = 0; i < choices; ++i) {
    now += Millis(1);
    routing::RequestProfile asked;
    asked.route = &route;
    asked.service = "model-0";
    asked.prompt = {{random() % 16, 400}, {random() % 4000, 1200}, {random(), 300}};
    asked.promptTokens = 1900;
    asked.outTokens = 200;
    asked.arrivedAt = now;
    asked.deadline = now + Millis(12000);
    passed += std::holds_alternative<routing::PassTo>(table.decide(asked, now));
  }
  put("choice", "passed", static_cast<double>(passed) / static_cast<double>(choices), "share", true);
  put("choice", "cpu", static_cast<double>(threadCpuNs() - from) / 1000.0 / static_cast<double>(choices), "us", false);

  const double beforeViews = live();
  constexpr std::size_t kEvents = 300;  // more than a journal keeps
  for (std::size_t i = 0; i < kEvents; ++i) journal.append(routing::ViewReceived{viewOf(shape)});
  put("journal", "fullOfViews", live() - beforeViews, "bytes", true);
  for (std::size_t i = 0; i < kEvents; ++i) journal.append(routing::RunnersReceived{{1, 2 + i}, runners, now, now});
  put("journal", "fullOfLists", live() - beforeViews, "bytes", true);
  return out;
}

}  // namespace indigohill::hollow
