#include "sim/operators.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace indigohill::sim {

using base::Millis;
using control::OrderKind;

namespace {

constexpr std::uint64_t kFirstMarker = 100'000;  // timeouts that no other route has, so that each order's is its own
constexpr std::size_t kRedirectsFollowed = 2;
constexpr Millis kFirstBackoff{100}, kMaxBackoff{800};

constexpr std::string_view kStreamRoute =
    R"({{"name":"r-text","hostname":"a.example","pathPrefix":"/text/","routeType":"streaming","timeoutMs":{},)"
    R"("targetLatencyMs":800,"priority":0,"targetService":"engine","maxAttempts":2,"resumable":true,)"
    R"("sessionAffinity":true,"tokenGapMs":400}})";
constexpr std::string_view kCheckRoute =
    R"({{"name":"r-check","hostname":"a.example","pathPrefix":"/check/","routeType":"idempotent","timeoutMs":{},)"
    R"("targetLatencyMs":300,"priority":2,"targetService":"plain","maxAttempts":2}})";
constexpr std::string_view kServices =
    R"([{"name":"engine","healthCheckPath":"/health","maxConnections":64,"warmupS":3.0,"warmupPerS":20.0,)"
    R"("engine":{"capacitySlots":128,"kvCacheTokens":600000}},)"
    R"({"name":"plain","healthCheckPath":"/health","maxConnections":30,"warmupS":0.0,"warmupPerS":0.0}])";
constexpr std::string_view kLimits =
    R"({"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":400,"idleTimeoutMs":2000})";

bool isClear(const control::Answer& answer, OrderKind kind) {
  if (answer.status == 404 && control::isReading(kind)) return true;
  return answer.status != 0 && answer.status != 307 && answer.status != 404 && answer.status < 500;
}

}  // namespace

Operators::Operators(World& world, OperatorOptions options) : world_(world), options_(options) {
  world_.onState = [this](std::size_t node, const schema::ControlState& state) { noteInForce(node, state); };
}

std::string Operators::documentOf(std::uint64_t revision, std::uint64_t marker) const {
  std::string routes = fmt::format(kStreamRoute, marker) + "," + fmt::format(kCheckRoute, 1500);
  // Further routes, as far as the document is to be larger.
  for (std::size_t i = 0; routes.size() < options_.documentPadding; ++i)
    routes +=
        fmt::format(R"(,{{"name":"r-{0}","hostname":"a.example","pathPrefix":"/more-{0}/","routeType":"idempotent",)"
                    R"("timeoutMs":1500,"targetLatencyMs":300,"priority":2,"targetService":"plain","maxAttempts":2}})",
                    i);
  return fmt::format(R"({{"revision":{},"routes":[{}],"services":{},"limits":{}}})", revision, routes, kServices,
                     kLimits);
}

bool Operators::matches(const SentOrder& order, const std::string& document) const {
  if (order.kind == OrderKind::Replace) return document == order.body;
  return document.find(fmt::format("\"timeoutMs\":{},", order.marker)) != std::string::npos;
}

std::string Operators::text(const SentOrder& order) const {
  return fmt::format("{} {} on {} (marker {})", order.kind == OrderKind::Replace ? "replacement" : "update",
                     order.revision, order.base, order.marker);
}

bool Operators::chance(double probability) {
  return static_cast<double>(world_.random() % 1'000'000) < probability * 1'000'000;
}

std::size_t Operators::anyControlNode() {
  const auto nodes = world_.controlNodes();
  return nodes[world_.random() % nodes.size()];
}

std::uint64_t Operators::acknowledgedBy(base::TimePoint at) const {
  std::uint64_t newest = 0;
  for (auto entry = acknowledged_.rbegin(); entry != acknowledged_.rend() && newest == 0; ++entry)
    if (entry->second <= at) newest = entry->first;
  return newest;
}

std::optional<base::TimePoint> Operators::oldestOpen() const {
  if (openSince_.empty()) return std::nullopt;
  return *openSince_.begin();
}

void Operators::start() {
  if (working_) return;
  working_ = true;
  for (std::size_t i = 0; i < options_.parallel; ++i) work(i);
}

