#include "emulator/applications.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "emulator/pause.hpp"
#include "http/client.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr std::uint64_t kApplicationDraws = 4;
constexpr Millis kCallTimeout{1000}, kPatience{6000}, kLongestPause{150};
constexpr double kReadShare = 0.3, kResendShare = 0.2;
constexpr std::size_t kAddsPerTally = 40;  // an amount is 2^39 at most
constexpr std::size_t kRecentAdds = 60;    // that may be sent again, or read

http::Request addRequest(const TallyAdd& add) {
  http::Request out{wire::verb::post, "/v1/Tallies.Update/" + add.tally, 11};
  out.set(wire::field::content_type, "application/json");
  out.body() = boost::json::serialize(boost::json::object{{"instanceId", add.id}, {"actor", add.amount}});
  return out;
}

std::optional<std::uint64_t> totalIn(const std::string& body) {
  boost::json::error_code error;
  const auto parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) return std::nullopt;
  const auto* total = parsed.as_object().if_contains("total");
  if (total == nullptr || !total->is_number()) return std::nullopt;
  return total->to_number<std::uint64_t>(error);
}

bool isNotDone(int status) { return status == 503 || status == 429; }
bool isRefused(int status) { return status >= 400 && status < 500 && status != 429; }

}  // namespace

Applications::Applications(const asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
                           const PeerCuts& cuts, Records& records, std::uint64_t seed)
    : executor_(executor),
      experiment_(experiment),
      network_(network),
      cuts_(cuts),
      records_(records),
      random_(seed, kApplicationDraws) {}

void Applications::start() {
  asio::co_spawn(
      executor_, [self = shared_from_this()]() { return self->generate(); }, asio::detached);
}

asio::awaitable<void> Applications::generate() {
  const auto self = shared_from_this();
  asio::steady_timer timer(executor_);
  while (!stopped_) {
    timer.expires_after(random_.untilNext(experiment_.tallyCallsPerS));
    co_await timer.async_wait(http::kTuple);
    if (stopped_) break;
    const auto zone = random_.integer(0, experiment_.zones - 1);
    if (random_.chance(kReadShare) && !records_.tallyAdds.empty()) {
      asio::co_spawn(
          executor_, [self, zone]() { return self->readSome(zone); }, asio::detached);
      continue;
    }
    const auto index = newAdd();
    asio::co_spawn(
        executor_, [self, index, zone]() { return self->add(index, zone); }, asio::detached);
  }
}

// The number of a new add, or of one that is sent again.
std::size_t Applications::newAdd() {
  auto& adds = records_.tallyAdds;
  const auto count = adds.size();
  if (count > 0 && random_.chance(kResendShare)) return count - random_.integer(1, std::min(count, kRecentAdds));
  TallyAdd add;
  add.tally = "tally-" + std::to_string(count / kAddsPerTally);
  add.id = "add-" + std::to_string(count);
  add.amount = std::uint64_t{1} << (count % kAddsPerTally);
  add.sentAt = base::Clock::now();
  adds.push_back(add);
  return count;
}

// All that are reached from a zone, in the order in which its applications ask them.
std::vector<std::size_t> Applications::controllersFrom(std::size_t zone) {
  std::vector<std::size_t> near, far;
  const auto first = random_.integer(0, experiment_.controllersWithDisk() - 1);
  for (std::size_t i = 0; i < experiment_.controllersWithDisk(); ++i) {
    const auto controller = (first + i) % experiment_.controllersWithDisk();
    if (experiment_.zoneOf(controller) == zone)
      near.push_back(controller);
    else if (cuts_.reaches(zone, experiment_.zoneOf(controller)))
      far.push_back(controller);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

Answerer Applications::answerer(std::size_t controller) const {
  return {controller, records_.controllerLives[controller]};
}

asio::awaitable<void> Applications::add(std::size_t index, std::size_t zone) {
  const auto self = shared_from_this();
  auto& add = records_.tallyAdds[index];
  const auto until = base::Clock::now() + kPatience;
  ++inProgress_;
  bool isClear = false;
  while (!isClear && base::Clock::now() < until) {
    for (const auto controller : controllersFrom(zone)) {
      isClear = co_await tryToAdd(add, controller);
      if (isClear) break;
    }
    if (!isClear) co_await pause(random_.millis(Millis(1), kLongestPause));
  }
  --inProgress_;
}

asio::awaitable<bool> Applications::tryToAdd(TallyAdd& add, std::size_t controller) {
  ++add.tries;
  const auto by = answerer(controller);
  const auto response = co_await call(controller, addRequest(add));
  if (!response) co_return false;
  const auto status = static_cast<int>(response->result_int());
  if (isNotDone(status)) ++add.notDone;
  if (isRefused(status)) records_.tallyRefusals.push_back(fmt::format("{}: {}", add.id, status));
  if (status == 200) add.acknowledgements.push_back({by, base::Clock::now()});
  co_return status == 200 || isRefused(status);
}

asio::awaitable<void> Applications::readSome(std::size_t zone) {
  const auto self = shared_from_this();
  const auto count = records_.tallyAdds.size();
  const auto tally = records_.tallyAdds[count - random_.integer(1, std::min(count, kRecentAdds))].tally;
  for (const auto controller : controllersFrom(zone)) {
    const auto found = co_await read(tally, controller);
    if (!found) continue;
    records_.tallyReads.push_back(*found);
    co_return;
  }
}

asio::awaitable<std::optional<TallyRead>> Applications::read(std::string tally, std::size_t controller) {
  TallyRead out;
  out.by = answerer(controller);
  out.sentAt = base::Clock::now();
  const auto response = co_await call(controller, {wire::verb::get, "/v1/Tallies.Describe/" + tally, 11});
  if (!response) co_return std::nullopt;
  const auto status = static_cast<int>(response->result_int());
  if (isRefused(status)) records_.tallyRefusals.push_back(fmt::format("{}: {}", tally, status));
  const auto total = status == 200 ? totalIn(response->body()) : std::nullopt;
  // An answer that came while the controller was started anew is of neither life.
  if (!total || answerer(controller) != out.by) co_return std::nullopt;
  out.tally = std::move(tally);
  out.answeredAt = base::Clock::now();
  out.total = *total;
  co_return out;
}

asio::awaitable<std::optional<http::Response>> Applications::call(std::size_t controller, http::Request request) {
  http::Client client(executor_, network_.controlPlane(controller));
  const auto result = co_await client.call(std::move(request), kCallTimeout);
  if (base::errorIn(result) != nullptr) co_return std::nullopt;
  co_return std::get<0>(result);
}

asio::awaitable<void> Applications::readBack(Millis limit) {
  const auto self = shared_from_this();
  std::set<std::string> tallies;
  for (const auto& add : records_.tallyAdds) tallies.insert(add.tally);
  const auto until = base::Clock::now() + limit;
  for (std::size_t controller = 0; controller < experiment_.controllersWithDisk(); ++controller)
    for (const auto& tally : tallies) {
      auto found = co_await read(tally, controller);
      while (!found && base::Clock::now() < until) {
        co_await pause(kLongestPause);
        found = co_await read(tally, controller);
      }
      if (found) records_.tallyReadBacks.push_back(*found);
    }
}

}  // namespace indigohill::emulator
