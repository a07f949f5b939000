#include "cli/rollout.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "base/lists.hpp"
#include "cli/tools.hpp"
#include "http/client.hpp"
#include "rollout/record.hpp"

namespace indigohill::cli {

namespace json = boost::json;
namespace asio = http::asio;
using base::Millis;

namespace {

constexpr int kRedirects = 2;
constexpr Millis kSilence{1000};  // then the next address is asked

struct Reply {
  int status = 0;
  std::string body;
  settings::Endpoint from;
};

// The address in `Location: http://10.0.0.4:8080/path`.
std::optional<settings::Endpoint> placeOf(std::string_view location) {
  constexpr std::string_view scheme = "http://";
  if (!location.starts_with(scheme)) return std::nullopt;
  location.remove_prefix(scheme.size());
  auto parsed = settings::parseEndpoint(std::string(location.substr(0, location.find('/'))));
  if (base::errorIn(parsed)) return std::nullopt;
  return std::get<settings::Endpoint>(parsed);
}

// Calls the controllers as the protocol has it: redirections are followed twice, and after silence, a fault or a
// status that settles nothing the next address gets exactly the same.
class Caller {
 public:
  Caller(const std::vector<std::string>& control, double waitS)
      : until_(base::Clock::now() + Millis(static_cast<std::int64_t>(1000 * waitS))) {
    for (const auto& text : control) addresses_.push_back(need(settings::parseEndpoint(text), text));
  }

  // None: no clear answer in the time given; `last()` says what came instead.
  std::optional<Reply> call(http::wire::verb verb, const std::string& target, const std::string& body) {
    std::optional<Reply> out;
    asio::co_spawn(io_, settle(verb, target, body, out), asio::detached);
    io_.restart();
    io_.run();
    return out;
  }
  const std::string& last() const { return last_; }
  void only(settings::Endpoint address) { addresses_ = {address}; }

 private:
  asio::awaitable<void> settle(http::wire::verb verb, std::string target, std::string body, std::optional<Reply>& out) {
    auto pause = Millis(100);
    for (std::size_t i = 0;; ++i) {
      auto reply = co_await once(addresses_[i % addresses_.size()], verb, target, body);
      if (reply && reply->status != 307 && reply->status != 408 && reply->status != 429 && reply->status < 500) {
        out = std::move(*reply);
        co_return;
      }
      if (reply) last_ = fmt::format("{} answered {} {}", settings::text(reply->from), reply->status, reply->body);
      if (base::Clock::now() + pause >= until_) co_return;
      asio::steady_timer timer(io_, pause);
      co_await timer.async_wait(http::kTuple);
      pause = std::min(pause * 2, Millis(1000));
    }
  }

  asio::awaitable<std::optional<Reply>> once(settings::Endpoint at, http::wire::verb verb, const std::string& target,
                                             const std::string& body) {
    for (int hops = 0;; ++hops) {
      http::Request request(verb, target, 11);
      if (!body.empty()) request.set(http::wire::field::content_type, "application/json");
      request.body() = body;
      http::Client client(io_.get_executor(), at);
      auto called = co_await client.call(std::move(request), kSilence);
      if (const auto* bad = base::errorIn(called)) {
        last_ = settings::text(at) + ": " + bad->what;
        co_return std::nullopt;
      }
      const auto& response = std::get<0>(called);
      Reply reply{static_cast<int>(response.result_int()), response.body(), at};
      const auto location = response[http::wire::field::location];
      const auto next = placeOf({location.data(), location.size()});
      if (reply.status != 307 || hops == kRedirects || !next) co_return reply;
      at = *next;
    }
  }

