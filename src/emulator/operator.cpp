#include "emulator/operator.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "emulator/configuration_document.hpp"
#include "emulator/pause.hpp"
#include "emulator/payload.hpp"
#include "http/client.hpp"

namespace indigohill::emulator {

namespace asio = http::asio;
namespace wire = http::wire;
using base::Millis;

namespace {

constexpr std::uint64_t kOperatorDraws = 3;
constexpr Millis kCallTimeout{1500}, kResendPause{150}, kChangeLimit{9000};
constexpr Millis kEarliestChange{400}, kLatestChange{2200};
constexpr std::size_t kMaxRedirects = 2, kMaxRevisionStep = 3;
constexpr double kRaceShare = 0.3, kWholeShare = 0.5;
constexpr std::uint64_t kMarkerBaseMs = 1000;

// 200, or a refusal that is no fault of the moment.
bool isClear(int status) { return status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429); }

std::string pathIn(const std::string& location) {
  const auto path = location.find('/', location.find("//") + 2);
  return path == std::string::npos ? "/" : location.substr(path);
}

std::optional<settings::Endpoint> addressIn(const std::string& location) {
  const auto start = location.find("//");
  if (start == std::string::npos) return std::nullopt;
  const auto end = location.find('/', start + 2);
  const auto parsed = settings::parseEndpoint(location.substr(start + 2, end - start - 2));
  if (base::errorIn(parsed)) return std::nullopt;
  return std::get<0>(parsed);
}

}  // namespace

Operator::Operator(const asio::any_io_executor& executor, const Experiment& experiment, const Network& network,
                   Records& records, Timeline& timeline, std::uint64_t seed)
    : executor_(executor),
      experiment_(experiment),
      network_(network),
      records_(records),
      timeline_(timeline),
      random_(seed, kOperatorDraws) {}

void Operator::start() {
  asio::co_spawn(
      executor_, [self = shared_from_this()]() { return self->changeUntilStopped(); }, asio::detached);
}

std::uint64_t Operator::newChange() {
  newest_ = std::max(newest_, current_) + random_.integer(1, kMaxRevisionStep);
  records_.changes.push_back({newest_, current_, kMarkerBaseMs + newest_, false});
  return newest_;
}

asio::awaitable<bool> Operator::declareFirst(Millis limit) {
  const auto self = shared_from_this();
  const auto revision = newChange();
  const auto status = co_await carryOut(revision, true, limit);
  co_return status == 200;
}

asio::awaitable<void> Operator::changeUntilStopped() {
  using namespace asio::experimental::awaitable_operators;
  const auto self = shared_from_this();
  while (!stopped_) {
    co_await pause(random_.millis(kEarliestChange, kLatestChange));
    if (stopped_) break;
    const auto first = newChange();
    std::optional<int> status;
    if (random_.chance(kRaceShare)) {
      const auto second = newChange();
      co_await (carryOut(first, false, kChangeLimit) && carryOut(second, true, kChangeLimit));
    } else {
      status = co_await carryOut(first, random_.chance(kWholeShare), kChangeLimit);
    }
    if (status == 200) continue;
    if (const auto found = co_await describe()) current_ = found->revision;
  }
}

asio::awaitable<std::optional<int>> Operator::carryOut(std::uint64_t revision, bool whole, Millis limit) {
  const auto found = std::find_if(records_.changes.begin(), records_.changes.end(),
                                  [&](const auto& change) { return change.revision == revision; });
  const auto index = static_cast<std::size_t>(found - records_.changes.begin());
  const auto change = *found;
  http::Request request{wire::verb::post, whole ? "/v1/Configuration.Replace" : "/v1/Configuration.Update", 11};
  request.set(kBaseVersionField, std::to_string(change.base));
  request.body() = whole ? wholeDocument(experiment_, change) : updateDocument(change);
  const auto until = base::Clock::now() + limit;
  while (base::Clock::now() < until) {
    const auto reply = co_await call(request);
    if (reply && isClear(reply->status)) {
      if (reply->status == 200) {
        records_.changes[index].acknowledged = true;
        current_ = std::max(current_, revision);
      }
      timeline_.write(base::LogEvent("change_answered")
                          .with("revision", revision)
                          .with("base", change.base)
                          .with("status", reply->status));
      co_return reply->status;
    }
    co_await pause(kResendPause);
  }
  timeline_.write(base::LogEvent("change_without_answer").with("revision", revision));
  co_return std::nullopt;
}

// One call at a controller that is drawn, along its redirects.
asio::awaitable<std::optional<Operator::Reply>> Operator::call(http::Request request) {
  auto to = network_.controlPlane(random_.integer(0, experiment_.controllers - 1));
  for (std::size_t redirects = 0;; ++redirects) {
    const auto reply = co_await callAt(to, request);
    if (!reply || reply->status != 307 || redirects == kMaxRedirects) co_return reply;
    const auto next = addressIn(reply->location);
    if (!next) co_return std::nullopt;
    to = *next;
    request.target(pathIn(reply->location));
  }
}

asio::awaitable<std::optional<Operator::Reply>> Operator::callAt(settings::Endpoint to, http::Request request) {
  http::Client client(executor_, to);
  const auto result = co_await client.call(std::move(request), kCallTimeout);
  if (base::errorIn(result)) co_return std::nullopt;
  const auto& response = std::get<0>(result);
  co_return Reply{static_cast<int>(response.result_int()), response.body(),
                  std::string(response[wire::field::location])};
}

asio::awaitable<std::optional<ReadBack>> Operator::describe() {
  const auto reply = co_await call({wire::verb::get, "/v1/Configuration.Describe", 11});
  if (!reply || reply->status != 200) co_return std::nullopt;
  co_return readMarker(reply->body);
}

asio::awaitable<void> Operator::readBack(Millis limit) {
  const auto self = shared_from_this();
  const auto until = base::Clock::now() + limit;
  while (!records_.readBack && base::Clock::now() < until) {
    records_.readBack = co_await describe();
    if (!records_.readBack) co_await pause(kResendPause);
  }
}

}  // namespace indigohill::emulator
