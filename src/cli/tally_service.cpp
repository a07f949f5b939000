#include "cli/tally_service.hpp"

#include <boost/asio/post.hpp>
#include <utility>

#include "base/log.hpp"
#include "tally/requests.hpp"

namespace indigohill::cli {

namespace {

constexpr base::Millis kAnswerLimit{2000};  // the replica itself answers well before
constexpr const char* kRetryAfterSeconds = "0.2";

int statusOf(tally::AddResult result) {
  switch (result) {
    case tally::AddResult::Counted:
      return 200;
    case tally::AddResult::NotDone:
      return 503;
    case tally::AddResult::MayBeCounted:
      return 504;
  }
  return 504;
}

http::Response unavailable(const http::Request& request, const char* why) {
  auto out = http::answer(request, 503, why);
  out.set(http::wire::field::retry_after, kRetryAfterSeconds);
  return out;
}

// Of an empty log nothing else can be said than that its replica needs a name.
std::uint64_t nameFrom(std::uint64_t seed) { return seed == 0 ? 1 : seed; }

}  // namespace

TallyService::TallyService(http::asio::any_io_executor executor, net::Link& link, store::AppendLog log, bool mayBeFirst,
                           tally::Options options, std::uint64_t seed)
    : executor_(std::move(executor)),
      link_(link),
      replica_(tally::recover(log.takeRecords()), nameFrom(seed), mayBeFirst, options, base::Clock::now()),
      log_(std::move(log)) {}

http::asio::awaitable<http::Response> TallyService::carryOut(const control::Call& call, const http::Request& request) {
  if (call.kind == control::Call::Kind::DescribeTally) {
    if (!tally::isName(call.argument)) co_return http::answer(request, 400, "tally: a printable name is wanted");
    const auto total = replica_.total(call.argument);
    if (!total) co_return unavailable(request, "not caught up yet");
    co_return http::answer(request, 200, tally::formatTotal(*total), "application/json");
  }
  auto parsed = tally::parseAdd(call.argument, request.body());
  if (const auto* error = base::errorIn(parsed)) co_return http::answer(request, 400, error->message);
  if (shuttingDown_) co_return unavailable(request, "shutting down");
  const auto result = co_await add(std::get<0>(std::move(parsed)));
  if (result == tally::AddResult::NotDone) co_return unavailable(request, "nothing was added");
  co_return http::answer(request, statusOf(result), result == tally::AddResult::Counted ? "" : "it may be added");
}

http::asio::awaitable<tally::AddResult> TallyService::add(schema::TallyAdd add) {
  const auto call = ++calls_;
  const auto timer = std::make_shared<http::asio::steady_timer>(executor_, kAnswerLimit);
  waiting_[call] = {timer, std::nullopt};
  tally::Effects effects;
  replica_.add(call, std::move(add), base::Clock::now(), effects);
  apply(effects);
  if (!waiting_[call].result) co_await timer->async_wait(http::kTuple);
  const auto result = waiting_[call].result;
  waiting_.erase(call);
  co_return result.value_or(tally::AddResult::MayBeCounted);
}

bool TallyService::receive(const schema::Message& message, const settings::Endpoint& from) {
  tally::Effects effects;
  if (const auto* versions = std::get_if<schema::TallyVersions>(&message))
    replica_.receive(*versions, from, base::Clock::now(), effects);
  else if (const auto* changes = std::get_if<schema::TallyChanges>(&message))
    replica_.receive(*changes, from, base::Clock::now(), effects);
  else
    return false;
  apply(effects);
  return true;
}

void TallyService::tick(const tally::Surroundings& surroundings) {
  tally::Effects effects;
  replica_.tick(surroundings, base::Clock::now(), effects);
  apply(effects);
}

void TallyService::apply(tally::Effects& effects) {
  for (const auto& event : effects.log) base::logInfo(event);
  for (const auto& answer : effects.answers) {
    const auto found = waiting_.find(answer.call);
    if (found == waiting_.end()) continue;
    found->second.result = answer.result;
    found->second.timer->cancel();
  }
  if (effects.write) {
    auto done = [this](bool isOnDisk) {
      http::asio::post(executor_, [this, isOnDisk] {
        tally::Effects after;
        replica_.onWritten(isOnDisk, base::Clock::now(), after);
        apply(after);
      });
    };
    effects.write->replace ? log_.replace(std::move(effects.write->records), std::move(done))
                           : log_.append(std::move(effects.write->records), std::move(done));
  }
  link_.send(effects.out);
}

}  // namespace indigohill::cli