  asio::io_context io_;
  std::vector<settings::Endpoint> addresses_;
  base::TimePoint until_;
  std::string last_;
};

json::value parsed(const std::string& text, const std::string& what) {
  json::error_code error;
  auto value = json::parse(text, error);
  if (error || !value.is_object()) throw BadInput{what + ": the answer is not readable as JSON"};
  return value;
}

int unclear(const Caller& caller, bool order) {
  std::cerr << "indigohill: rollout: no clear answer (" << caller.last() << ")"
            << (order ? "; the order may be in force or not: send exactly the same again" : "") << "\n";
  return 5;
}

int finish(const RolloutArguments& a, const Reply& reply, json::object what) {
  const bool done = reply.status == 200;
  if (a.json) {
    what["done"] = done;
    if (!done) what["why"] = reply.body;
    std::cout << json::serialize(what) << "\n";
  } else if (done) {
    std::cout << "in force: service " << what["service"].as_string().c_str() << ", number " << what["number"] << "\n";
  }
  if (done) return 0;
  std::cerr << "indigohill: rollout: " << reply.body << "\n";
  return reply.status == 400 || reply.status == 413 ? 2 : 4;
}

int declare(const RolloutArguments& a, Caller& caller) {
  auto document = contents(a.file);
  if (a.evenWithoutRunners) {
    json::error_code error;
    auto value = json::parse(document, error);
    if (!error && value.is_object()) {
      value.as_object()["evenWithoutRunners"] = true;
      document = json::serialize(value);
    }
  }
  // The same check as the controller's, before anything is sent.
  auto record = rollout::parseRecord(document);
  if (const auto* bad = base::errorIn(record)) {
    std::cerr << "indigohill: rollout: " << a.file << ": " << bad->what << "\n";
    return 2;
  }
  const auto& r = std::get<rollout::Record>(record);
  const auto reply = caller.call(http::wire::verb::post, "/v1/Rollouts.Declare/" + r.service, document);
  if (!reply) return unclear(caller, true);
  return finish(a, *reply, {{"service", r.service}, {"number", r.number}, {"stage", r.stages[0].name}});
}

// The number after the one in force: of two operators that go by the same state, one wins.
std::optional<std::uint64_t> nextNumber(const RolloutArguments& a, Caller& caller) {
  if (a.number != 0) return a.number;
  const auto reply = caller.call(http::wire::verb::get, "/v1/Rollouts.Describe", "");
  if (!reply || reply->status != 200) return std::nullopt;
  const auto described = parsed(reply->body, "Rollouts.Describe");
  for (const auto& r : described.at("rollouts").as_array())
    if (r.at("service").as_string() == a.service) return r.at("number").to_number<std::uint64_t>() + 1;
  return 1;
}

int move(RolloutVerb verb, const RolloutArguments& a, Caller& caller) {
  const auto number = nextNumber(a, caller);
  if (!number) return unclear(caller, false);
  json::object body{{"service", a.service}, {"number", *number}};
  if (!a.stage.empty()) body["stage"] = a.stage;
  if (a.evenWithoutRunners) body["evenWithoutRunners"] = true;
  const auto* call = verb == RolloutVerb::Advance ? "/v1/Rollouts.Advance/" : "/v1/Rollouts.Withdraw/";
  const auto reply = caller.call(http::wire::verb::post, call + a.service, json::serialize(body));
  if (!reply) return unclear(caller, true);
  return finish(a, *reply, {{"service", a.service}, {"number", *number}});
}

std::string stages(const json::value& rollout) {
  std::vector<std::string> out;
  for (const auto& stage : rollout.at("record").at("stages").as_array()) {
    const bool now = stage.at("name") == rollout.at("stage");
    const std::string name(stage.at("name").as_string());
    out.push_back(now ? "[" + name + "]" : name);
  }
  return fmt::format("{}", fmt::join(out, " > "));
}

int status(const RolloutArguments& a, Caller& caller) {
  const auto described = caller.call(http::wire::verb::get, "/v1/Rollouts.Describe", "");
  if (!described) return unclear(caller, false);
  if (described->status != 200) throw BadInput{"Rollouts.Describe: " + described->body};
  // Who is held back is asked of the same controller: it has what is in force.
  caller.only(described->from);
  const auto state = caller.call(http::wire::verb::get, "/v1/Status", "");
  if (!state || state->status != 200) return unclear(caller, false);
  auto described_ = parsed(described->body, "Rollouts.Describe");
  const auto state_ = parsed(state->body, "Status");
  json::array shown;
  bool held = false;
  for (auto& r : described_.at("rollouts").as_array()) {
    if (r.as_object().contains("withdrawn") || (!a.service.empty() && r.at("service").as_string() != a.service))
      continue;
    auto out = r.as_object();
    if (const auto* judged = state_.as_object().if_contains("rollouts"))
      for (const auto& j : judged->as_array())
        if (j.at("service") == r.at("service")) {
          out["serving"] = j.at("serving");
          out["heldBack"] = j.at("heldBack");
          held = held || !j.at("heldBack").as_array().empty();
        }
    shown.push_back(std::move(out));
  }
  if (a.json) {
    std::cout << json::serialize(json::object{{"rollouts", std::move(shown)}}) << "\n";
    return held ? 1 : 0;
  }
  if (shown.empty())
    std::cout << "no rollout is declared" << (a.service.empty() ? "" : " for service " + a.service) << "\n";
  for (const auto& r : shown) {
    std::cout << "service " << r.at("service").as_string().c_str() << ": number " << r.at("number") << ", stages "
              << (r.at("record").is_object() ? stages(r) : "that this program cannot read");
    const auto* whom = r.as_object().if_contains("heldBack");
    if (whom == nullptr) {
      std::cout << "\n";
      continue;
    }
    std::cout << "; " << r.at("serving") << " runners may serve, " << whom->as_array().size() << " held back\n";
    for (const auto& h : whom->as_array())
      std::cout << "  " << h.at("instanceId").as_string().c_str() << " in " << h.at("zone").as_string().c_str() << ": "
                << h.at("why").as_string().c_str() << "\n";
  }
  return held ? 1 : 0;
}

}  // namespace

int runRollout(RolloutVerb verb, const RolloutArguments& a) {
  try {
    Caller caller(a.control, a.waitS);
    if (verb == RolloutVerb::Declare) return declare(a, caller);
    if (verb == RolloutVerb::Status) return status(a, caller);
    return move(verb, a, caller);
  } catch (const BadInput& bad) {
    std::cerr << "indigohill: rollout: " << bad.what << "\n";
    return 3;
  } catch (const std::exception& error) {
    // Fields that an answer of ours always has: the other side is something else.
    std::cerr << "indigohill: rollout: the answer is not understood: " << error.what() << "\n";
    return 5;
  }
}

}  // namespace indigohill::cli