void Operators::work(std::size_t number) {
  const auto pause = Millis(1 + world_.random() % static_cast<std::uint64_t>(2 * options_.pause.count()));
  world_.after(pause, [this, number] {
    if (!working_ || number >= options_.parallel) return;
    if (chance(options_.describe)) {
      read([this, number] { work(number); });
    } else if (!orders_.empty() && chance(options_.resendOld)) {
      const auto back = 1 + world_.random() % std::min(options_.resendWithin, orders_.size());
      pursue(orders_.size() - back, true, [this, number](int) { work(number); });
    } else {
      const bool once = chance(options_.onceOnly);
      pursue(place(current_), once, [this, number, once](int status) {
        // One that lost its race, or that does not know what became of its order, reads first.
        if (once || status != 200)
          read([this, number] { work(number); });
        else
          work(number);
      });
    }
  });
}

std::size_t Operators::place(std::uint64_t base) {
  SentOrder order;
  order.base = base;
  // Two operators may pick the same number.
  order.revision = chance(0.3) && highest_ > base ? highest_ : ++highest_;
  order.marker = kFirstMarker + orders_.size();
  if (base > 0 && chance(0.5)) {
    order.kind = OrderKind::Update;
    order.body = fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}}}})", order.revision,
                             fmt::format(kCheckRoute, order.marker));
  } else {
    order.body = documentOf(order.revision, order.marker);
  }
  orders_.push_back(std::move(order));
  return orders_.size() - 1;
}

void Operators::change(std::function<void(int)> done) { pursue(place(current_), false, std::move(done)); }

void Operators::pair() {
  const auto base = current_;
  pursue(place(base), false, {});
  pursue(place(base), false, {});
}

void Operators::storm(std::size_t count, Millis every) {
  if (count == 0) return;
  change();
  world_.after(every, [this, count, every] { storm(count - 1, every); });
}

void Operators::read(std::function<void()> done) {
  Attempt attempt;
  attempt.order = SIZE_MAX;
  attempt.sentAt = world_.now();
  attempt.newestKnown = current_;
  attempt.done = [done = std::move(done)](int) {
    if (done) done();
  };
  ++open_;
  openSince_.insert(attempt.sentAt);
  send(anyControlNode(), std::move(attempt));
}

void Operators::pursue(std::size_t order, bool once, std::function<void(int)> done) {
  Attempt attempt;
  attempt.order = order;
  attempt.sentAt = world_.now();
  attempt.newestInForce = inForce_.empty() ? 0 : inForce_.rbegin()->first;
  attempt.newestKnown = current_;
  attempt.once = once;
  attempt.done = std::move(done);
  ++open_;
  openSince_.insert(attempt.sentAt);
  send(anyControlNode(), std::move(attempt));
}

void Operators::send(std::size_t at, Attempt attempt) {
  const bool reading = attempt.order == SIZE_MAX;
  const auto kind = reading ? OrderKind::Describe : orders_[attempt.order].kind;
  const auto base = reading ? 0 : orders_[attempt.order].base;
  auto body = reading ? std::string() : orders_[attempt.order].body;
  world_.order(at, kind, base, std::move(body), [this, kind, attempt](const control::Answer& answer) {
    if (isClear(answer, kind)) onAnswer(attempt, answer);
    if (isClear(answer, kind) || attempt.once) {
      --open_;
      openSince_.erase(openSince_.find(attempt.sentAt));
      if (attempt.done) attempt.done(answer.status);
      return;
    }
    retry(attempt, answer);
  });
}

void Operators::retry(Attempt attempt, const control::Answer& answer) {
  if (answer.status == 307 && attempt.redirects < kRedirectsFollowed) {
    ++attempt.redirects;
    if (const auto primary = world_.nodeAt(answer.redirect)) {
      world_.after(Millis(2), [this, primary, attempt] { send(*primary, attempt); });
      return;
    }
  }
  attempt.redirects = 0;
  const auto pause = std::min(kMaxBackoff, kFirstBackoff * (1 << std::min<std::size_t>(attempt.tries, 3)));
  ++attempt.tries;
  world_.after(pause, [this, attempt] { send(anyControlNode(), attempt); });
}

