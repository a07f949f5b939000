#include "model/history.hpp"

#include <fmt/format.h>

#include <bit>
#include <cstdlib>

#include "base/lists.hpp"

namespace indigohill::model {

namespace {

constexpr const char* kZone = "z1";  // that orders evacuate

std::string serviceOf(std::uint8_t order) { return fmt::format("\"s{}\"", order); }

// The first order is a whole configuration; each later one adds a service of its own name. So a document tells which
// orders it is made of.
std::string bodyOf(std::uint8_t order, std::uint64_t revision) {
  if (order == 0)
    return fmt::format(R"({{"revision":{},"routes":[],"services":[{{"name":{}}}]}})", revision, serviceOf(order));
  return fmt::format(R"({{"revision":{},"upsert":{{"services":[{{"name":{}}}]}}}})", revision, serviceOf(order));
}

std::uint64_t revisionIn(const std::string& document) {
  const std::string key = "\"revision\":";
  const auto at = document.find(key);
  return at == std::string::npos ? 0 : std::strtoull(document.c_str() + at + key.size(), nullptr, 10);
}

std::string text(const schema::StateVersion& version) { return fmt::format("{}.{}", version.epoch, version.sequence); }

}  // namespace

History::History(const std::vector<OrderKind>& kinds, std::size_t copies) : copies_(copies) {
  for (const auto kind : kinds) addOrder(kind);
}

void History::fail(std::string what) {
  if (!violation_) violation_ = std::move(what);
}

bool History::effectIn(std::uint8_t order, const schema::ControlState& state) const {
  const bool evacuated = base::contains(state.evacuated, kZone);
  switch (orders_[order].kind) {
    case OrderKind::Update:
      return state.document.find(serviceOf(order)) != std::string::npos;
    case OrderKind::Evacuate:
      return evacuated;
    case OrderKind::EndEvacuation:
      return !evacuated;
  }
  std::abort();
}

control::Order History::issue(std::uint8_t order, std::uint8_t machine) {
  auto& entry = orders_[order];
  if (!entry.issued) {
    entry.issued = true;
    entry.baseVersion = inForce_.revision;
    entry.revision = inForce_.revision + 1 + order;
  }
  calls_.push_back({nextCall_++, false, order, machine, effectIn(order, inForce_), inForce_.revision});
  control::Order out;
  out.call = calls_.back().id;
  if (entry.kind == OrderKind::Update) {
    out.kind = order == 0 ? control::OrderKind::Replace : control::OrderKind::Update;
    out.baseVersion = entry.baseVersion;
    out.body = bodyOf(order, entry.revision);
  } else {
    out.kind = entry.kind == OrderKind::Evacuate ? control::OrderKind::Evacuate : control::OrderKind::EndEvacuation;
    out.body = kZone;
  }
  return out;
}

control::Order History::read(std::uint8_t machine) {
  calls_.push_back({nextCall_++, true, 0, machine, false, inForce_.revision});
  control::Order out;
  out.call = calls_.back().id;
  out.kind = control::OrderKind::Describe;
  return out;
}

void History::answered(const control::Answer& answer) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [&](const auto& call) { return call.id == answer.call; });
  if (found == calls_.end()) return fail(fmt::format("call {} is answered twice", answer.call));
  const auto call = *found;
  calls_.erase(found);
  if (call.read) {
    const bool clear = answer.status == 200 || answer.status == 404;
    if (clear && revisionIn(answer.body) < call.revisionWhenIssued)
      fail(fmt::format("a read is answered with revision {} although {} was in force when it was asked",
                       revisionIn(answer.body), call.revisionWhenIssued));
  } else if (answer.status == 200) {
    acknowledged(call.order, call);
  } else if (answer.status == 400 || answer.status == 409 || answer.status == 412) {
    refusedWith(call.order, answer.status);
  }
}

