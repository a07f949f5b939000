#include "emulator/platform.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "emulator/payload.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
namespace json = boost::json;
using base::Millis;

namespace {

constexpr Millis kListPeriod{50}, kCrashedStaysListed{3000}, kDrainTime{4000}, kAddressReuse{1000};

json::object listEntry(const Runner& runner, base::TimePoint now) {
  const auto& spec = runner.spec();
  json::object out{{"instanceId", spec.instanceId},
                   {"targetService", spec.service},
                   {"address", settings::text(spec.address)},
                   {"zone", spec.zone},
                   {"revision", "v1"},
                   {"capacitySlots", spec.slots},
                   {"state", runner.isDraining() ? "draining" : "ready"},
                   {"warmupLeftMs", runner.warmupLeft(now).count()}};
  if (spec.service == kStreamService)
    out["models"] = json::array{json::object{{"name", kModel}, {"revision", 1}, {"adapters", json::array{}}}};
  return out;
}

}  // namespace

Platform::Platform(const asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
                   Records& records)
    : executor_(executor),
      experiment_(experiment),
      network_(network),
      records_(records),
      server_(executor, network.platform(), {},
              [this](http::Request request, http::Caller) -> asio::awaitable<http::Response> {
                co_return answer(request);
              }) {}

void Platform::start() {
  takeList(base::Clock::now());
  server_.start();
  asio::co_spawn(
      executor_, [self = shared_from_this()]() { return self->keepList(); }, asio::detached);
}

void Platform::stop() {
  stopped_ = true;
  server_.stop();
  for (const auto& entry : entries_) entry.runner->crash();
}

std::shared_ptr<Runner> Platform::add(const std::string& service, bool cold) {
  const auto number = started_++;
  RunnerSpec spec;
  spec.instanceId = fmt::format("i-{}", number);
  spec.service = service;
  spec.zone = fmt::format("zone-{}", experiment_.zoneOf(number));
  spec.address = freeAddress(base::Clock::now());
  spec.slots = experiment_.slotsPerRunner;
  spec.queue = experiment_.queuePerRunner;
  if (cold) spec.warmUntil = base::Clock::now() + experiment_.warmup;
  auto runner = std::make_shared<Runner>(executor_, std::move(spec), records_);
  runner->start();
  entries_.push_back({runner});
  return runner;
}

// The address of a runner that has been gone for a while is given to the next one.
settings::Endpoint Platform::freeAddress(base::TimePoint now) {
  const auto gone = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return !entry.addressReused && entry.unlistedAt < now - kAddressReuse;
  });
  if (gone == entries_.end()) return network_.runner(addresses_++);
  gone->addressReused = true;
  return gone->runner->spec().address;
}

void Platform::crash(const std::shared_ptr<Runner>& runner) {
  runner->crash();
  for (auto& entry : entries_)
    if (entry.runner == runner) entry.unlistedAt = base::Clock::now() + kCrashedStaysListed;
}

void Platform::drain(const std::shared_ptr<Runner>& runner) {
  runner->drain();
  for (auto& entry : entries_)
    if (entry.runner == runner) entry.endAt = base::Clock::now() + kDrainTime;
}

std::vector<std::shared_ptr<Runner>> Platform::serving(const std::string& service) const {
  auto out = serving();
  std::erase_if(out, [&](const auto& runner) { return runner->spec().service != service; });
  return out;
}

std::vector<std::shared_ptr<Runner>> Platform::serving() const {
  std::vector<std::shared_ptr<Runner>> out;
  for (const auto& entry : entries_)
    if (!entry.runner->hasCrashed() && !entry.runner->isDraining()) out.push_back(entry.runner);
  return out;
}

void Platform::openLinks() {
  for (const auto& entry : entries_) entry.runner->link().set(Link::State::Open);
}

asio::awaitable<void> Platform::keepList() {
  const auto self = shared_from_this();
  asio::steady_timer timer(executor_);
  while (!stopped_) {
    timer.expires_after(kListPeriod);
    co_await timer.async_wait(http::kTuple);
    const auto now = base::Clock::now();
    for (auto& entry : entries_) {
      if (now < entry.endAt) continue;
      entry.endAt = base::TimePoint::max();
      crash(entry.runner);
    }
    takeList(now);
  }
}

void Platform::takeList(base::TimePoint now) {
  json::array instances;
  for (const auto& entry : entries_)
    if (now < entry.unlistedAt) instances.push_back(listEntry(*entry.runner, now));
  lists_.push_back({now, json::serialize(json::object{{"instances", instances}, {"nextPageToken", nullptr}})});
  while (lists_.size() > 1 && now - lists_[1].at >= experiment_.listLag) lists_.pop_front();
}

bool Platform::admitCall(base::TimePoint now) {
  while (!calls_.empty() && now - calls_.front() >= Millis(1000)) calls_.pop_front();
  if (static_cast<double>(calls_.size()) >= experiment_.listCallsPerS) return false;
  calls_.push_back(now);
  return true;
}

http::Response Platform::answer(const http::Request& request) {
  if (!request.target().starts_with("/instances")) return http::answer(request, 404, "no such call");
  if (!admitCall(base::Clock::now())) return http::answer(request, 429, "over the rate");
  return http::answer(request, 200, lists_.front().json, "application/json");
}

}  // namespace indigohill::emulator