void Operators::onAnswer(const Attempt& attempt, const control::Answer& answer) {
  if (attempt.order == SIZE_MAX)
    onDocument(attempt, answer);
  else if (answer.status == 200)
    handleAcknowledged(attempt);
  else
    onRefused(attempt, answer.status);
}

void Operators::handleAcknowledged(const Attempt& attempt) {
  auto& order = orders_[attempt.order];
  const bool first = !order.acknowledged;
  order.acknowledged = true;
  if (order.refused) world_.breakRule(text(order) + " is acknowledged after it was refused");
  const auto [other, alone] = acknowledgedOnBase_.emplace(order.base, attempt.order);
  if (!alone && other->second != attempt.order)
    world_.breakRule(fmt::format("acknowledged on one version: {} and {}", text(orders_[other->second]), text(order)));
  const auto found = inForce_.find(order.revision);
  if (found == inForce_.end() || found->second != attempt.order)
    world_.breakRule(text(order) + " is acknowledged and was never in force");
  acknowledged_.emplace(order.revision, world_.now());
  current_ = std::max(current_, order.revision);
  if (first && onAcknowledged) onAcknowledged();
}

void Operators::onRefused(const Attempt& attempt, int status) {
  auto& order = orders_[attempt.order];
  order.refused = true;
  if (order.acknowledged)
    world_.breakRule(fmt::format("{} is answered {} after it was acknowledged", text(order), status));
  const auto found = inForce_.find(order.revision);
  if (found != inForce_.end() && found->second == attempt.order)
    world_.breakRule(fmt::format("{} is answered {} and is in force", text(order), status));
  const auto newest = inForce_.empty() ? 0 : inForce_.rbegin()->first;
  if (order.base == newest && attempt.newestInForce == newest && order.revision > newest)
    world_.breakRule(fmt::format("{} is answered {}, on top of the newest version", text(order), status));
}

void Operators::onDocument(const Attempt& attempt, const control::Answer& answer) {
  if (answer.status == 404) {
    if (attempt.newestKnown > 0)
      world_.breakRule(fmt::format("no configuration is read although {} was acknowledged", attempt.newestKnown));
    return;
  }
  const auto parsed = control::parseConfiguration(answer.body);
  if (answer.status != 200 || base::errorIn(parsed)) {
    world_.breakRule(fmt::format("a read is answered {}, or with no configuration", answer.status));
    return;
  }
  const auto revision = std::get<0>(parsed).revision;
  const auto found = inForce_.find(revision);
  if (found == inForce_.end() || !matches(orders_[found->second], answer.body))
    world_.breakRule(fmt::format("a read gives a revision {} that was never in force", revision));
  if (revision < attempt.newestKnown)
    world_.breakRule(fmt::format("a read gives {} although {} was acknowledged or read before it was sent", revision,
                                 attempt.newestKnown));
  current_ = std::max(current_, revision);
}

// What a daemon holds as being in force: one order for each revision, on top of the one before, and none refused.
void Operators::noteInForce(std::size_t node, const schema::ControlState& state) {
  if (state.revision == 0) return;
  const auto& name = world_.node(node).name;
  if (const auto known = inForce_.find(state.revision); known != inForce_.end()) {
    if (!matches(orders_[known->second], state.document))
      world_.breakRule(fmt::format("{} holds another document as {} than was in force", name, state.revision));
    return;
  }
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    const auto& order = orders_[i];
    if (order.revision != state.revision || !matches(order, state.document)) continue;
    const auto before = inForce_.empty() ? 0 : inForce_.rbegin()->first;
    if (order.refused) world_.breakRule(fmt::format("{} holds {}, which was refused", name, text(order)));
    if (order.base != before)
      world_.breakRule(fmt::format("{} holds {}, in force before it was {}", name, text(order), before));
    inForce_.emplace(state.revision, i);
    return;
  }
  world_.breakRule(fmt::format("{} holds a revision {} that nobody sent", name, state.revision));
}

}  // namespace indigohill::sim