void History::acknowledged(std::uint8_t order, const Call& call) {
  auto& entry = orders_[order];
  entry.acknowledged = true;
  if (!call.satisfied) fail(fmt::format("order {} is acknowledged and was not in force since it was sent", order));
  if (entry.kind != OrderKind::Update) return;
  if (entry.refused) fail(fmt::format("order {} is acknowledged after it was refused", order));
  if (static_cast<std::size_t>(std::popcount(entry.holders)) < copies_)
    fail(fmt::format("order {} is acknowledged and on {} disks", order, std::popcount(entry.holders)));
  for (std::uint8_t other = 0; other < orders_.size(); ++other)
    if (other != order && orders_[other].kind == OrderKind::Update && orders_[other].acknowledged &&
        orders_[other].baseVersion == entry.baseVersion)
      fail(fmt::format("orders {} and {} on base version {} are both acknowledged", other, order, entry.baseVersion));
}

void History::refusedWith(std::uint8_t order, int status) {
  auto& entry = orders_[order];
  entry.refused = true;
  if (entry.acknowledged || entry.inForce) fail(fmt::format("order {} is in force and answered {}", order, status));
  if (status == 412 && inForce_.revision <= entry.baseVersion)
    fail(fmt::format("order {} is answered 412 although its base version {} is in force", order, entry.baseVersion));
}

void History::machineGone(std::uint8_t machine) {
  std::erase_if(calls_, [&](const auto& call) { return call.machine == machine; });
}

void History::adopted(const schema::EpochRecord& record) {
  const auto [found, isNew] = records_.emplace(record.epoch, record);
  if (!isNew && !(found->second == record)) fail(fmt::format("two records of epoch {}", record.epoch));
  if (record.epoch > newest_.epoch) newest_ = record;
}

void History::published(const schema::ControlState& state) {
  if (!(state.version > inForce_.version)) {
    // A primary that has been superseded may still finish a write whose copies were made before that. Its successor
    // holds one of them, so nothing may be in it that is not in the newer state.
    for (std::uint8_t order = 0; order < orders_.size(); ++order)
      if (orders_[order].kind == OrderKind::Update && effectIn(order, state) && !effectIn(order, inForce_))
        fail(fmt::format("version {} with order {} comes into force after {}, which lacks it", text(state.version),
                         order, text(inForce_.version)));
    return;
  }
  inForce_ = state;
  for (std::uint8_t order = 0; order < orders_.size(); ++order) {
    auto& entry = orders_[order];
    if (entry.kind != OrderKind::Update) continue;
    const bool effect = effectIn(order, state);
    if (entry.inForce && !effect)
      fail(fmt::format("order {} was in force and is not in version {}", order, text(state.version)));
    if (effect && entry.refused) fail(fmt::format("order {} comes into force after it was refused", order));
    entry.inForce |= effect;
  }
  for (auto& call : calls_)
    if (!call.read) call.satisfied |= effectIn(call.order, state);
}

void History::onDisk(std::uint64_t identityBit, const schema::ControlState& state) {
  for (std::uint8_t order = 0; order < orders_.size(); ++order)
    if (orders_[order].kind == OrderKind::Update && effectIn(order, state)) orders_[order].holders |= identityBit;
}

bool History::waitsFor(std::uint8_t order) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& call) { return !call.read && call.order == order; });
}

bool History::waitsAt(std::uint8_t order, std::uint8_t machine) const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [&](const auto& call) { return !call.read && call.order == order && call.machine == machine; });
}

void History::fingerprint(base::Fingerprint& out) const {
  out.add(orders_.size());
  for (const auto& entry : orders_)
    out.add(entry.kind, entry.issued, entry.acknowledged, entry.refused, entry.inForce, entry.baseVersion,
            entry.revision, entry.holders);
  out.add(calls_.size());
  for (const auto& call : calls_)
    out.add(call.id, call.read, call.order, call.machine, call.satisfied, call.revisionWhenIssued);
  out.add(nextCall_, records_, inForce_);
}

}  // namespace indigohill::model
